"""When an instance may call the platform: backoff, jitter and a call budget (pure)."""

import random

READER_BACKOFF_MAX_SECONDS = 3.0
OTHER_BACKOFF_MAX_SECONDS = 30.0
BACKOFF_FIRST_SECONDS = 0.25
MAX_UNCONFIRMED_SECONDS = 6.0
FIRST_CHECK_SECONDS = 0.5
BUDGET_CALLS_PER_SECOND = 20.0
BUDGET_BURST_CALLS = 200.0


class Backoff:
    """Exponential backoff with full jitter for one kind of call."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._not_before = 0.0

    def ready(self, now: float) -> bool:
        """Return whether a call may be made."""
        return now >= self._not_before

    def on_success(self) -> None:
        """Permit calls at once."""
        self._failures = 0
        self._not_before = 0.0

    def on_failure(self, now: float, longest: float) -> None:
        """Delay the next call by at most `longest` seconds."""
        self._failures = min(self._failures + 1, 16)
        ceiling = min(longest, BACKOFF_FIRST_SECONDS * 2**self._failures)
        self._not_before = now + ceiling * self._rng.uniform(0.5, 1.0)


class CallBudget:
    """Token bucket over all platform calls of an instance."""

    def __init__(self, now: float) -> None:
        self._tokens = BUDGET_BURST_CALLS
        self._at = now

    def take(self, now: float) -> bool:
        """Take one call; False when the budget is used up."""
        earned = max(0.0, now - self._at) * BUDGET_CALLS_PER_SECOND
        self._tokens = min(BUDGET_BURST_CALLS, self._tokens + earned)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Freshness:
    """Since when the platform is known to hold nothing newer.

    Ages travel between instances as elapsed times; clocks of different machines
    are not compared. Each relay adds a penalty, so that instances without a
    reader cannot refresh each other's news for ever.
    """

    RELAY_PENALTY_SECONDS = 0.5

    def __init__(self, now: float, rng: random.Random) -> None:
        self._rng = rng
        self._confirmed_at: float | None = None
        self._check_at = now + rng.uniform(0.0, FIRST_CHECK_SECONDS)

    def age(self, now: float) -> float | None:
        """Return the seconds since the last confirmation."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def on_platform_reply(self, now: float) -> None:
        """Note a successful call of this instance."""
        self._confirm(now)

    def on_peer_age(self, now: float, age: float) -> None:
        """Note the age that a peer reports."""
        self._confirm(now - age - self.RELAY_PENALTY_SECONDS)

    def is_check_due(self, now: float) -> bool:
        """Return whether the instance has to ask the platform itself."""
        return now >= self._check_at

    def on_check_started(self, now: float) -> None:
        """Note that the instance asks; the next check is due later."""
        self._check_at = now + MAX_UNCONFIRMED_SECONDS * self._rng.uniform(1.0, 2.0)

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
            due = at + MAX_UNCONFIRMED_SECONDS * self._rng.uniform(1.0, 2.0)
            self._check_at = max(self._check_at, due)
