"""Targets that have asked for a pause in a reply."""

import collections
import math

from jackdawpass.request import model

# Pauses kept; the one that was requested the longest time ago is dropped first.
MAX_PAUSES = 4096


class PausingTargets:
    """End of the last requested pause by incarnation of the target.

    A later request for a pause replaces an earlier one. A new incarnation of the target
    starts without one.
    """

    def __init__(self) -> None:
        # In the order of the last request.
        self._pauses: collections.OrderedDict[tuple[str, int], tuple[float, float]] = (
            collections.OrderedDict()
        )
        self._latest_end = -math.inf

    def add(self, now: float, name: str, started: int, seconds: float) -> bool:
        """Record a request for a pause; return whether the target was not pausing."""
        key = (name, started)
        is_new = now >= self.paused_until(name, started)
        self._pauses[key] = (now, now + seconds)
        self._pauses.move_to_end(key)
        self._latest_end = max(self._latest_end, now + seconds)
        if len(self._pauses) > MAX_PAUSES:
            self._pauses.popitem(last=False)
        return is_new

    def paused_until(self, name: str, started: int) -> float:
        """Return the end of a target's pause; minus infinity if it asked for none."""
        return self._pauses.get((name, started), (0.0, -math.inf))[1]

    def may_pause(self, now: float) -> bool:
        """Return False if no target pauses."""
        return now < self._latest_end

    def heard_since(self, now: float, at: float) -> tuple[model.TargetNotice, ...]:
        """Return the pauses that were requested since `at` and have not ended."""
        found = []
        for (name, started), (heard, end) in reversed(self._pauses.items()):
            if heard < at:
                break
            if now < end:
                found.append(model.TargetNotice(name, started, pause=end - now))
        return tuple(found)
