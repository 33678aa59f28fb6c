"""Command `entry`: run one entry instance."""

import argparse
import json
import pathlib
import random
import signal
import sys
import typing

from jackdawpass.process import adaptive, entry, settings


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("entry", help=__doc__)
    parser.add_argument("--settings", required=True, help="settings file")
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
    instance = entry.Entry(
        reactor, options, adaptive.AdaptivePolicy(options.zone, random.Random())
    )
    instance.start()
    ports = {"port": instance.port, "peer_port": instance.peer_port}
    print(json.dumps(ports), flush=True)
    _stop_on_signals(reactor, instance)
    reactor.run(installSignalHandlers=False)  # type: ignore[call-arg]
    return 0


def _stop_on_signals(reactor: typing.Any, instance: entry.Entry) -> None:
    def stop(*_: object) -> None:
        reactor.callFromThread(
            lambda: instance.stop().addBoth(lambda _: reactor.stop())
        )

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
