"""Targets that have announced in a reply that they leave."""

import collections
import math

from jackdawpass.request import model

# Announcements kept; the one that was heard the longest time ago is dropped first.
MAX_ANNOUNCEMENTS = 4096


class LeavingTargets:
    """Announcements by incarnation of the target.

    An announcement holds whatever the store lists, since the store's list may be out of
    date. A new incarnation of the target starts without one.

    Parameters
    ----------
    drain_seconds : float
        Time after its announcement for which a target still serves requests.
    """

    def __init__(self, drain_seconds: float) -> None:
        self._drain_seconds = drain_seconds
        self._first_heard: dict[tuple[str, int], float] = {}
        # In the order of the last announcement.
        self._last_heard: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._first_heard)

    def add(self, now: float, name: str, started: int) -> bool:
        """Record an announcement; return whether it is the target's first one."""
        key = (name, started)
        is_first = key not in self._first_heard
        self._first_heard.setdefault(key, now)
        self._last_heard[key] = now
        self._last_heard.move_to_end(key)
        if len(self._last_heard) > MAX_ANNOUNCEMENTS:
            oldest, _ = self._last_heard.popitem(last=False)
            del self._first_heard[oldest]
        return is_first

    def usable_until(self, name: str, started: int) -> float:
        """Return until when a target serves requests; infinite if it does not leave."""
        heard = self._first_heard.get((name, started))
        return math.inf if heard is None else heard + self._drain_seconds

    def heard_since(self, at: float) -> tuple[model.TargetNotice, ...]:
        """Return the targets whose last announcement is not older than `at`."""
        found = []
        for (name, started), heard in reversed(self._last_heard.items()):
            if heard < at:
                break
            found.append(model.TargetNotice(name, started, leaving=True))
        return tuple(found)
