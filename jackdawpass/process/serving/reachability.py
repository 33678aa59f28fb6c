"""Whether this instance is cut off from the other zones."""

import math

# Targets of other zones answer within some tens of milliseconds; with several of them
# in trouble and none that answered for so long, the way to them is cut.
SILENCE_SECONDS = 0.5
MIN_FAILURES = 4


class ZoneReachability:
    """Evidence from the attempts at targets of other zones."""

    def __init__(self) -> None:
        self._answered_at = -math.inf
        self._failures = 0

    def on_answer(self, now: float) -> None:
        """Note that a target of another zone answered."""
        self._answered_at = now
        self._failures = 0

    def on_failure(self, now: float) -> None:
        """Note an attempt at another zone that failed or was given up unanswered."""
        self._failures += 1

    def on_store_back(self) -> None:
        """Forget the troubles: the way to the store leads out of the zone too."""
        self._failures = 0

    def suspects_partition(self) -> bool:
        """Return whether the store should be asked to tell a cut from slow targets."""
        return self._failures >= MIN_FAILURES

    def isolated(self, now: float, store_away: bool) -> bool:
        """Return whether neither other zones nor the store can be reached."""
        silent = now - self._answered_at >= SILENCE_SECONDS
        return store_away and silent and self._failures >= MIN_FAILURES
