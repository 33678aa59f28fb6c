"""The command line; calls one module of `commands` per command."""

import argparse
import collections.abc
import sys
import typing

from jackdawpass import __version__
from jackdawpass.commands import (
    bench,
    config,
    console,
    demo,
    drain,
    entry,
    index,
    query,
    reports,
    stand_in,
    status,
    timeline,
    version,
)

COMMANDS: tuple[typing.Any, ...] = (
    entry,
    config,
    index,
    query,
    status,
    drain,
    timeline,
    version,
    stand_in,
    bench,
    demo,
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = console.Parser(prog="jackdawpass", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command and return its exit code: 0 done, 1 failed, 2 usage."""
    arguments, unknown = make_parser().parse_known_args(argv)
    if unknown:
        arguments.parser.reject(unknown)
    try:
        return int(arguments.run(arguments))
    except console.Failed as error:
        output_format = getattr(arguments, "format", console.TEXT_FORMAT)
        return reports.show_failure(error, output_format)
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed it.
        sys.stderr.close()
        return console.EXIT_FAILED
