"""Schedule of an instance's platform calls by backoff and a budget, without I/O."""

import random

READER_BACKOFF_MAX_SECONDS = 3.0
OTHER_BACKOFF_MAX_SECONDS = 30.0
BACKOFF_FIRST_SECONDS = 0.25
CHECK_INTERVAL_SECONDS = 6.0
MAX_FIRST_CHECK_DELAY_SECONDS = 0.5
BUDGET_CALLS_PER_SECOND = 20.0
BUDGET_BURST_CALLS = 200.0


class Backoff:
    """Exponential backoff with jitter for one kind of call."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._not_before = 0.0

    def ready(self, now: float) -> bool:
        """Return whether a call may be made."""
        return now >= self._not_before

    def on_success(self) -> None:
        """Reset the backoff, so that a call may be made at once."""
        self._failures = 0
        self._not_before = 0.0

    def on_failure(self, now: float, max_delay: float) -> None:
        """Delay the next call, by at most `max_delay` seconds."""
        self._failures = min(self._failures + 1, 16)
        ceiling = min(max_delay, BACKOFF_FIRST_SECONDS * 2**self._failures)
        self._not_before = now + ceiling * self._rng.uniform(0.5, 1.0)


class CallBudget:
    """Token bucket over all platform calls of an instance."""

    def __init__(self, now: float) -> None:
        self._tokens = BUDGET_BURST_CALLS
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Take a token for one call; False when the budget is used up."""
        earned = max(0.0, now - self._refilled_at) * BUDGET_CALLS_PER_SECOND
        self._tokens = min(BUDGET_BURST_CALLS, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Freshness:
    """Time since the platform was last confirmed to hold no newer version.

    Instances exchange the age only; the clocks of different machines are not compared.
    Each relay adds a penalty, so that instances without a reader cannot keep
    refreshing each other's age.
    """

    RELAY_PENALTY_SECONDS = 0.5

    def __init__(self, now: float, rng: random.Random) -> None:
        self._rng = rng
        self._confirmed_at: float | None = None
        self._check_at = now + rng.uniform(0.0, MAX_FIRST_CHECK_DELAY_SECONDS)

    def age(self, now: float) -> float | None:
        """Return the seconds since the last confirmation."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def on_platform_reply(self, now: float) -> None:
        """Record a successful platform call of this instance."""
        self._confirm(now)

    def on_peer_age(self, now: float, age: float) -> None:
        """Record the age that a peer reports."""
        self._confirm(now - age - self.RELAY_PENALTY_SECONDS)

    def is_check_due(self, now: float) -> bool:
        """Return whether the instance has to call the platform itself."""
        return now >= self._check_at

    def on_check_started(self, now: float) -> None:
        """Record that the instance calls the platform and schedule the next check."""
        self._check_at = now + CHECK_INTERVAL_SECONDS * self._rng.uniform(1.0, 2.0)

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
            due = at + CHECK_INTERVAL_SECONDS * self._rng.uniform(1.0, 2.0)
            self._check_at = max(self._check_at, due)
