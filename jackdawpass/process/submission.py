"""Life cycle of one attempt, from the queue to its end."""

import dataclasses
import enum
import functools
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, pool
from jackdawpass.process import logs, priority_queue
from jackdawpass.request import model, runner

_logger = logs.get_logger(__name__)

_CONNECT_FAILED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)
_CONNECTION_LOST = model.AttemptFailure(
    model.FailureKind.CONNECTION_LOST, model.Execution.MAY_HAVE_RUN
)
_REPLY_TOO_LARGE = model.AttemptFailure(
    model.FailureKind.REPLY_TOO_LARGE, model.Execution.MAY_HAVE_RUN
)
EXPIRED = model.AttemptFailure(
    model.FailureKind.QUEUE_EXPIRED, model.Execution.NOT_SENT
)


class _State(enum.Enum):
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """End by a reply of the target, `latency` seconds after sending."""

    latency: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """End by a cancellation.

    Attributes
    ----------
    age : float
        Seconds since sending; 0 when not sent.
    is_accepted : bool
        True when the target had accepted the attempt with an interim reply.
    """

    age: float
    is_accepted: bool = False


End = Replied | Cancelled | model.AttemptFailure


class Owner(typing.Protocol):
    """Owner of a submission, such as its channel."""

    def on_end(
        self, now: float, ended: "Submission", end: End, was_started: bool
    ) -> None:
        """Record the end; called exactly once, before the listener is notified."""

    def on_http_reply(
        self, now: float, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> None:
        """Inspect a reply to an attempt, which may have ended before."""

    def is_full(self) -> bool:
        """Return whether the target has recently refused an attempt."""


class Submission:
    """One attempt; its listener is notified of its end unless it was cancelled."""

    def __init__(
        self,
        attempt: model.Attempt,
        query: bytes,
        listener: runner.Listener,
        wire: dialect.TargetDialect,
        connections: pool.Pool,
        owner: Owner,
    ) -> None:
        self._attempt = attempt
        self._query = query
        self._listener = listener
        self._wire = wire
        self._pool = connections
        self._owner = owner
        self._connection: http_connection.HttpConnection | None = None
        self._state = _State.QUEUED
        self._sent_at = 0.0
        self._is_accepted = False
        self.queue_position: priority_queue.QueuePosition | None = None

    @property
    def attempt(self) -> model.Attempt:
        """Attempt that is submitted."""
        return self._attempt

    @property
    def sent(self) -> bool:
        """True while the target may have received bytes of the attempt."""
        return self._state is _State.SENT

    def start(self) -> None:
        """Send the attempt as soon as a connection is available."""
        self._state = _State.CONNECTING
        self._pool.acquire(self._on_connection)

    def fail(self, failure: model.AttemptFailure) -> None:
        """End with a failure and notify the listener."""
        self._end(failure)
        self._listener.on_failure(self._attempt.attempt_id, failure)

    def cancel(self) -> None:
        """Cancel the attempt; an exchange in progress closes its connection."""
        if self._state is _State.ENDED:
            return
        age = 0.0
        if self._connection is not None:
            # A late reply on this connection must not reach another request.
            age = clock.monotonic() - self._sent_at
            self._pool.abandon(
                self._connection, self._owner.is_full(), self._inspect_reply
            )
            self._connection = None
            self._send_cancellation()
        self._end(Cancelled(age, self._is_accepted))

    def _send_cancellation(self) -> None:
        """Send a cancellation to the target if a connection is idle.

        A target may not notice the aborted connection before it writes its reply.
        """
        request = self._wire.encode_cancel(self._attempt)
        connection = None if request is None else self._pool.take_idle()
        if request is not None and connection is not None:
            release = functools.partial(_release, self._pool, connection)
            connection.send(request, release)

    def _on_connection(self, connection: http_connection.HttpConnection | None) -> None:
        if self._state is _State.ENDED:
            if connection is not None:
                self._pool.release(connection)
            return
        if connection is None:
            self.fail(_CONNECT_FAILED)
            return
        now = clock.monotonic()
        remaining = self._attempt.deadline - now
        if remaining <= 0:
            self._pool.release(connection)
            self.fail(EXPIRED)
            return
        self._state = _State.SENT
        self._sent_at = now
        self._connection = connection
        request = self._wire.encode_run(self._attempt, remaining, self._query)
        matches = functools.partial(self._wire.matches, self._attempt)
        on_interim = self._on_interim if self._wire.acknowledges else None
        connection.send(request, self._on_done, matches, on_interim)
        self._listener.on_sent(self._attempt.attempt_id)

    def _on_interim(self, interim: dialect.HttpReply) -> None:
        if not self._is_accepted:
            self._is_accepted = True
            self._listener.on_accepted(self._attempt.attempt_id)

    def _on_done(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if outcome is http_connection.ExchangeError.TOO_LARGE:
            _logger.error(
                "reply_too_large",
                self._attempt.request_id,
                target=self._attempt.target,
                received_bytes=connection.received_bytes,
            )
            self.fail(_REPLY_TOO_LARGE)
            return
        if isinstance(outcome, http_connection.ExchangeError):
            self.fail(_CONNECTION_LOST)
            return
        self._inspect_reply(outcome)
        decoded = self._wire.decode_run(self._attempt, outcome)
        reply = decoded.value_or(None)
        if reply is not None:
            self._pool.release(connection)
            self._end(Replied(clock.monotonic() - self._sent_at))
            self._listener.on_reply(self._attempt.attempt_id, reply)
            return
        failure = decoded.failure()
        if failure.kind is model.FailureKind.MISMATCHED_REPLY:
            # A connection that delivered another exchange's reply is out of sync.
            connection.abort()
        else:
            self._pool.release(connection)
        self.fail(failure)

    def _inspect_reply(self, reply: dialect.HttpReply) -> None:
        self._owner.on_http_reply(clock.monotonic(), self._attempt, reply)

    def _end(self, end: End) -> None:
        was_started = self._state is not _State.QUEUED
        self._state = _State.ENDED
        self._owner.on_end(clock.monotonic(), self, end, was_started)


def _release(
    owner: pool.Pool,
    connection: http_connection.HttpConnection,
    outcome: dialect.HttpReply | http_connection.ExchangeError,
) -> None:
    if isinstance(outcome, dialect.HttpReply):
        owner.release(connection)
