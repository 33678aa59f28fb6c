"""Adaptive concurrency limit of one target, kept without shared state."""

import math

from jackdawpass.request import model

# 20 instances that start together on a server of 2 slots then still see a latency near
# the unloaded one.
INITIAL_LIMIT = 0.25
SHORT_WEIGHT = 0.1
# The minimum of a noisy average is far below the mean and differs by instance, which
# would give the instances of one target different limits.
LONG_WEIGHT = 0.02
MIN_SAMPLES = 5
# Added to the tolerated latency: delays of the own event loop are no sign of load. A
# query to 60 targets keeps it busy for about 10 ms; with 2 ms tolerated, limits fell
# under one in steady state and queries that overlapped waited for each other.
LATENCY_SLACK_SECONDS = 0.010
TOLERATED_RATIO = 2.0
MIN_GRADIENT = 0.1
SMOOTHING = 0.2
# Under one there are few samples; each is a whole round trip.
PACED_SMOOTHING = 0.6
HEADROOM = 0.2
SHED_FACTOR = 0.7
# Bounds what one straggler adds to the short-term latency.
CLIP_RATIO = 8.0
BASE_DRIFT_PER_SECOND = 0.01
MAX_PAUSE_SECONDS = 1.0
MIN_LATENCY_SECONDS = 1e-6


class Limiter:
    """Concurrency limit that follows latency and shed replies.

    The limit settles where the short-term latency is a small multiple of the unloaded
    latency. The additive term grows with the square root of the limit, so instances
    that share a target converge to equal limits. Under one, the limit is a pace: one
    request at a time, with pauses.

    Parameters
    ----------
    floor : float
        Smallest limit: the target's slots divided by the ceiling of instances. All
        instances at their floor together cannot exceed the slots.
    ceiling : float
        Largest limit; more than the connections allowed cannot be used.
    """

    def __init__(self, floor: float, ceiling: float) -> None:
        self._floor = floor
        self._ceiling = max(floor, ceiling)
        self._limit = min(INITIAL_LIMIT, self._ceiling)
        self._limit = max(self._limit, floor)
        self._in_flight = 0
        self._samples = 0
        self._short = 0.0
        self._long = 0.0
        self._base = math.inf
        self._last_sample = -math.inf
        self._last_start = -math.inf
        self._last_shed = -math.inf
        self._limited = False
        self._stalled = False

    @property
    def limit(self) -> float:
        """Requests that may run at once; under one, the share of time in use."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Places that are taken."""
        return self._in_flight

    def set_bounds(self, floor: float, ceiling: float) -> None:
        """Change the bounds and keep what was learned."""
        self._floor = floor
        self._ceiling = max(floor, ceiling)
        self._set_limit(self._limit)

    def expected_latency(self) -> float:
        """Return the recent latency in seconds; 0 when unknown."""
        return self._short

    def expected_wait(self, submitted: int) -> float:
        """Return the seconds until a new attempt would be answered.

        Parameters
        ----------
        submitted : int
            Attempts that were submitted and have not ended.

        Returns
        -------
        float
            The recent latency unless there are more attempts than the limit.
        """
        ahead = max(0.0, submitted + 1 - self._limit)
        return self._short * (1 + ahead / self._limit)

    def try_start(self, now: float) -> bool:
        """Take a place for one attempt; False when it has to wait."""
        if self._in_flight >= max(1, math.floor(self._limit)):
            self._limited = True
            return False
        if now < self._next_paced(now):
            self._limited = True
            return False
        self._in_flight += 1
        self._last_start = now
        return True

    def next_start(self, now: float) -> float | None:
        """Return when to ask again; None when only the end of an attempt helps."""
        if self._in_flight >= max(1, math.floor(self._limit)):
            return None
        return self._next_paced(now)

    def on_reply(self, now: float, latency: float) -> None:
        """Give back a place and adapt to the latency in seconds."""
        self._give_back()
        if self._stalled and latency <= self._tolerated_latency():
            self._start_over(latency)
        self._stalled = False
        self._adapt(now, latency)

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Give back a place; a shed reply lowers the limit once per round trip."""
        self._give_back()
        if failure.kind is not model.FailureKind.SHED:
            return
        if 0 <= now - self._last_shed < self.expected_latency():
            return
        self._last_shed = now
        self._set_limit(self._limit * SHED_FACTOR)

    def on_cancelled(self, now: float, age: float) -> None:
        """Give back a place; the latency is known to be at least `age`."""
        self._give_back()
        if self._samples and age > self._short:
            self._adapt(now, age)
        self._stalled = self._stalled or age > self._clip_latency()

    def _give_back(self) -> None:
        self._in_flight = max(0, self._in_flight - 1)

    def _next_paced(self, now: float) -> float:
        if self._limit >= 1:
            return now
        if now < self._last_start:
            # The clock stepped back; without this the pause would last as long.
            self._last_start = now
        pause = self.expected_latency() / self._limit
        return self._last_start + min(pause, MAX_PAUSE_SECONDS)

    def _tolerated_latency(self) -> float:
        return TOLERATED_RATIO * self._base + LATENCY_SLACK_SECONDS

    def _clip_latency(self) -> float:
        return CLIP_RATIO * self._base + LATENCY_SLACK_SECONDS

    def _start_over(self, latency: float) -> None:
        """Leave the latency of a stall behind.

        A target that answers within its unloaded latency has no queue. Averages would
        take seconds to show that, in which queries are expected to be late.
        """
        self._short = self._long = max(latency, MIN_LATENCY_SECONDS)
        self._set_limit(max(self._limit, INITIAL_LIMIT))

    def _adapt(self, now: float, latency: float) -> None:
        self._note(now, latency)
        if self._samples < MIN_SAMPLES:
            return
        tolerated = self._tolerated_latency()
        gradient = min(1.0, max(MIN_GRADIENT, tolerated / self._short))
        wanted = self._limit * gradient + HEADROOM * math.sqrt(self._limit)
        used = self._limited or self._in_flight + 1 > self._limit / 2
        self._limited = False
        if wanted > self._limit and not used:
            return
        smoothing = SMOOTHING if self._limit >= 1 else PACED_SMOOTHING
        self._set_limit(self._limit + smoothing * (wanted - self._limit))

    def _note(self, now: float, latency: float) -> None:
        elapsed = now - self._last_sample
        self._last_sample = now
        self._samples += 1
        latency = max(latency, MIN_LATENCY_SECONDS)
        clipped = min(latency, self._clip_latency())
        self._short += max(SHORT_WEIGHT, 1 / self._samples) * (clipped - self._short)
        self._long += max(LONG_WEIGHT, 1 / self._samples) * (clipped - self._long)
        if self._samples < MIN_SAMPLES:
            return
        if elapsed > 0:
            self._base *= 1 + BASE_DRIFT_PER_SECOND * elapsed
        self._base = min(self._base, self._long)
        # All instances at a multiple of their floor keep at most that multiple of the
        # slots busy, so the unloaded latency is at least the inverse share of this one.
        self._base = max(self._base, self._short * self._floor / self._limit)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(self._ceiling, max(self._floor, limit))
