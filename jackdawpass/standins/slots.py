"""Slots of a target stand-in, which queue and run requests until their deadlines."""

import collections
import collections.abc
import dataclasses
import typing

import msgspec

from jackdawpass.standins import http_server


class Run(msgspec.Struct):
    """Request body of ``POST /v1/run``."""

    request_id: str
    attempt_id: int
    service: str
    snapshot: str
    shards: list[int]
    deadline_ms: float
    limit: int
    idempotent: bool
    query: msgspec.Raw


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A queued or running request.

    Attributes
    ----------
    remote : bool
        Whether the caller is in another availability zone.
    """

    connection: http_server.ServerConnection
    run: Run
    remote: bool = False
    started: bool = False
    running_timer: typing.Any = None
    deadline_timer: typing.Any = None


class Slots:
    """Fixed number of slots that run jobs, with a bounded queue.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor for the timers of jobs.
    slots, max_waiting : int
        Maximum numbers of running and of queued jobs.
    duration : callable
        Called when a job starts; returns its running time in seconds.
    on_done, on_expired : callable
        Called with a job that has completed, or whose deadline has passed.
    """

    def __init__(
        self,
        reactor: typing.Any,
        slots: int,
        max_waiting: int,
        duration: collections.abc.Callable[[Job], float],
        on_done: collections.abc.Callable[[Job], None],
        on_expired: collections.abc.Callable[[Job], None],
    ) -> None:
        self._reactor = reactor
        self._slots = slots
        self._max_waiting = max_waiting
        self._duration = duration
        self._on_done = on_done
        self._on_expired = on_expired
        self._running: set[Job] = set()
        self._waiting: collections.deque[Job] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Number of running jobs."""
        return len(self._running)

    def try_add(self, job: Job) -> bool:
        """Start or queue a job; return False if the queue is full."""
        if len(self._running) >= self._slots and len(self._waiting) >= (
            self._max_waiting
        ):
            return False
        job.deadline_timer = self._reactor.callLater(
            job.run.deadline_ms / 1000, self._expire, job
        )
        self._waiting.append(job)
        self._start_waiting_jobs()
        return True

    def cancel(self, predicate: collections.abc.Callable[[Job], bool]) -> int:
        """Cancel the matching jobs without a reply and return their number."""
        # All are removed before a queued job starts, so that none of them starts.
        cancelled = [job for job in [*self._running, *self._waiting] if predicate(job)]
        for job in cancelled:
            self._remove(job)
        self._start_waiting_jobs()
        return len(cancelled)

    def _start_waiting_jobs(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.popleft()
            job.started = True
            self._running.add(job)
            seconds = self._duration(job)
            job.running_timer = self._reactor.callLater(seconds, self._complete, job)

    def _complete(self, job: Job) -> None:
        self._remove(job)
        self._start_waiting_jobs()
        self._on_done(job)

    def _expire(self, job: Job) -> None:
        self._remove(job)
        self._start_waiting_jobs()
        self._on_expired(job)

    def _remove(self, job: Job) -> None:
        if job in self._running:
            self._running.discard(job)
        else:
            self._waiting.remove(job)
        for timer in (job.running_timer, job.deadline_timer):
            if timer is not None and timer.active():
                timer.cancel()
