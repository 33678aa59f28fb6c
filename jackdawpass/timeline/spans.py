"""Groups the entries of a time line into requests and attempts."""

import collections.abc
import dataclasses

from jackdawpass.process import events
from jackdawpass.timeline import merge

_ENDS = {
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
    """One sub-request; times in seconds since the epoch, None when unknown."""

    attempt_id: int
    kind: str
    target: str
    queued_at: float
    sent_at: float | None = None
    ended_at: float | None = None
    end: str = ""
    detail: str = ""


@dataclasses.dataclass(slots=True)
class Request:
    """One request with its attempts in the order of their first events."""

    request_id: str
    service: str
    began_at: float
    ended_at: float
    outcome: str = ""
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Lane:
    """One process with its requests and the events that belong to none."""

    process: str
    zone: str
    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    marks: list[merge.Entry] = dataclasses.field(default_factory=list)


def lanes(entries: collections.abc.Iterable[merge.Entry]) -> list[Lane]:
    """Return one lane per process, in the order of their first entries."""
    found: dict[str, Lane] = {}
    for entry in entries:
        event = entry.event
        lane = found.setdefault(event.process, Lane(event.process, event.zone))
        if event.request_id:
            _add_to_request(lane, entry)
        else:
            lane.marks.append(entry)
    return list(found.values())


def _add_to_request(lane: Lane, entry: merge.Entry) -> None:
    event = entry.event
    new = Request(event.request_id, event.service, entry.at, entry.at)
    request = lane.requests.setdefault(event.request_id, new)
    request.ended_at = max(request.ended_at, entry.at)
    if event.kind in _REQUEST_KINDS:
        if event.kind is not events.Kind.REQUEST_ACCEPTED:
            request.outcome = event.detail or "caller gone"
        return
    new_attempt = Attempt(event.attempt_id, event.attempt_kind, event.target, entry.at)
    attempt = request.attempts.setdefault(event.attempt_id, new_attempt)
    if event.kind is events.Kind.ATTEMPT_SENT:
        attempt.sent_at = entry.at
    elif event.kind in _ENDS:
        attempt.ended_at = entry.at
        attempt.end = _ENDS[event.kind]
        attempt.detail = event.detail
