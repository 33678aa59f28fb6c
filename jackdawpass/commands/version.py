"""Command `version`: print the version of the product."""

import argparse
import json
import platform
import typing

import jackdawpass
from jackdawpass.commands import console

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
    if arguments.format == "json":
        python = platform.python_version()
        print(json.dumps({"version": jackdawpass.__version__, "python": python}))
    else:
        print(f"jackdawpass {jackdawpass.__version__}")
    return console.EXIT_DONE
