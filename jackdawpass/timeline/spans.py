"""Grouping of the entries of a time line by process, request and attempt."""

import collections.abc
import dataclasses

from jackdawpass.process import events
from jackdawpass.timeline import merge

_END_STATES = {
    events.Kind.ATTEMPT_REPLIED: "replied",
    events.Kind.ATTEMPT_FAILED: "failed",
    events.Kind.ATTEMPT_CANCELLED: "cancelled",
}
_REQUEST_KINDS = (
    events.Kind.REQUEST_ACCEPTED,
    events.Kind.REQUEST_FINISHED,
    events.Kind.CALLER_GONE,
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A sub-request, with times in seconds since the epoch or None if unknown."""

    attempt_id: int
    kind: str
    target: str
    queued_at: float
    sent_at: float | None = None
    ended_at: float | None = None
    end_state: str = ""
    detail: str = ""


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its attempts in the order of their first events."""

    request_id: str
    service: str
    started_at: float
    ended_at: float
    outcome: str = ""
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Lane:
    """A process with its requests; `marks` are events that belong to no request."""

    process: str
    zone: str
    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    marks: list[merge.Entry] = dataclasses.field(default_factory=list)


def group_by_process(entries: collections.abc.Iterable[merge.Entry]) -> list[Lane]:
    """Return one lane per process, in the order of the first entries."""
    lanes: dict[str, Lane] = {}
    for entry in entries:
        event = entry.event
        lane = lanes.setdefault(event.process, Lane(event.process, event.zone))
        if event.request_id:
            _add_to_request(lane, entry)
        else:
            lane.marks.append(entry)
    return list(lanes.values())


def _add_to_request(lane: Lane, entry: merge.Entry) -> None:
    event = entry.event
    new = Request(event.request_id, event.service, entry.timestamp, entry.timestamp)
    request = lane.requests.setdefault(event.request_id, new)
    request.ended_at = max(request.ended_at, entry.timestamp)
    if event.kind in _REQUEST_KINDS:
        if event.kind is not events.Kind.REQUEST_ACCEPTED:
            request.outcome = event.detail or "caller gone"
        return
    new_attempt = Attempt(
        event.attempt_id, event.attempt_kind, event.target, entry.timestamp
    )
    attempt = request.attempts.setdefault(event.attempt_id, new_attempt)
    if event.kind is events.Kind.ATTEMPT_SENT:
        attempt.sent_at = entry.timestamp
    elif event.kind in _END_STATES:
        attempt.ended_at = entry.timestamp
        attempt.end_state = _END_STATES[event.kind]
        attempt.detail = event.detail
