"""Channel that queues and sends the sub-requests of this instance to one target."""

import collections.abc
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, pool
from jackdawpass.process import policy, priority_queue, submission
from jackdawpass.request import model, runner

MIN_TIMER_SECONDS = 0.0005

OnProbe = collections.abc.Callable[[str, bool], None]

_QUEUE_FULL = model.AttemptFailure(
    model.FailureKind.QUEUE_FULL, model.Execution.NOT_SENT
)


class Channel:
    """Queue of the attempts to one target, which start when its limiter permits.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timer for delayed starts and for expiry.
    target : str
        Name of the target.
    wire : TargetDialect
        Encodes sub-requests and decodes replies.
    connections : Pool
        Connections to the target.
    limiter : ConcurrencyLimiter
        Concurrency limit of the target.
    entry_policy : Policy
        Gives the queue settings and receives the start and result of each attempt.
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
        """Number of queued attempts."""
        return len(self._queue)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> submission.Submission:
        """Start an attempt, or queue it; it fails if the queue is full."""
        now = clock.monotonic()
        submitted = submission.Submission(
            attempt, query, listener, self._wire, self._pool, self
        )
        self._policy.on_submitted(now, attempt)
        if not len(self._queue) and self._limiter.try_start(now):
            submitted.start()
        else:
            self._enqueue(now, submitted)
        return submitted

    def set_connections(self, limit: int) -> None:
        """Set the maximum number of connections to the target."""
        self._pool.set_limit(limit)

    def probe(self, on_result: OnProbe) -> None:
        """Check the target's health; call back with whether it accepts work."""

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

    def on_http_reply(
        self, now: float, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> None:
        """Do nothing: targets refuse work with the reason, and report their state."""

    def is_full(self) -> bool:
        """Return False: a full target gets fewer attempts by its limiter."""
        return False

    def on_end(
        self,
        now: float,
        ended: submission.Submission,
        end: submission.End,
        was_started: bool,
    ) -> None:
        """Pass an attempt's result to the limiter and the policy; start queued ones."""
        if ended.queue_position is not None:
            self._queue.remove(ended.queue_position)
        if was_started:
            self._update_limiter(now, end)
        self._update_policy(now, ended.attempt, end)
        self._start_waiting(now)

    def _enqueue(self, now: float, submitted: submission.Submission) -> None:
        queue_settings = self._policy.queue_settings(submitted.attempt.service)
        pushed = self._queue.push(
            submitted,
            queue_settings.priority,
            submitted.attempt.deadline,
            queue_settings.max_queue,
        )
        submitted.queue_position = pushed.position
        if submitted.queue_position is None:
            submitted.fail(_QUEUE_FULL)
            return
        if pushed.evicted is not None:
            pushed.evicted.fail(_QUEUE_FULL)
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        if len(self._queue):
            latency = self._policy.expected_latency(self._target)
            for expired in self._queue.pop_expired(now + latency):
                expired.fail(submission.EXPIRED)
        while len(self._queue) and self._limiter.try_start(now):
            queued = self._queue.pop()
            assert queued is not None
            queued.start()
        self._set_timer(now)

    def _update_limiter(self, now: float, end: submission.End) -> None:
        match end:
            case submission.Replied(latency):
                self._limiter.on_reply(now, latency)
            case submission.Cancelled(age):
                self._limiter.on_cancelled(now, age)
            case model.AttemptFailure():
                self._limiter.on_failure(now, end)

    def _update_policy(
        self, now: float, attempt: model.Attempt, end: submission.End
    ) -> None:
        match end:
            case submission.Replied(latency):
                self._policy.on_reply(now, attempt, latency)
            case submission.Cancelled(age):
                self._policy.on_cancelled(now, attempt, age)
            case model.AttemptFailure():
                self._policy.on_failure(now, attempt, end)

    def _set_timer(self, now: float) -> None:
        wake_at = self._next_wake_time(now)
        if wake_at is None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            return
        delay = max(MIN_TIMER_SECONDS, wake_at - now)
        if self._timer is None:
            self._timer = self._reactor.callLater(delay, self._on_timer)
        else:
            self._timer.reset(delay)

    def _next_wake_time(self, now: float) -> float | None:
        deadline = self._queue.earliest_deadline
        if deadline is None:
            return None
        expiry = deadline - self._policy.expected_latency(self._target)
        start = self._limiter.next_start(now)
        return expiry if start is None else min(expiry, start)

    def _on_timer(self) -> None:
        self._timer = None
        self._start_waiting(clock.monotonic())
