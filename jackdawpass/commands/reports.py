"""What operators' commands print: reports, failures and progress."""

import dataclasses
import json
import sys
import typing

from jackdawpass.commands import console

JSON_FORMAT = "json"
TEXT_FORMAT = "text"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Attributes
    ----------
    document : object
        Printed with ``--format json``.
    text : str
        Printed with ``--format text``.
    """

    document: typing.Any
    text: str


def show_report(report: Report, output_format: str) -> int:
    """Print a report on standard output and return the exit code."""
    if output_format == JSON_FORMAT:
        print(json.dumps(report.document))
    elif report.text:
        print(report.text)
    return console.EXIT_DONE


def show_failure(error: object, output_format: str) -> int:
    """Print an error on standard error, one line per fault; return the exit code."""
    lines = str(error).splitlines()
    if output_format == JSON_FORMAT:
        document = {"error": type(error).__name__, "messages": lines}
        print(json.dumps(document), file=sys.stderr)
    else:
        for line in lines:
            print(f"error: {line}", file=sys.stderr)
    return console.EXIT_FAILED


def show_progress(message: str) -> None:
    """Print progress on standard error when it is a terminal."""
    if sys.stderr.isatty():
        print(message, file=sys.stderr, flush=True)
