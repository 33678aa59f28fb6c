"""Command `stand-in`: run a stand-in for the platform or for targets."""

import argparse
import json
import typing

import msgspec

from jackdawpass.commands import console
from jackdawpass.standins import (
    behaviour,
    host,
    listed_target,
    object_store,
    platform,
    target,
)

EXAMPLE = """example:
  jackdawpass stand-in target --options '{"name": "lots-a"}'
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "stand-in", __doc__, EXAMPLE)
    parser.add_argument(
        "kind", choices=("platform", "target", "targets", "store", "listed-target")
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument(
        "--options",
        default="{}",
        help="options of the target as a JSON object; a list of objects for `targets`",
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run a stand-in until it is killed."""
    from twisted.internet import reactor

    try:
        ports = _listen(reactor, arguments)
    except msgspec.MsgspecError as error:
        arguments.parser.error(f"--options cannot be used ({error}); correct the JSON")
    print(json.dumps(ports), flush=True)
    reactor.run()
    return console.EXIT_DONE


def _listen(reactor: typing.Any, arguments: argparse.Namespace) -> dict[str, object]:
    if arguments.kind == "platform":
        listening_port = platform.PlatformStandIn(reactor).listen(arguments.port)
        return {"port": listening_port.getHost().port}
    if arguments.kind == "store":
        listening_port = object_store.ObjectStore(reactor).listen(arguments.port)
        return {"port": listening_port.getHost().port}
    if arguments.kind == "listed-target":
        listed_options = msgspec.json.decode(
            arguments.options, type=listed_target.ListedOptions
        )
        listed_stand_in = listed_target.ListedTarget(reactor, listed_options)
        return {"port": listed_stand_in.listen(arguments.port).getHost().port}
    if arguments.kind == "target":
        options = msgspec.json.decode(arguments.options, type=behaviour.TargetOptions)
        stand_in = target.TargetStandIn(reactor, options)
        return {"port": stand_in.listen(arguments.port).getHost().port}
    target_options = msgspec.json.decode(
        arguments.options, type=list[behaviour.TargetOptions]
    )
    target_host = host.TargetHost(reactor, target_options)
    control_port = target_host.listen(arguments.port).getHost().port
    return {"port": control_port, "targets": target_host.ports}
