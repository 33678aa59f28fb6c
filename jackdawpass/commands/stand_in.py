"""Command `stand-in`: run a stand-in for the platform or for a target."""

import argparse
import json
import typing

import msgspec

from jackdawpass.commands import console
from jackdawpass.standins import platform, target

EXAMPLE = """example:
  jackdawpass stand-in target --options '{"name": "lots-a"}'
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "stand-in", __doc__, EXAMPLE)
    parser.add_argument("kind", choices=("platform", "target"))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--options", default="{}", help="target options as JSON")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run a stand-in until it is killed."""
    from twisted.internet import reactor

    if arguments.kind == "platform":
        listening = platform.PlatformStandIn(reactor).listen(arguments.port)
    else:
        options = msgspec.json.decode(arguments.options, type=target.TargetOptions)
        listening = target.TargetStandIn(reactor, options).listen(arguments.port)
    print(json.dumps({"port": listening.getHost().port}), flush=True)
    reactor.run()
    return 0
