"""The command line; calls one module of `commands` per command."""

import collections.abc
import importlib
import sys
import typing

from jackdawpass import __version__
from jackdawpass.commands import console

# Only the module of the command that is run is imported, since start-up counts on small
# machines. The names of the modules are in the order of the help text.
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
    """Return the parser of the given commands."""
    parser = console.Parser(prog="jackdawpass", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in commands:
        module: typing.Any = importlib.import_module(f"jackdawpass.commands.{command}")
        module.add_parser(subparsers)
    return parser


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command and return its exit code: 0 done, 1 failed, 2 usage."""
    words = sys.argv[1:] if argv is None else list(argv)
    name = words[0].replace("-", "_") if words else ""
    parser = make_parser((name,) if name in COMMANDS else COMMANDS)
    arguments, unknown = parser.parse_known_args(words)
    if unknown:
        arguments.parser.reject_unknown(unknown)
    try:
        return int(arguments.run(arguments))
    except console.Failed as error:
        # Imported here, as few commands need it.
        from jackdawpass.commands import reports

        output_format = getattr(arguments, "format", console.TEXT_FORMAT)
        return reports.show_failure(error, output_format)
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed it.
        sys.stderr.close()
        return console.EXIT_FAILED
