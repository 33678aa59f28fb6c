"""Command-line interface; each command is a module of `commands`."""

import collections.abc
import importlib
import sys
import typing

from jackdawpass import __version__
from jackdawpass.commands import console

# Module names in the order of the help text. Only the module of the requested command
# is imported, because start-up time matters on small machines.
COMMANDS = (
    "entry",
    "front",
    "config",
    "index",
    "query",
    "status",
    "drain",
    "timeline",
    "version",
    "stand_in",
    "bench",
    "soak",
    "demo",
)


def make_parser(
    commands: collections.abc.Iterable[str] = COMMANDS,
) -> console.Parser:
    """Build the argument parser of the given commands."""
    parser = console.Parser(prog="jackdawpass", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in commands:
        module: typing.Any = importlib.import_module(f"jackdawpass.commands.{command}")
        module.add_parser(subparsers)
    return parser


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run a command; return 0 for success, 1 for failure, 2 for wrong usage."""
    words = sys.argv[1:] if argv is None else list(argv)
    name = words[0].replace("-", "_") if words else ""
    parser = make_parser((name,) if name in COMMANDS else COMMANDS)
    arguments, unknown = parser.parse_known_args(words)
    if unknown:
        arguments.parser.reject_unknown(unknown)
    try:
        return int(arguments.run(arguments))
    except console.Failed as error:
        # Imported lazily, since few commands need it.
        from jackdawpass.commands import reports

        output_format = getattr(arguments, "format", console.TEXT_FORMAT)
        return reports.show_failure(error, output_format)
    except BrokenPipeError:
        # The process that reads the output, such as `head`, closed the pipe.
        sys.stderr.close()
        return console.EXIT_FAILED
