"""Command `entry`: run one entry instance."""

import argparse
import cProfile
import dataclasses
import json
import os
import pathlib
import random
import signal
import typing

from returns import result

from jackdawpass.bench import naive
from jackdawpass.commands import console, reports
from jackdawpass.process import adaptive, entry, logs, policy, settings

EXAMPLE = """example:
  jackdawpass entry --settings entry.json --zone a --check

Settings come from these sources; a later one takes precedence:
  1. defaults
  2. the file of --settings (JSON with comments)
  3. environment variables JACKDAWPASS_<NAME>
  4. flags
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "entry", __doc__, EXAMPLE)
    parser.add_argument("--settings", help="settings file, JSON with comments")
    parser.add_argument(
        "--check",
        action="store_true",
        help="print the effective settings with their origins and exit",
    )
    console.add_format(parser)
    for name, kind in settings.FIELDS.items():
        parser.add_argument(
            settings.flag_name(name),
            dest=f"setting_{name}",
            metavar=kind.__name__.upper(),
        )
    # For benchmarks only: runs the naive policy that `bench` compares against.
    parser.add_argument("--baseline", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--profile", help=argparse.SUPPRESS)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry instance until it has drained after SIGTERM or SIGINT."""
    loaded = _load(arguments)
    if isinstance(loaded, result.Failure):
        return reports.show_failure(loaded.failure(), arguments.format)
    effective = loaded.unwrap()
    if arguments.check:
        return reports.show_report(_settings_report(effective), arguments.format)
    return _serve(effective.settings, arguments)


def _load(arguments: argparse.Namespace) -> settings.LoadResult:
    flags = {
        name: value
        for name in settings.FIELDS
        if (value := getattr(arguments, f"setting_{name}")) is not None
    }
    text = ""
    if arguments.settings is not None:
        try:
            text = pathlib.Path(arguments.settings).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise console.Failed(
                f"cannot read the settings file {arguments.settings!r} ({error}); "
                "check its path and permissions"
            ) from None
    return settings.load(text, arguments.settings or "", os.environ, flags)


def _settings_report(effective: settings.EffectiveSettings) -> reports.Report:
    values = dataclasses.asdict(effective.settings)
    rows = [
        {"name": name, "value": value, "origin": effective.origins[name]}
        for name, value in values.items()
    ]
    return reports.Report(rows, reports.format_table(rows))


def _serve(options: settings.EntrySettings, arguments: argparse.Namespace) -> int:
    from twisted.internet import error, reactor

    sampler = logs.Sampler(
        options.log_share, options.log_lines_per_second, options.log_errors_per_second
    )
    log = logs.configure(options.instance, options.zone, sampler)
    # The parent process reads the ports from the first line of the output.
    log.pause()
    instance = entry.Entry(reactor, options, _make_policy(arguments, options))
    # Installed before the ports are printed, since a signal may follow at once.
    outcomes = _stop_when_drained(reactor, instance)
    try:
        instance.start()
    except error.CannotListenError as failure:
        raise console.Failed(
            f"cannot listen on {options.host}:{options.port} "
            f"({failure.socketError}); choose a free port"
        ) from None
    ports = {"port": instance.port, "peer_port": instance.peer_port}
    print(json.dumps(ports), flush=True)
    log.resume()
    _run_reactor(reactor, arguments.profile)
    return console.EXIT_DONE if outcomes == [True] else console.EXIT_FAILED


def _make_policy(
    arguments: argparse.Namespace, options: settings.EntrySettings
) -> policy.Policy:
    if arguments.baseline:
        return naive.NaivePolicy()
    return adaptive.AdaptivePolicy(options.zone, random.Random())


def _run_reactor(reactor: typing.Any, profile_path: str | None) -> None:
    if profile_path is None:
        reactor.run(installSignalHandlers=False)
        return
    profile = cProfile.Profile()
    profile.runcall(reactor.run, installSignalHandlers=False)
    profile.dump_stats(profile_path)


def _stop_when_drained(reactor: typing.Any, instance: entry.Entry) -> list[bool]:
    outcomes: list[bool] = []

    def on_drained(finished: bool) -> typing.Any:
        outcomes.append(finished)
        return instance.stop()

    instance.drained.addCallback(on_drained).addBoth(lambda _: reactor.stop())

    def on_signal(*_: object) -> None:
        reactor.callFromThread(instance.drain)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    return outcomes
