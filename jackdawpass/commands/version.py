"""Command `version`: print the version of the product."""

import argparse
import platform
import typing

import jackdawpass
from jackdawpass.commands import console, reports

EXAMPLE = """example:
  jackdawpass version --format json
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "version", __doc__, EXAMPLE)
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the versions of the product and of Python."""
    python = platform.python_version()
    document = {"version": jackdawpass.__version__, "python": python}
    report = reports.Report(document, f"jackdawpass {jackdawpass.__version__}")
    return reports.show_report(report, arguments.format)
