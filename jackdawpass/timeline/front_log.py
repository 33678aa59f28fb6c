"""Conversion of the log lines of front processes to events."""

import collections

import msgspec

from jackdawpass.process import events

_KIND_BY_MESSAGE_TYPE = {
    "started": events.Kind.STARTED,
    "stopping": events.Kind.DRAIN_STARTED,
    "stopped": events.Kind.STOPPED,
    "version_in_force": events.Kind.VERSION_IN_FORCE,
    "request_finished": events.Kind.REQUEST_FINISHED,
    "caller_gone": events.Kind.CALLER_GONE,
    "attempt_repeated": events.Kind.ATTEMPT_QUEUED,
    "attempt_failed": events.Kind.ATTEMPT_FAILED,
    "attempt_given_up": events.Kind.ATTEMPT_CANCELLED,
}
# Lines about an instance's view of the system become BELIEF_CHANGED events, whose
# detail begins with the message type.
_BELIEF_MESSAGE_TYPES = frozenset(
    (
        "aggregator_changed",
        "part_chosen",
        "store_away",
        "store_back",
        "store_history_gone",
        "isolated",
        "reaches_other_zones",
        "targets_followed",
        "targets_no_longer_followed",
        "zone_back",
        "request_forwarded_again",
        "log_lines_dropped",
    )
)


class Line(msgspec.Struct, kw_only=True):
    """Fields of a front process's log line that events are built from."""

    message_type: str = ""
    instance: str = ""
    zone: str = ""
    timestamp: float = 0.0
    request_id: str = ""
    route: str = ""
    target: str = ""
    attempt: int = 0
    attempt_kind: str = ""
    reason: str = ""
    outcome: str = ""
    aggregator: str = ""
    state: str = ""
    version: int = 0
    configuration_version: int = 0


class EventConverter:
    """Converter of the lines of one log, in order, to events.

    The events of an instance are numbered from 1 after each of its starts, since the
    lines have no sequence numbers of their own.
    """

    def __init__(self) -> None:
        self._start_counts: collections.Counter[str] = collections.Counter()
        self._event_counts: collections.Counter[str] = collections.Counter()

    def convert(self, line: Line) -> events.Event | None:
        """Return the event that a line describes, or None if it describes none."""
        kind = _KIND_BY_MESSAGE_TYPE.get(line.message_type)
        if kind is None and line.message_type in _BELIEF_MESSAGE_TYPES:
            kind = events.Kind.BELIEF_CHANGED
        if kind is None or not line.instance:
            return None
        if kind is events.Kind.STARTED:
            self._start_counts[line.instance] += 1
        process = f"{line.instance}.{self._start_counts[line.instance]}"
        self._event_counts[process] += 1
        return events.Event(
            process=process,
            instance=line.instance,
            zone=line.zone,
            seq=self._event_counts[process],
            kind=kind,
            wall=line.timestamp,
            # The lines have no monotonic time.
            monotonic=line.timestamp,
            request_id=line.request_id,
            attempt_id=line.attempt,
            service=line.route,
            target=line.target or line.aggregator,
            attempt_kind=line.attempt_kind,
            detail=_detail(line),
            version=line.version or line.configuration_version,
        )


def _detail(line: Line) -> str:
    descriptions = (line.outcome, line.reason, line.state)
    parts = [description for description in descriptions if description]
    if line.message_type in _BELIEF_MESSAGE_TYPES:
        parts.insert(0, line.message_type)
    return " ".join(parts)
