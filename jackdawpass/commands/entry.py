"""Command `entry`: run one entry instance."""

import argparse
import cProfile
import json
import pathlib
import signal
import sys
import typing

from jackdawpass.bench import naive
from jackdawpass.process import entry, policy, settings


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("entry", help=__doc__)
    parser.add_argument("--settings", required=True, help="settings file")
    # For measurements only: the naive policy that `bench` compares with.
    parser.add_argument("--baseline", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--profile", help=argparse.SUPPRESS)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry instance until it is told to stop."""
    from twisted.internet import reactor

    text = pathlib.Path(arguments.settings).read_text(encoding="utf-8")
    parsed = settings.parse(text)
    options = parsed.value_or(None)
    if options is None:
        print(parsed.failure(), file=sys.stderr)
        return 1
    instance = entry.Entry(reactor, options, _make_policy(arguments, options))
    instance.start()
    print(json.dumps({"port": instance.port}), flush=True)
    _stop_on_signals(reactor, instance)
    _run_reactor(reactor, arguments.profile)
    return 0


def _make_policy(
    arguments: argparse.Namespace, options: settings.EntrySettings
) -> policy.Policy:
    if arguments.baseline:
        return naive.NaivePolicy()
    return policy.PlainPolicy(options.zone)


def _run_reactor(reactor: typing.Any, profile_path: str | None) -> None:
    if profile_path is None:
        reactor.run(installSignalHandlers=False)
        return
    profile = cProfile.Profile()
    profile.runcall(reactor.run, installSignalHandlers=False)
    profile.dump_stats(profile_path)


def _stop_on_signals(reactor: typing.Any, instance: entry.Entry) -> None:
    def stop(*_: object) -> None:
        reactor.callFromThread(
            lambda: instance.stop().addBoth(lambda _: reactor.stop())
        )

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
