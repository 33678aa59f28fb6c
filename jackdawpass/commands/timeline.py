"""Command `timeline`: merge the events of several instances into one time line."""

import argparse
import datetime
import pathlib
import typing

from jackdawpass.commands import console, instance_call, reports
from jackdawpass.process import events
from jackdawpass.timeline import decoding, filters, merge, render_html, render_text

EXAMPLE = """example:
  jackdawpass timeline a.log b.log --request 3f2a --format text
  jackdawpass timeline --live 127.0.0.1:8080 127.0.0.1:8081 --html timeline.html
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "timeline", __doc__, EXAMPLE)
    parser.add_argument("logs", nargs="*", metavar="LOG", help="log file")
    parser.add_argument(
        "--live", type=console.parse_address, nargs="+", metavar="HOST:PORT", default=[]
    )
    parser.add_argument("--request", default="", help="prefix of a request id")
    parser.add_argument("--service", default="")
    parser.add_argument("--instance", default="")
    parser.add_argument("--target", default="")
    parser.add_argument(
        "--since", type=_parse_time, help="ISO 8601 time or epoch seconds"
    )
    parser.add_argument(
        "--until", type=_parse_time, help="ISO 8601 time or epoch seconds"
    )
    parser.add_argument("--html", metavar="FILE", help="write an HTML page")
    console.add_format(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Read, merge, filter and print the events."""
    if not arguments.logs and not arguments.live:
        arguments.parser.error("no source is given; name a LOG or use --live HOST:PORT")
    collected: list[events.Event] = []
    for path in arguments.logs:
        collected += _read_log(path, arguments.format)
    for address in arguments.live:
        collected += _read_live(address)
    event_filter = filters.Filter(
        arguments.request,
        arguments.service,
        arguments.instance,
        arguments.target,
        arguments.since,
        arguments.until,
    )
    # Filtered after the merge, which needs all events to estimate clock offsets.
    timeline = filters.apply(merge.merge(collected), event_filter)
    if arguments.html is not None:
        _write_page(arguments.html, render_html.render(timeline))
        return console.EXIT_DONE
    document, text = render_text.to_document(timeline), render_text.render(timeline)
    return reports.show_report(reports.Report(document, text), arguments.format)


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        pass
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a time; write 2026-01-31T12:00:00Z or epoch seconds"
        ) from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return parsed.timestamp()


def _read_log(path: str, output_format: str) -> list[events.Event]:
    try:
        with pathlib.Path(path).open("rb") as log_file:
            content = decoding.decode_log(log_file)
    except OSError as error:
        raise console.Failed(
            f"cannot read {path!r} ({error.strerror}); check its path and permissions"
        ) from None
    if content.unreadable_lines:
        message = f"{path}: skipped {content.unreadable_lines} unreadable lines"
        reports.show_warning(message, output_format)
    return content.events


def _read_live(address: console.Address) -> list[events.Event]:
    collected: list[events.Event] = []
    after = 0
    last_seq: int | None = None
    # Reads up to the last event at the start, since a busy instance keeps emitting.
    while last_seq is None or after < last_seq:
        reply = instance_call.call_instance(address, "GET", f"/v1/events?after={after}")
        try:
            page = decoding.decode_page(reply.document)
        except ValueError:
            raise console.Failed(
                f"{address} has no events (HTTP status {reply.status}); check that "
                "an entry instance listens there"
            ) from None
        collected += page.events
        after = page.next
        if last_seq is None:
            last_seq = page.last if page.events else 0
    return collected


def _write_page(path: str, page: str) -> None:
    try:
        pathlib.Path(path).write_text(page, encoding="utf-8")
    except OSError as error:
        raise console.Failed(
            f"cannot write {path!r} ({error.strerror}); choose another file"
        ) from None
