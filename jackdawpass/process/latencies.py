"""Percentiles of a service's recent latencies, and detection of a slow service."""

import bisect
import collections

WINDOW_SAMPLES = 256
MIN_SAMPLES = 50
RECENT_SAMPLES = 64
SLOW_RATIO = 2.0
# Smaller differences are scheduling noise on small machines.
SLOW_SLACK_SECONDS = 0.002
REVIEW_INTERVAL_SECONDS = 0.05
LONG_TERM_SECONDS = 30.0
# While the service is slow, the long-term latency adapts ten times more slowly, so that
# a long slow period does not become the baseline.
LONG_TERM_SECONDS_WHILE_SLOW = 300.0


class _Window:
    """Sliding window of samples, kept in sorted order."""

    def __init__(self, size: int) -> None:
        self._samples: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self._size = size

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, value: float) -> None:
        if len(self._samples) == self._size:
            oldest = self._samples.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._samples.append(value)
        bisect.insort(self._sorted, value)

    def percentile(self, percentile: float) -> float:
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(len(self._sorted) * percentile / 100))]


class ServiceLatencies:
    """Latencies of all targets of one service, in seconds."""

    def __init__(self) -> None:
        self._window = _Window(WINDOW_SAMPLES)
        self._recent = _Window(RECENT_SAMPLES)
        self._long_term: float | None = None
        self._reviewed_at = 0.0
        self._slow = False

    @property
    def slow(self) -> bool:
        """True while the recent median is well above the long-term latency."""
        return self._slow

    @property
    def count(self) -> int:
        """Number of samples."""
        return len(self._window)

    @property
    def ready(self) -> bool:
        """True once there are enough samples for percentiles."""
        return len(self._window) >= MIN_SAMPLES

    def percentile(self, percentile: float) -> float:
        """Return a percentile, from 0 to 100; needs at least one sample."""
        return self._window.percentile(percentile)

    def add(self, now: float, latency: float) -> None:
        """Add the latency of an attempt, or a lower bound if it was cancelled."""
        self._window.add(latency)
        self._recent.add(latency)
        if len(self._recent) == RECENT_SAMPLES:
            self._review(now)

    def _review(self, now: float) -> None:
        median = self._recent.percentile(50)
        if self._long_term is None:
            self._long_term, self._reviewed_at = median, now
            return
        elapsed = now - self._reviewed_at
        if 0 <= elapsed < REVIEW_INTERVAL_SECONDS:
            return
        self._reviewed_at = now
        limit = max(SLOW_RATIO * self._long_term, self._long_term + SLOW_SLACK_SECONDS)
        self._slow = median > limit
        time_constant = (
            LONG_TERM_SECONDS_WHILE_SLOW if self._slow else LONG_TERM_SECONDS
        )
        weight = min(1.0, max(0.0, elapsed) / time_constant)
        self._long_term += weight * (median - self._long_term)
