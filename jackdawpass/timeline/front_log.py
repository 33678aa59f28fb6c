"""Reads the log lines of front processes as events."""

import collections

import msgspec

from jackdawpass.process import events

_KINDS = {
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
# Lines about what an instance believes; their type stands in the event's detail.
_BELIEFS = frozenset(
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
        "log_lines_dropped",
    )
)


class Line(msgspec.Struct, kw_only=True):
    """A log line of a front process."""

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


class Reader:
    """Turns the lines of one log into events, in their order."""

    def __init__(self) -> None:
        self._starts: collections.Counter[str] = collections.Counter()
        self._events: collections.Counter[str] = collections.Counter()

    def read(self, line: Line) -> events.Event | None:
        """Return the event of a line; None for a line that tells none."""
        kind = _KINDS.get(line.message_type)
        if kind is None and line.message_type in _BELIEFS:
            kind = events.Kind.BELIEF_CHANGED
        if kind is None or not line.instance:
            return None
        if kind is events.Kind.STARTED:
            self._starts[line.instance] += 1
        process = f"{line.instance}.{self._starts[line.instance]}"
        self._events[process] += 1
        return events.Event(
            process=process,
            instance=line.instance,
            zone=line.zone,
            seq=self._events[process],
            kind=kind,
            wall=line.timestamp,
            # The lines carry no other clock.
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
    named = (line.outcome, line.reason, line.state)
    given = [each for each in named if each]
    if line.message_type in _BELIEFS:
        given.insert(0, line.message_type)
    return " ".join(given)
