"""Policy on watching the store directly although there are aggregators."""

import collections.abc
import math
import typing

# How long the store must respond to this instance while all aggregators stay stale. An
# aggregator that detects the store's recovery reports it within this time.
CONFIRM_SECONDS = 1.2


class Check(typing.Protocol):
    """Periodic check of the store."""

    @property
    def last_check_succeeded(self) -> bool:
        """True if the last check was answered."""

    def start(self) -> None:
        """Start the checks."""

    def stop(self) -> None:
        """Stop the checks."""


class DirectWatchPolicy:
    """Comparison of the store's availability to this instance and to the aggregators.

    During an outage for all, no instance receives changes, and full lists by a hundred
    instances after the recovery would be expensive. So the store is only checked, and
    watched once it responds to this instance while all aggregators are still stale.

    Parameters
    ----------
    make_check : callable
        Creates a check of the store.
    """

    def __init__(self, make_check: collections.abc.Callable[[], Check]) -> None:
        self._make_check = make_check
        self._check: Check | None = None
        self._responding_since = math.inf

    def should_watch(self, now: float, is_stale: bool) -> bool:
        """Return whether the store responds to this instance but to no aggregator."""
        if not is_stale:
            self._stop()
            return False
        if self._check is None:
            self._check = self._make_check()
            self._check.start()
        if not self._check.last_check_succeeded:
            self._responding_since = math.inf
        elif self._responding_since == math.inf:
            self._responding_since = now
        return now >= self._responding_since + CONFIRM_SECONDS

    def _stop(self) -> None:
        self._responding_since = math.inf
        if self._check is not None:
            self._check.stop()
            self._check = None
