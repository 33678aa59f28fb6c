"""Detection of a network partition between this instance and other zones."""

import math

# Targets of other zones answer within tens of milliseconds. Several failures and no
# answer for this long indicate that the other zones are unreachable.
SILENCE_SECONDS = 0.5
MIN_FAILURES = 4


class ZoneOutages:
    """Detection of the end of an outage of another zone.

    What was learned about the targets of a zone during its outage does not hold
    afterwards, and they are needed at once.
    """

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def on_failure(self, zone: str) -> None:
        """Record an attempt in a zone that failed or was cancelled unanswered."""
        self._failures[zone] = self._failures.get(zone, 0) + 1

    def on_answer(self, now: float, zone: str) -> bool:
        """Record an answer from a zone; return True if it ends an outage."""
        silent = now - self._answered_at.get(zone, now) >= SILENCE_SECONDS
        failures = self._failures.pop(zone, 0)
        self._answered_at[zone] = now
        return silent and failures >= MIN_FAILURES


class ZoneReachability:
    """Answers and failures of attempts in other zones."""

    def __init__(self) -> None:
        self._answered_at = -math.inf
        self._failures = 0

    def on_answer(self, now: float) -> None:
        """Record an answer from another zone."""
        self._answered_at = now
        self._failures = 0

    def on_failure(self, now: float) -> None:
        """Record an attempt in another zone that failed or was cancelled unanswered."""
        self._failures += 1

    def on_store_back(self) -> None:
        """Reset the failures: the store is also outside the zone."""
        self._failures = 0

    def suspects_partition(self) -> bool:
        """Return whether to check the store, to tell a partition from slow targets."""
        return self._failures >= MIN_FAILURES

    def isolated(self, now: float, store_unavailable: bool) -> bool:
        """Return whether neither the other zones nor the store are reachable."""
        silent = now - self._answered_at >= SILENCE_SECONDS
        return store_unavailable and silent and self._failures >= MIN_FAILURES
