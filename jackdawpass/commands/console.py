"""Arguments, output and exit codes that the commands share."""

import argparse
import collections.abc
import http.client
import json
import re
import sys
import typing

from jackdawpass import checked

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

CALL_TIMEOUT_SECONDS = 10.0

Row = collections.abc.Mapping[str, typing.Any]


class Failed(Exception):
    """A command that was refused or failed; the message names the remedy."""


class Usage(Exception):
    """A command that was called in a wrong way; the message names the remedy."""


class Parser(argparse.ArgumentParser):
    """Reports a usage error in one line."""

    def error(self, message: str) -> typing.NoReturn:
        """Exit with the usage error and where to find help."""
        self.exit(EXIT_USAGE, f"{self.prog}: {message}; see {self.prog} --help\n")

    def reject(self, unknown: collections.abc.Sequence[str]) -> typing.NoReturn:
        """Exit because of unknown arguments, with the nearest known flag."""
        name = unknown[0].split("=")[0]
        hint = "remove it"
        if name.startswith("-"):
            known = sorted(set(re.findall(r"--[a-z][a-z-]*", self.format_help())))
            hint = checked.near_match(name, known, "known flags")
        self.error(f"argument {name!r} is unknown; {hint}")


class HttpReply(typing.NamedTuple):
    """Status and decoded JSON body of a reply."""

    status: int
    document: typing.Any


def add_command(
    subparsers: typing.Any, name: str, documentation: str | None, example: str
) -> argparse.ArgumentParser:
    """Add a command whose help ends with an example."""
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
    """Add the option that chooses the output format."""
    parser.add_argument(
        "--format", choices=("json", "text"), default="text", help="output format"
    )


def address(text: str) -> tuple[str, int]:
    """Parse HOST:PORT.

    Raises
    ------
    argparse.ArgumentTypeError
        If the text is not of that form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or int(port) > 65_535:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an address; write HOST:PORT, such as 127.0.0.1:8080"
        )
    return host, int(port)


def call(
    where: tuple[str, int],
    method: str,
    path: str,
    document: object = None,
    headers: collections.abc.Mapping[str, str] | None = None,
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> HttpReply:
    """Make one HTTP call to an instance; `timeout` is in seconds.

    Raises
    ------
    Failed
        If the instance cannot be reached or its reply is not JSON.
    """
    host, port = where
    body = None if document is None else json.dumps(document)
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, dict(headers or {}))
        reply = connection.getresponse()
        return HttpReply(reply.status, json.loads(reply.read()))
    except (OSError, http.client.HTTPException) as error:
        raise Failed(
            f"{host}:{port} cannot be reached ({error}); check the address and that "
            "the instance runs"
        ) from None
    except ValueError:
        raise Failed(
            f"{host}:{port} did not reply with JSON; check that an entry instance "
            "listens there"
        ) from None
    finally:
        connection.close()


def fail(message: str, code: int = EXIT_FAILED) -> int:
    """Print an error and return the exit code."""
    print(f"jackdawpass: {message}", file=sys.stderr)
    return code


def show(rows: collections.abc.Sequence[Row], output: str) -> None:
    """Print rows as a table or as JSON."""
    if output == "json":
        print(json.dumps(list(rows), indent=2))
    else:
        print("\n".join(table(rows)))


def table(rows: collections.abc.Sequence[Row]) -> list[str]:
    """Return the lines of a table whose columns are the keys of the first row."""
    if not rows:
        return []
    columns = list(rows[0])
    cells = [columns, *([_cell(row[name]) for name in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
