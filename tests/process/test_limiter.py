"""Tests of the adaptive concurrency limit."""

import collections
import heapq
import random

import hypothesis
from hypothesis import strategies

from jackdawpass.process import limiter
from tests.process import samples

SERVICE_SECONDS = 0.005


class _Server:
    """Simulation of a server with a queue and instances that always have requests."""

    def __init__(self, instances: int, slots: int, seed: int) -> None:
        self.completed = [0] * instances
        self.most_in_flight = 0
        self._random = random.Random(seed)
        self._limiters = [limiter.Limiter(slots / 30, 2.0) for _ in range(instances)]
        self._slots = slots
        self._running = 0
        self._queue: collections.deque[tuple[int, float]] = collections.deque()
        # (time, instance, time of sending); a negative time of sending marks an event
        # that only wakes the instance.
        self._events = [(0.001 * i, i, -1.0) for i in range(instances)]

    def run(self, seconds: float) -> None:
        now = 0.0
        while now < seconds:
            now, instance, sent = heapq.heappop(self._events)
            if sent >= 0:
                self._finish(now, instance, sent)
            self._start(now, instance)

    def _finish(self, now: float, instance: int, sent: float) -> None:
        self.completed[instance] += 1
        self._limiters[instance].on_reply(now, now - sent)
        self._running -= 1
        if self._queue:
            self._serve(now, *self._queue.popleft())

    def _start(self, now: float, instance: int) -> None:
        target_limiter = self._limiters[instance]
        while target_limiter.try_start(now):
            if self._running < self._slots:
                self._serve(now, instance, now)
            else:
                self._queue.append((instance, now))
        self.most_in_flight = max(self.most_in_flight, self._running + len(self._queue))
        at = target_limiter.next_start(now)
        if at is not None:
            heapq.heappush(self._events, (max(at, now + 0.0005), instance, -1.0))

    def _serve(self, now: float, instance: int, sent: float) -> None:
        self._running += 1
        duration = SERVICE_SECONDS * self._random.lognormvariate(-0.125, 0.5)
        heapq.heappush(self._events, (now + duration, instance, sent))


def test_20_instances_neither_overload_nor_starve_2_slots() -> None:
    """Guards against a limit that cannot fall below one request per instance."""
    server = _Server(instances=20, slots=2, seed=3)
    server.run(20.0)
    capacity = 20.0 * 2 / SERVICE_SECONDS
    assert sum(server.completed) > 0.9 * capacity
    assert server.most_in_flight <= 40
    assert min(server.completed) > capacity / 20 / 10


def test_all_instances_at_their_floor_fit_the_slots() -> None:
    """Guards against a floor that still overloads a target that sheds requests."""
    target_limiter = limiter.Limiter(2 / 20, 2.0)
    for step in range(100):
        target_limiter.try_start(float(step))
        target_limiter.on_failure(float(step), samples.SHED)
    assert 20 * target_limiter.limit <= 2.0 + 1e-9


def test_limit_recovers_after_a_slow_period() -> None:
    """Guards against a limit that stays low after the target is fast again."""
    target_limiter = limiter.Limiter(2 / 30, 2.0)
    now = 0.0
    lowest = 2.0
    for latency, count in ((0.005, 200), (0.2, 100), (0.005, 200)):
        for _ in range(count):
            now = target_limiter.next_start(now) or now
            assert target_limiter.try_start(now)
            now += latency
            target_limiter.on_reply(now, latency)
            lowest = min(lowest, target_limiter.limit)
    assert lowest < 0.5
    assert target_limiter.limit > 1.5


def test_limit_recovers_with_the_first_reply_after_a_stall() -> None:
    """Guards against seconds of paced requests after a partitioned zone recovers."""
    target_limiter = limiter.Limiter(2 / 30, 2.0)
    now = _run_requests(target_limiter, 0.0, 100, SERVICE_SECONDS)
    for _ in range(20):
        now += 1.0
        assert target_limiter.try_start(now)
        now += 1.0
        target_limiter.on_cancelled(now, 1.0)
    assert target_limiter.expected_latency() > 4 * SERVICE_SECONDS
    now += 1.0
    assert target_limiter.try_start(now)
    target_limiter.on_reply(now + SERVICE_SECONDS, SERVICE_SECONDS)
    assert target_limiter.limit >= limiter.INITIAL_LIMIT
    assert target_limiter.expected_latency() < 2 * SERVICE_SECONDS


def _run_requests(
    target_limiter: limiter.Limiter, now: float, count: int, latency: float
) -> float:
    """Run requests one after another; return the time of the last reply."""
    for _ in range(count):
        now += 0.1
        assert target_limiter.try_start(now)
        now += latency
        target_limiter.on_reply(now, latency)
    return now


def test_slow_target_is_not_throttled_to_the_floor() -> None:
    """Guards against a slowdown of the target that is mistaken for a queue.

    The limit then fell to the floor, and sub-requests queued in the instance.
    """
    target_limiter = limiter.Limiter(2 / 12, 5.0)
    now, lowest = 0.0, 5.0
    for latency, count in ((0.004, 100), (0.032, 100)):
        for _ in range(count):
            now = target_limiter.next_start(now) or now
            assert target_limiter.try_start(now)
            now += latency
            target_limiter.on_reply(now, latency)
            lowest = min(lowest, target_limiter.limit) if latency > 0.01 else lowest
    assert lowest > 2 * 2 / 12


def test_event_loop_delay_does_not_lower_the_limit() -> None:
    """Guards against limits that fall because queries overlap in this instance.

    The 99th percentile of latency under a steady load was then three times that of
    the naive policy.
    """
    target_limiter = limiter.Limiter(2 / 12, 5.0)
    now, before = 0.0, 0.0
    for latency, count in ((0.005, 200), (0.019, 20)):
        before = target_limiter.limit
        for _ in range(count):
            now = target_limiter.next_start(now) or now
            assert target_limiter.try_start(now)
            now += latency
            target_limiter.on_reply(now, latency)
    assert target_limiter.limit >= before > 1


def test_expected_wait_grows_with_the_queue() -> None:
    """Guards against admission that ignores the queue of a target."""
    target_limiter = limiter.Limiter(0.5, 1.0)
    for step in range(200):
        now = target_limiter.next_start(float(step)) or float(step)
        assert target_limiter.try_start(now)
        target_limiter.on_reply(now + 0.01, 0.01)
    assert target_limiter.limit == 1.0
    assert abs(target_limiter.expected_wait(0) - 0.01) < 1e-6
    assert abs(target_limiter.expected_wait(4) - 0.05) < 1e-6


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("start", "reply", "shed", "cancel")),
            strategies.floats(-5, 5),
            strategies.floats(0, 10),
        ),
        max_size=60,
    )
)
def test_bounds_hold_for_any_history(
    history: list[tuple[str, float, float]],
) -> None:
    """Guards against leaked permits and a limit out of bounds, for any clock steps."""
    target_limiter = limiter.Limiter(0.1, 3.0)
    now, started = 100.0, 0
    for event, step, latency in history:
        now += step
        if event == "start":
            started += target_limiter.try_start(now)
        elif started:
            started -= 1
            if event == "reply":
                target_limiter.on_reply(now, latency)
            elif event == "shed":
                target_limiter.on_failure(now, samples.SHED)
            else:
                target_limiter.on_cancelled(now, latency)
        assert target_limiter.in_flight == started <= 3
        assert 0.1 <= target_limiter.limit <= 3.0
        at = target_limiter.next_start(now)
        assert at is None or at <= now + limiter.MAX_PAUSE_SECONDS
