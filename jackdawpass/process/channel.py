"""The way of all sub-requests of this instance to one target."""

import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, exchange, pool
from jackdawpass.request import model, runner

_CONNECT_FAILED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)
_LOST = model.AttemptFailure(
    model.FailureKind.CONNECTION_LOST, model.Execution.MAY_HAVE_RUN
)
_MISMATCHED = model.AttemptFailure(
    model.FailureKind.MISMATCHED_REPLY, model.Execution.MAY_HAVE_RUN
)
_EXPIRED = model.AttemptFailure(
    model.FailureKind.QUEUE_EXPIRED, model.Execution.NOT_SENT
)


class Submission:
    """One attempt on its way through a channel."""

    def __init__(
        self,
        attempt: model.Attempt,
        query: bytes,
        listener: runner.Listener,
        wire: dialect.TargetDialect,
    ) -> None:
        self._attempt = attempt
        self._query = query
        self._listener = listener
        self._wire = wire
        self._connection: exchange.Exchange | None = None
        self._cancelled = False

    def cancel(self) -> None:
        """Withdraw the attempt; an exchange under way closes its connection."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def on_connection(
        self, owner: pool.Pool, connection: exchange.Exchange | None
    ) -> None:
        """Send the attempt on a connection, unless it is no longer wanted."""
        if connection is None:
            self._fail_unless_cancelled(_CONNECT_FAILED)
            return
        remaining = self._attempt.deadline - clock.monotonic()
        if self._cancelled or remaining <= 0:
            owner.on_idle(connection)
            self._fail_unless_cancelled(_EXPIRED)
            return
        self._connection = connection
        request = self._wire.encode_run(self._attempt, remaining, self._query)
        connection.send(request, self._on_done)
        self._listener.on_sent(self._attempt.attempt_id)

    def _on_done(self, outcome: dialect.HttpReply | exchange.Loss) -> None:
        connection, self._connection = self._connection, None
        if self._cancelled:
            return
        if isinstance(outcome, exchange.Loss):
            self._fail_unless_cancelled(_LOST)
            return
        decoded = self._wire.decode_run(self._attempt, outcome)
        reply = decoded.value_or(None)
        if reply is not None:
            self._listener.on_reply(self._attempt.attempt_id, reply)
            return
        failure = decoded.failure()
        if failure.kind is model.FailureKind.MISMATCHED_REPLY and connection:
            # A connection that carried another exchange's reply is out of step.
            connection.abort()
        self._fail_unless_cancelled(failure)

    def _fail_unless_cancelled(self, failure: model.AttemptFailure) -> None:
        if not self._cancelled:
            self._listener.on_failure(self._attempt.attempt_id, failure)


class Channel:
    """Sends attempts to one target over its pool of connections."""

    def __init__(
        self,
        reactor: typing.Any,
        wire: dialect.TargetDialect,
        host: str,
        port: int,
        connections: int,
    ) -> None:
        self._wire = wire
        self._pool = pool.Pool(reactor, host, port, connections)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> Submission:
        """Send an attempt as soon as a connection is free."""
        submission = Submission(attempt, query, listener, self._wire)
        self._pool.acquire(
            lambda connection: submission.on_connection(self._pool, connection)
        )
        return submission

    def close(self) -> None:
        """Close the connections as they become idle."""
        self._pool.close()
