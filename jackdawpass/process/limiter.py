"""Adaptive concurrency limit of one target, without state shared by instances."""

import math

from jackdawpass.request import model

# Small enough that 20 instances that start together on a target of 2 slots still see a
# latency near the unloaded one.
INITIAL_LIMIT = 0.25
SHORT_TERM_WEIGHT = 0.1
# The unloaded latency is the minimum of this average. The minimum of a noisier average
# is far below the mean and differs by instance, which would give the instances of one
# target different limits.
LONG_TERM_WEIGHT = 0.02
MIN_SAMPLES = 5
# Added to the tolerated latency, since delays of this instance's event loop are not
# load on the target. A query to 60 targets keeps the loop busy for about 10 ms; with
# 2 ms, limits fell below one in steady state and overlapping queries queued.
LATENCY_SLACK_SECONDS = 0.010
TOLERATED_RATIO = 2.0
MIN_GRADIENT = 0.1
SMOOTHING = 0.2
# Below a limit of one, samples are rare: one for each paced round trip.
PACED_SMOOTHING = 0.6
HEADROOM = 0.2
SHED_FACTOR = 0.7
# Bounds the effect of one straggler on the short-term latency.
CLIP_RATIO = 8.0
UNLOADED_DRIFT_PER_SECOND = 0.01
MAX_PAUSE_SECONDS = 1.0
MIN_LATENCY_SECONDS = 1e-6


class Limiter:
    """Gradient-based concurrency limit, driven by latency and shed replies.

    The limit converges to where the short-term latency is a small multiple of the
    unloaded latency. The additive term grows with the square root of the limit, so
    instances that share a target converge to equal limits. A limit below one paces
    requests: one at a time, with pauses between them.

    Parameters
    ----------
    floor : float
        Smallest limit: the target's slots divided by the maximum number of instances.
        All instances at their floor together cannot exceed the slots.
    ceiling : float
        Largest limit: the number of connections that this instance may open.
    """

    def __init__(self, floor: float, ceiling: float) -> None:
        self._floor = floor
        self._ceiling = max(floor, ceiling)
        self._limit = min(INITIAL_LIMIT, self._ceiling)
        self._limit = max(self._limit, floor)
        self._in_flight = 0
        self._samples = 0
        self._short_term = 0.0
        self._long_term = 0.0
        self._unloaded = math.inf
        self._last_sample = -math.inf
        self._last_start = -math.inf
        self._last_shed = -math.inf
        self._was_limited = False
        self._stalled = False

    @property
    def limit(self) -> float:
        """Concurrent requests allowed; below one, the fraction of time in use."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Requests that have started and not ended."""
        return self._in_flight

    def set_bounds(self, floor: float, ceiling: float) -> None:
        """Change the bounds and keep the latency averages."""
        self._floor = floor
        self._ceiling = max(floor, ceiling)
        self._set_limit(self._limit)

    def expected_latency(self) -> float:
        """Return the recent latency in seconds; 0 when unknown."""
        return self._short_term

    def expected_wait(self, submitted: int) -> float:
        """Return the expected seconds until a new attempt is answered.

        Parameters
        ----------
        submitted : int
            Attempts that were submitted and have not ended.

        Returns
        -------
        float
            The recent latency, extended by the attempts above the limit.
        """
        ahead = max(0.0, submitted + 1 - self._limit)
        return self._short_term * (1 + ahead / self._limit)

    def try_start(self, now: float) -> bool:
        """Acquire a permit for one attempt; False when it has to wait."""
        if self._in_flight >= max(1, math.floor(self._limit)):
            self._was_limited = True
            return False
        if now < self._next_paced_start(now):
            self._was_limited = True
            return False
        self._in_flight += 1
        self._last_start = now
        return True

    def next_start(self, now: float) -> float | None:
        """Return when to retry; None when an attempt has to end first."""
        if self._in_flight >= max(1, math.floor(self._limit)):
            return None
        return self._next_paced_start(now)

    def on_reply(self, now: float, latency: float) -> None:
        """Release a permit and adapt to the latency in seconds."""
        self._release()
        if self._stalled and latency <= self._tolerated_latency():
            self._reset_averages(latency)
        self._stalled = False
        self._adapt(now, latency)

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Release a permit; shed replies lower the limit once per round trip."""
        self._release()
        if failure.kind is not model.FailureKind.SHED:
            return
        if 0 <= now - self._last_shed < self.expected_latency():
            return
        self._last_shed = now
        self._set_limit(self._limit * SHED_FACTOR)

    def on_cancelled(self, now: float, age: float) -> None:
        """Release a permit; the latency would have been at least `age`."""
        self._release()
        if self._samples and age > self._short_term:
            self._adapt(now, age)
        self._stalled = self._stalled or age > self._clip_latency()

    def _release(self) -> None:
        self._in_flight = max(0, self._in_flight - 1)

    def _next_paced_start(self, now: float) -> float:
        if self._limit >= 1:
            return now
        if now < self._last_start:
            # The clock stepped back; the pause would last until the clock catches up.
            self._last_start = now
        pause = self.expected_latency() / self._limit
        return self._last_start + min(pause, MAX_PAUSE_SECONDS)

    def _tolerated_latency(self) -> float:
        return TOLERATED_RATIO * self._unloaded + LATENCY_SLACK_SECONDS

    def _clip_latency(self) -> float:
        return CLIP_RATIO * self._unloaded + LATENCY_SLACK_SECONDS

    def _reset_averages(self, latency: float) -> None:
        """Reset the averages after a stall.

        A target that replies within its tolerated latency has no queue. The averages
        would take seconds to show that, and queries would be expected to be late.
        """
        self._short_term = self._long_term = max(latency, MIN_LATENCY_SECONDS)
        self._set_limit(max(self._limit, INITIAL_LIMIT))

    def _adapt(self, now: float, latency: float) -> None:
        self._update_averages(now, latency)
        if self._samples < MIN_SAMPLES:
            return
        tolerated = self._tolerated_latency()
        gradient = min(1.0, max(MIN_GRADIENT, tolerated / self._short_term))
        desired = self._limit * gradient + HEADROOM * math.sqrt(self._limit)
        used = self._was_limited or self._in_flight + 1 > self._limit / 2
        self._was_limited = False
        if desired > self._limit and not used:
            return
        smoothing = SMOOTHING if self._limit >= 1 else PACED_SMOOTHING
        self._set_limit(self._limit + smoothing * (desired - self._limit))

    def _update_averages(self, now: float, latency: float) -> None:
        elapsed = now - self._last_sample
        self._last_sample = now
        self._samples += 1
        latency = max(latency, MIN_LATENCY_SECONDS)
        clipped = min(latency, self._clip_latency())
        self._short_term += max(SHORT_TERM_WEIGHT, 1 / self._samples) * (
            clipped - self._short_term
        )
        self._long_term += max(LONG_TERM_WEIGHT, 1 / self._samples) * (
            clipped - self._long_term
        )
        if self._samples < MIN_SAMPLES:
            return
        if elapsed > 0:
            self._unloaded *= 1 + UNLOADED_DRIFT_PER_SECOND * elapsed
        self._unloaded = min(self._unloaded, self._long_term)
        # Instances at a multiple of their floor use at most that multiple of the slots,
        # so the unloaded latency is at least the short-term latency divided by the
        # multiple.
        self._unloaded = max(
            self._unloaded, self._short_term * self._floor / self._limit
        )

    def _set_limit(self, limit: float) -> None:
        self._limit = min(self._ceiling, max(self._floor, limit))
