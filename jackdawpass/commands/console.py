"""Argument parsing, calls to instances and exit codes shared by the commands."""

import argparse
import collections.abc
import dataclasses
import re
import typing

from jackdawpass import validation

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

JSON_FORMAT = "json"
TEXT_FORMAT = "text"

CALL_TIMEOUT_SECONDS = 10.0


class Failed(Exception):
    """Failure of a command; each line of the message includes a remedy.

    The JSON output shows the name of the class as the kind of the error.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Host and port on which an instance listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Parser(argparse.ArgumentParser):
    """Argument parser that reports a usage error in one line."""

    def error(self, message: str) -> typing.NoReturn:
        """Print the usage error with a reference to the help, and exit."""
        self.exit(EXIT_USAGE, f"{self.prog}: {message}; see {self.prog} --help\n")

    def reject_unknown(self, unknown: collections.abc.Sequence[str]) -> typing.NoReturn:
        """Report an unknown argument with the most similar known flag, and exit."""
        name = unknown[0].split("=")[0]
        hint = "remove it"
        if name.startswith("-"):
            known = sorted(set(re.findall(r"--[a-z][a-z-]*", self.format_help())))
            hint = validation.suggest_name(name, known, "known flags")
        self.error(f"argument {name!r} is unknown; {hint}")


def add_command(
    subparsers: typing.Any, name: str, documentation: str | None, example: str
) -> argparse.ArgumentParser:
    """Add a subcommand whose help ends with an example."""
    text = documentation or ""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        name,
        help=text,
        description=text,
        epilog=example,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.set_defaults(parser=parser)
    return parser


def add_format(parser: argparse.ArgumentParser) -> None:
    """Add the option ``--format`` for the output format."""
    parser.add_argument(
        "--format",
        choices=(JSON_FORMAT, TEXT_FORMAT),
        default=TEXT_FORMAT,
        help="output format (default: %(default)s)",
    )


def parse_address(text: str) -> Address:
    """Parse an address in the form HOST:PORT.

    Raises
    ------
    argparse.ArgumentTypeError
        If the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    valid = host and host.isascii() and port.isdecimal() and int(port) <= 65_535
    if not valid:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an address; write HOST:PORT, such as 127.0.0.1:8080"
        )
    return Address(host, int(port))
