"""Output of all commands: reports, failures, warnings and progress.

Reports go to standard output, everything else to standard error. With
``--format json``, each of them except progress is one JSON document.
"""

import collections.abc
import dataclasses
import json
import sys
import typing

from jackdawpass.commands import console

JSON_INDENT = 2

Row = collections.abc.Mapping[str, typing.Any]


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
    if output_format == console.JSON_FORMAT:
        print(json.dumps(report.document, indent=JSON_INDENT))
    elif report.text:
        print(report.text)
    return console.EXIT_DONE


def show_failure(error: object, output_format: str, detail: Row | None = None) -> int:
    """Print an error on standard error, one line per fault; return the exit code.

    Parameters
    ----------
    error : object
        Error whose text has one line per fault, each with a remedy. The name of its
        class is the kind of the error in the JSON document.
    output_format : str
        Value of ``--format``.
    detail : mapping, optional
        Additional members of the JSON document.
    """
    lines = str(error).splitlines()
    if output_format == console.JSON_FORMAT:
        name = type(error).__name__
        _print_error_document({"error": name, "messages": lines, **(detail or {})})
    else:
        for line in lines:
            print(f"error: {line}", file=sys.stderr)
    return console.EXIT_FAILED


def show_warning(message: str, output_format: str) -> None:
    """Print on standard error why a report is incomplete."""
    if output_format == console.JSON_FORMAT:
        _print_error_document({"warning": message})
    else:
        print(f"warning: {message}", file=sys.stderr)


def show_progress(message: str) -> None:
    """Print progress on standard error if it is a terminal."""
    if sys.stderr.isatty():
        print(message, file=sys.stderr, flush=True)


def format_table(rows: collections.abc.Sequence[Row]) -> str:
    """Return a text table whose columns are the keys of the first row."""
    if not rows:
        return ""
    columns = list(rows[0])
    cells = [columns, *([_format_cell(row[name]) for name in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _print_error_document(document: Row) -> None:
    print(json.dumps(document, indent=JSON_INDENT), file=sys.stderr)
