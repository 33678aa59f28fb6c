"""Tests of converting log lines of front processes to events."""

import json
import typing

from jackdawpass.process import events
from jackdawpass.timeline import decoding, filters, merge, render_text


def line(message_type: str, timestamp: float, **fields: typing.Any) -> bytes:
    common_fields = {
        "instance": "f1",
        "zone": "a",
        "timestamp": timestamp,
        "level": "info",
    }
    return json.dumps(common_fields | {"message_type": message_type} | fields).encode()


LOG = [
    b"port 8080",
    line("started", 1.0),
    line("version_in_force", 1.5, version=3),
    line("attempt_repeated", 2.0, request_id="r1", route="search", attempt=21,
         attempt_kind="hedge", target="t7", reason="hedge"),
    line("attempt_failed", 2.1, request_id="r1", route="search", attempt=21,
         attempt_kind="hedge", target="t7", reason="shed refused_not_run"),
    b"   2.2000 f1 " + line("request_finished", 2.2, request_id="r1", route="search",
                            outcome="answer", shards=20, covered=19),
    line("targets_listed", 2.3, targets=40),
    line("store_away", 2.4, reason="status 429"),
    line("started", 9.0),
    line("store_back", 9.5),
    line("request_forwarded_again", 9.6, request_id="r2", aggregator="f7",
         reason="silent"),
]  # fmt: skip


def test_log_lines_are_converted_in_order() -> None:
    """Guards against a time line that lacks the events of front processes."""
    log_events = decoding.decode_log(LOG).events
    assert [(each.kind, each.detail) for each in log_events] == [
        (events.Kind.STARTED, ""),
        (events.Kind.VERSION_IN_FORCE, ""),
        (events.Kind.ATTEMPT_QUEUED, "hedge"),
        (events.Kind.ATTEMPT_FAILED, "shed refused_not_run"),
        (events.Kind.REQUEST_FINISHED, "answer"),
        (events.Kind.BELIEF_CHANGED, "store_away status 429"),
        (events.Kind.STARTED, ""),
        (events.Kind.BELIEF_CHANGED, "store_back"),
        (events.Kind.BELIEF_CHANGED, "request_forwarded_again silent"),
    ]
    assert [each.seq for each in log_events] == [1, 2, 3, 4, 5, 6, 1, 2, 3]
    assert {each.process for each in log_events} == {"f1.1", "f1.2"}


def test_one_request_over_two_instances() -> None:
    """Guards against subqueries that the time line of their request does not show."""
    other = line("request_finished", 2.15, request_id="r1", instance="f2", zone="b",
                 route="search", outcome="answer", subquery=True)  # fmt: skip
    log_events = decoding.decode_log(LOG).events + decoding.decode_log([other]).events
    timeline = filters.apply(merge.merge(log_events), filters.Filter(request="r1"))
    assert [entry.event.instance for entry in timeline.entries] == [
        "f1",
        "f1",
        "f2",
        "f1",
    ]
    assert "target=t7" in render_text.render(timeline)


def test_unreadable_lines_are_counted() -> None:
    """Guards against a corrupt log that looks like a log without events."""
    assert (
        decoding.decode_log([b'{"message_type": "started", "insta']).unreadable_lines
        == 1
    )
