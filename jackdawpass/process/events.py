"""Bounded ring of the events of one process."""

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
    """Kinds of events."""

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
    """Names one event of any process."""

    process: str
    seq: int


# A struct instead of a data class: 190 sub-requests per query emit three events each.
class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event.

    Attributes
    ----------
    process : str
        Instance name and a random suffix, so that a restart is another process.
    seq : int
        Sequence number within the process, from 1.
    wall, monotonic : float
        Seconds; monotonic times compare only within a process.
    attempt_kind : str
        ``first``, ``hedge``, ``retry`` or ``restart``.
    detail : str
        Outcome of a request or kind of a failure.
    version : int
        Configuration version in force when the event happened.
    cause : Reference or None
        Event that this one follows.
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
    """Records events."""

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
        """Record an event and return the reference for events that follow it."""


class Ring:
    """Keeps the latest events of this process and writes them to the log."""

    def __init__(self, instance: str, zone: str, size: int) -> None:
        self._instance = instance
        self._zone = zone
        self._process = f"{instance}-{uuid.uuid4().hex[:8]}"
        self._events: collections.deque[Event] = collections.deque(maxlen=size)
        self._next_seq = 1
        self.version = 0

    @property
    def process(self) -> str:
        """Identity of this process, unique over restarts."""
        return self._process

    @property
    def last_seq(self) -> int:
        """Sequence number of the latest event; 0 before the first."""
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
        """Record an event and return the reference for events that follow it."""
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
        write = _logger.error if error else _logger.info
        write(MESSAGE_TYPE, request_id, event=event)
        return Reference(self._process, event.seq)

    def after(self, seq: int, limit: int) -> tuple[Event, ...]:
        """Return up to `limit` kept events with a higher sequence number."""
        if not self._events:
            return ()
        skipped = max(0, seq - self._events[0].seq + 1)
        return tuple(itertools.islice(self._events, skipped, skipped + limit))
