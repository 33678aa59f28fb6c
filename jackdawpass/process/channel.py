"""The way of all sub-requests of this instance to one target."""

import collections.abc
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, pool
from jackdawpass.process import policy, priority_queue, submission
from jackdawpass.request import model, runner

MIN_WAKE_SECONDS = 0.0005

OnProbe = collections.abc.Callable[[str, bool], None]

_QUEUE_FULL = model.AttemptFailure(
    model.FailureKind.QUEUE_FULL, model.Execution.NOT_SENT
)


class Channel:
    """Queues attempts to one target and starts them as its limiter permits.

    Parameters
    ----------
    reactor : IReactorTime
        Sets the timer for paced starts and expiry.
    target : str
        Name of the target.
    wire : TargetDialect
        Encodes sub-requests and decodes replies.
    connections : Pool
        Connections to the target.
    limiter : ConcurrencyLimiter
        Concurrency limit of the target.
    entry_policy : Policy
        Says how attempts wait, and sees each one's begin and end.
    """

    def __init__(
        self,
        reactor: typing.Any,
        target: str,
        wire: dialect.TargetDialect,
        connections: pool.Pool,
        limiter: policy.ConcurrencyLimiter,
        entry_policy: policy.Policy,
    ) -> None:
        self._reactor = reactor
        self._target = target
        self._wire = wire
        self._pool = connections
        self._limiter = limiter
        self._policy = entry_policy
        self._queue: priority_queue.PriorityQueue[submission.Submission] = (
            priority_queue.PriorityQueue()
        )
        self._timer: typing.Any = None

    @property
    def waiting(self) -> int:
        """Number of attempts that wait for the concurrency limiter."""
        return len(self._queue)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> submission.Submission:
        """Start an attempt, queue it, or refuse it when the queue is full."""
        now = clock.monotonic()
        new = submission.Submission(
            attempt, query, listener, self._wire, self._pool, self
        )
        self._policy.on_submitted(now, attempt)
        if not len(self._queue) and self._limiter.try_start(now):
            new.start()
        else:
            self._enqueue(now, new)
        return new

    def set_connections(self, limit: int) -> None:
        """Change the largest number of connections to the target."""
        self._pool.set_limit(limit)

    def probe(self, on_result: OnProbe) -> None:
        """Ask the target for its health; call back with whether it accepts work."""

        def on_connection(connection: http_connection.HttpConnection | None) -> None:
            if connection is None:
                on_result(self._target, False)
            else:
                connection.send(
                    self._wire.encode_health(),
                    lambda outcome: on_done(connection, outcome),
                )

        def on_done(
            connection: http_connection.HttpConnection,
            outcome: dialect.HttpReply | http_connection.ExchangeError,
        ) -> None:
            ready = False
            if isinstance(outcome, dialect.HttpReply):
                self._pool.release(connection)
                ready = self._wire.decode_health(outcome)
            on_result(self._target, ready)

        self._pool.acquire(on_connection)

    def close(self) -> None:
        """Close the connections as they become idle."""
        self._pool.close()

    def on_end(
        self,
        now: float,
        ended: submission.Submission,
        end: submission.End,
        was_started: bool,
    ) -> None:
        """Report the end of an attempt and start those that wait."""
        if ended.queue_position is not None:
            self._queue.remove(ended.queue_position)
        if was_started:
            self._give_back(now, end)
        self._report(now, ended.attempt, end)
        self._start_waiting(now)

    def _enqueue(self, now: float, new: submission.Submission) -> None:
        queue_settings = self._policy.queue_settings(new.attempt.service)
        pushed = self._queue.push(
            new, queue_settings.priority, new.attempt.deadline, queue_settings.max_queue
        )
        new.queue_position = pushed.position
        if new.queue_position is None:
            new.fail(_QUEUE_FULL)
            return
        if pushed.evicted is not None:
            pushed.evicted.fail(_QUEUE_FULL)
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        if len(self._queue):
            needed = self._policy.expected_latency(self._target)
            for expired in self._queue.pop_expired(now + needed):
                expired.fail(submission.EXPIRED)
        while len(self._queue) and self._limiter.try_start(now):
            first = self._queue.pop()
            assert first is not None
            first.start()
        self._set_timer(now)

    def _give_back(self, now: float, end: submission.End) -> None:
        match end:
            case submission.Replied(latency):
                self._limiter.on_reply(now, latency)
            case submission.Cancelled(age):
                self._limiter.on_cancelled(now, age)
            case model.AttemptFailure():
                self._limiter.on_failure(now, end)

    def _report(self, now: float, attempt: model.Attempt, end: submission.End) -> None:
        match end:
            case submission.Replied(latency):
                self._policy.on_reply(now, attempt, latency)
            case submission.Cancelled(age):
                self._policy.on_cancelled(now, attempt, age)
            case model.AttemptFailure():
                self._policy.on_failure(now, attempt, end)

    def _set_timer(self, now: float) -> None:
        at = self._next_wake(now)
        if at is None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            return
        delay = max(MIN_WAKE_SECONDS, at - now)
        if self._timer is None:
            self._timer = self._reactor.callLater(delay, self._on_timer)
        else:
            self._timer.reset(delay)

    def _next_wake(self, now: float) -> float | None:
        deadline = self._queue.earliest_deadline
        if deadline is None:
            return None
        expiry = deadline - self._policy.expected_latency(self._target)
        start = self._limiter.next_start(now)
        return expiry if start is None else min(expiry, start)

    def _on_timer(self) -> None:
        self._timer = None
        self._start_waiting(clock.monotonic())
