"""Command `query`: send one query and print its answer."""

import argparse
import json
import typing
import urllib.parse

from jackdawpass.commands import console, instance_call, reports
from jackdawpass.connection import blocking
from jackdawpass.request import model

EXAMPLE = """example:
  jackdawpass query 127.0.0.1:8080 lots '{"text": "offers"}' --limit 5
"""
# Added to the deadline, since the reply may be sent at the deadline and then takes time
# on the network.
TIMEOUT_MARGIN_SECONDS = 5.0
DEFAULT_WAIT_SECONDS = 60.0


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "query", __doc__, EXAMPLE)
    parser.add_argument("address", type=console.parse_address, metavar="HOST:PORT")
    parser.add_argument("service", help="name of the service")
    parser.add_argument("query", help="JSON value, or text that is sent as a string")
    parser.add_argument("--timeout-ms", type=int, help="deadline in milliseconds")
    parser.add_argument("--limit", type=int, help="largest number of results")
    parser.add_argument(
        "--min-coverage", type=float, help="required share of shards, 0 to 1"
    )
    parser.add_argument(
        "--shard-key", help="key that selects the shard of a non-idempotent request"
    )
    parser.add_argument(
        "--non-idempotent", action="store_true", help="run at most once"
    )
    parser.add_argument("--idempotency-key", help="identifies a repeated request")
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Send the query; return 0 for an answer and 1 for any other outcome."""
    timeout_seconds = DEFAULT_WAIT_SECONDS
    if arguments.timeout_ms is not None:
        timeout_seconds = max(0.0, arguments.timeout_ms / 1000) + TIMEOUT_MARGIN_SECONDS
    reply = instance_call.call_instance(
        arguments.address,
        "POST",
        f"/v1/services/{_quote_path_segment(arguments.service)}/query",
        _request_document(arguments),
        _request_headers(arguments),
        timeout_seconds,
    )
    if reply.status != 200:
        error = console.Failed(_format_problem(reply))
        detail = {"problem": reply.document}
        return reports.show_failure(error, arguments.format, detail)
    report = reports.Report(reply.document, _format_answer(reply.document))
    return reports.show_report(report, arguments.format)


def _quote_path_segment(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _request_document(arguments: argparse.Namespace) -> model.JsonObject:
    try:
        query = json.loads(arguments.query)
    except ValueError:
        query = arguments.query
    document: model.JsonObject = {"query": query}
    for name in ("timeout_ms", "limit", "min_coverage", "shard_key"):
        value = getattr(arguments, name)
        if value is not None:
            document[name] = value
    if arguments.non_idempotent:
        document["idempotent"] = False
    return document


def _request_headers(arguments: argparse.Namespace) -> dict[str, str]:
    key = arguments.idempotency_key
    return {"Idempotency-Key": key} if key is not None else {}


def _format_problem(reply: blocking.HttpReply) -> str:
    problem = reply.document if isinstance(reply.document, dict) else {}
    kind = problem.get("kind", f"HTTP status {reply.status}")
    outcome = problem.get("outcome", "unknown outcome")
    return f"{kind} ({outcome}): {problem.get('detail', 'no detail; see the log')}"


def _format_answer(answer: model.JsonObject) -> str:
    coverage = answer["coverage"]
    state = "complete" if answer["complete"] else "partial"
    lines = [
        f"{state}: {coverage['covered']} of {coverage['shards']} shards, "
        f"snapshot {answer['snapshot']}, {answer['elapsed_ms']} ms, "
        f"request {answer['request_id']}"
    ]
    lines += [
        f"missing shard {missing['shard']}: {missing['reason']}"
        for missing in coverage["missing"]
    ]
    rows = [
        {"id": item["id"], "score": item["score"], "value": json.dumps(item["value"])}
        for item in answer["results"]
    ]
    if rows:
        lines.append(reports.format_table(rows))
    return "\n".join(lines)
