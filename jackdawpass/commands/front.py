"""Command `front`: run an instance on the users' platform."""

import argparse
import os
import pathlib
import random
import signal
import sys
import typing

from returns import result

from jackdawpass.commands import console
from jackdawpass.platform import adapter, node_file
from jackdawpass.process import logs
from jackdawpass.process.serving import front, settings

EXAMPLE = """example:
  jackdawpass front --settings /etc/jackdawpass/node.toml --check

The settings file is the one that the platform lays down; its path also stands in the
environment variable JACKDAWPASS_NODE_FILE.
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "front", __doc__, EXAMPLE)
    parser.add_argument("--settings", help="settings file of the platform, TOML")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an instance until it is told to stop."""
    path = arguments.settings or os.environ.get(
        node_file.PATH_VARIABLE, node_file.DEFAULT_PATH
    )
    options = _load(path)
    if arguments.check:
        print(options)
        return console.EXIT_DONE
    return _serve(options)


def _load(path: str) -> settings.FrontSettings:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise console.Failed(
            f"cannot read the settings file {path!r} ({error}); "
            "check its path and permissions"
        ) from None
    parsed = node_file.parse(text)
    if isinstance(parsed, result.Failure):
        raise console.Failed(str(parsed.failure()))
    return parsed.unwrap()


def _serve(options: settings.FrontSettings) -> int:
    from twisted.internet import reactor as process_reactor

    reactor: typing.Any = process_reactor
    sampler = logs.Sampler(
        1.0, options.log_lines_per_second, options.log_errors_per_second
    )
    logs.configure(options.instance, options.zone, sampler)
    served = adapter.PlatformAdapter(reactor, options)
    instance = front.Front(reactor, options, served, random.Random())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(instance.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(instance.stop))
    signal.signal(signal.SIGHUP, lambda *_: None)
    instance.stopped.addCallback(lambda _: reactor.callLater(0.05, reactor.stop))
    instance.start()
    reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    return console.EXIT_DONE
