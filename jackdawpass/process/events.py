"""Events of one process, kept in a bounded buffer and written to the log."""

import collections
import enum
import itertools
import typing
import uuid

import msgspec

from jackdawpass import clock
from jackdawpass.process import logs

_logger = logs.get_logger(__name__)
MESSAGE_TYPE = "event"


class Kind(enum.Enum):
    """Kind of an event."""

    STARTED = "started"
    VERSION_IN_FORCE = "version_in_force"
    DRAIN_STARTED = "drain_started"
    LISTENING_STOPPED = "listening_stopped"
    STOPPED = "stopped"
    REQUEST_ACCEPTED = "request_accepted"
    REQUEST_FINISHED = "request_finished"
    CALLER_GONE = "caller_gone"
    ATTEMPT_QUEUED = "attempt_queued"
    ATTEMPT_SENT = "attempt_sent"
    ATTEMPT_REPLIED = "attempt_replied"
    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_CANCELLED = "attempt_cancelled"
    BELIEF_CHANGED = "belief_changed"


class Reference(msgspec.Struct, frozen=True):
    """Reference to one event, unique across processes."""

    process: str
    seq: int


# A struct instead of a data class for speed: each of the 190 sub-requests of a query
# emits three events.
class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One recorded event.

    Attributes
    ----------
    process : str
        Instance name with a random suffix, which differs after a restart.
    seq : int
        Sequence number within the process, starting at 1.
    wall, monotonic : float
        Time in seconds; monotonic times are comparable only within a process.
    attempt_kind : str
        ``first``, ``hedge``, ``retry`` or ``restart``.
    detail : str
        Outcome of a request, or kind of a failure.
    version : int
        Configuration version that applied when the event was recorded.
    cause : Reference or None
        Event that caused this one.
    """

    process: str
    instance: str
    zone: str
    seq: int
    kind: Kind
    wall: float
    monotonic: float
    request_id: str = ""
    attempt_id: int = 0
    service: str = ""
    target: str = ""
    attempt_kind: str = ""
    detail: str = ""
    version: int = 0
    cause: Reference | None = None


class Emitter(typing.Protocol):
    """Recorder of events."""

    def emit(
        self,
        kind: Kind,
        *,
        cause: Reference | None = None,
        request_id: str = "",
        attempt_id: int = 0,
        service: str = "",
        target: str = "",
        attempt_kind: str = "",
        detail: str = "",
        error: bool = False,
    ) -> Reference:
        """Record an event; return a reference for events that it causes."""


class EventBuffer:
    """Buffer of the latest events of this process; all events go to the log."""

    def __init__(self, instance: str, zone: str, size: int) -> None:
        self._instance = instance
        self._zone = zone
        self._process = f"{instance}-{uuid.uuid4().hex[:8]}"
        self._events: collections.deque[Event] = collections.deque(maxlen=size)
        self._next_seq = 1
        self.version = 0

    @property
    def process(self) -> str:
        """Identifier of this process, unique across restarts."""
        return self._process

    @property
    def last_seq(self) -> int:
        """Sequence number of the latest event; 0 if there is none."""
        return self._next_seq - 1

    def emit(
        self,
        kind: Kind,
        *,
        cause: Reference | None = None,
        request_id: str = "",
        attempt_id: int = 0,
        service: str = "",
        target: str = "",
        attempt_kind: str = "",
        detail: str = "",
        error: bool = False,
    ) -> Reference:
        """Record an event; return a reference for events that it causes."""
        event = Event(
            process=self._process,
            instance=self._instance,
            zone=self._zone,
            seq=self._next_seq,
            kind=kind,
            wall=clock.wall(),
            monotonic=clock.monotonic(),
            request_id=request_id,
            attempt_id=attempt_id,
            service=service,
            target=target,
            attempt_kind=attempt_kind,
            detail=detail,
            version=self.version,
            cause=cause,
        )
        self._next_seq += 1
        self._events.append(event)
        log = _logger.error if error else _logger.info
        log(MESSAGE_TYPE, request_id, event=event)
        return Reference(self._process, event.seq)

    def after(self, seq: int, limit: int) -> tuple[Event, ...]:
        """Return up to `limit` buffered events with a higher sequence number."""
        if not self._events:
            return ()
        skipped = max(0, seq - self._events[0].seq + 1)
        return tuple(itertools.islice(self._events, skipped, skipped + limit))
