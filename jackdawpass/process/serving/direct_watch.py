"""Whether this instance should follow the store although there are aggregators."""

import collections.abc
import math
import typing

# How long the store answers this instance while all aggregators stay stale: one that
# hears of the store's return says so within this time.
ALONE_SECONDS = 1.2


class Check(typing.Protocol):
    """Asks the store again and again."""

    @property
    def last_check_succeeded(self) -> bool:
        """True while the last question was answered."""

    def start(self) -> None:
        """Begin to ask."""

    def stop(self) -> None:
        """Ask no more."""


class DirectWatchPolicy:
    """Compares what the aggregators hear of the store with what this instance hears.

    While the store is down for all, nobody hears of changes, and a hundred instances
    that list everything at its return would be dear. So the store is only checked, and
    followed once it answers this instance and still no aggregator.

    Parameters
    ----------
    make_check : callable
        Makes what asks the store.
    """

    def __init__(self, make_check: collections.abc.Callable[[], Check]) -> None:
        self._make_check = make_check
        self._check: Check | None = None
        self._answered_since = math.inf

    def should_watch(self, now: float, is_behind: bool) -> bool:
        """Return whether the store answers this instance alone."""
        if not is_behind:
            self._stop()
            return False
        if self._check is None:
            self._check = self._make_check()
            self._check.start()
        if not self._check.last_check_succeeded:
            self._answered_since = math.inf
        elif self._answered_since == math.inf:
            self._answered_since = now
        return now >= self._answered_since + ALONE_SECONDS

    def _stop(self) -> None:
        self._answered_since = math.inf
        if self._check is not None:
            self._check.stop()
            self._check = None
