"""Command `status`: show the state of entry instances."""

import argparse
import json
import typing

from jackdawpass.commands import console

EXAMPLE = """example:
  jackdawpass status 127.0.0.1:8080 127.0.0.1:8081
"""
COLUMNS = (
    "instance",
    "zone",
    "version",
    "configuration_version",
    "ready",
    "draining",
    "in_flight",
)


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "status", __doc__, EXAMPLE)
    parser.add_argument(
        "addresses", type=console.address, nargs="+", metavar="HOST:PORT"
    )
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Show all instances; return 1 if one of them cannot be reached."""
    documents = []
    failures = []
    for where in arguments.addresses:
        try:
            reply = console.call(where, "GET", "/v1/status")
        except console.Failed as error:
            failures.append(str(error))
            continue
        if reply.status != 200:
            host, port = where
            failures.append(
                f"{host}:{port} has no status (HTTP status {reply.status}); check "
                "that an entry instance listens there"
            )
            continue
        documents.append(reply.document)
    _print(documents, arguments.format)
    for failure in failures:
        console.fail(failure)
    return console.EXIT_FAILED if failures else console.EXIT_DONE


def _print(documents: list[dict[str, typing.Any]], output: str) -> None:
    if output == "json":
        print(json.dumps(documents, indent=2))
    elif documents:
        rows = [{name: each[name] for name in COLUMNS} for each in documents]
        console.show(rows, "text")
