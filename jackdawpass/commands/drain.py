"""Command `drain`: shut an entry instance down gracefully."""

import argparse
import time
import typing

from jackdawpass import clock
from jackdawpass.commands import console, instance_call, reports

EXAMPLE = """example:
  jackdawpass drain 127.0.0.1:8080 --wait-seconds 90
"""
DEFAULT_WAIT_SECONDS = 90.0
POLL_SECONDS = 0.1


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "drain", __doc__, EXAMPLE)
    parser.add_argument("address", type=console.parse_address, metavar="HOST:PORT")
    parser.add_argument(
        "--wait-seconds",
        type=float,
        default=DEFAULT_WAIT_SECONDS,
        help="longest time to wait until the instance has stopped; 0 does not wait",
    )
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Start the drain and wait until the instance has stopped listening."""
    reply = instance_call.call_instance(arguments.address, "POST", "/v1/drain")
    if reply.status != 202:
        raise console.Failed(
            f"the instance refused to drain (HTTP status {reply.status}); check that "
            "an entry instance listens there"
        )
    if arguments.wait_seconds > 0:
        _wait_until_stopped(arguments.address, arguments.wait_seconds)
        state = "drained"
    else:
        state = "draining"
    instance = reply.document["instance"]
    document = {"instance": instance, "state": state}
    report = reports.Report(document, f"{instance} is {state}")
    return reports.show_report(report, arguments.format)


def _wait_until_stopped(address: console.Address, seconds: float) -> None:
    deadline = clock.monotonic() + seconds
    while clock.monotonic() < deadline:
        try:
            instance_call.call_instance(address, "GET", "/v1/status")
        except console.Failed:
            return
        time.sleep(POLL_SECONDS)
    raise console.Failed(
        f"the instance still listens after {seconds:g} s; wait longer or check its log"
    )
