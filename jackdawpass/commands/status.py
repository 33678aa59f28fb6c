"""Command `status`: show the state of entry instances."""

import argparse
import typing

from jackdawpass.commands import console, instance_call, reports

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
        "addresses", type=console.parse_address, nargs="+", metavar="HOST:PORT"
    )
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Show the status of the instances; return 1 if one of them reports none."""
    documents = []
    failures = []
    for address in arguments.addresses:
        try:
            reply = instance_call.call_instance(address, "GET", "/v1/status")
        except console.Failed as error:
            failures.append(str(error))
            continue
        if reply.status != 200:
            failures.append(
                f"{address} has no status (HTTP status {reply.status}); check "
                "that an entry instance listens there"
            )
            continue
        documents.append(reply.document)
    rows = [{name: each[name] for name in COLUMNS} for each in documents]
    report = reports.Report(documents, reports.format_table(rows))
    exit_code = reports.show_report(report, arguments.format)
    if failures:
        unreachable = console.Failed("\n".join(failures))
        return reports.show_failure(unreachable, arguments.format)
    return exit_code
