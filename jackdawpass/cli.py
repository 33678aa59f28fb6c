"""The command line; calls one module of `commands` per command."""

import argparse
import collections.abc
import typing

from jackdawpass import __version__
from jackdawpass.commands import bench, demo, entry, stand_in

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

COMMANDS: tuple[typing.Any, ...] = (entry, stand_in, bench, demo)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="jackdawpass", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command and return its exit code: 0 done, 1 failed, 2 usage."""
    arguments = make_parser().parse_args(argv)
    return int(arguments.run(arguments))
