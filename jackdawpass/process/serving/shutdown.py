"""The steps of a planned stop."""

import enum

# How often the steps are reviewed.
TICK_SECONDS = 0.1
# The load balancer asks once a second and takes an instance out after two misses.
BALANCER_SECONDS = 2.6
# Time before the kill at which the process ends, whatever is left.
EXIT_MARGIN_SECONDS = 0.4


class Step(enum.Enum):
    """What to do next."""

    SERVE = "serve"
    CLOSE_IDLE = "close_idle"
    EXIT = "exit"


class Shutdown:
    """Decides how a stop goes on.

    Parameters
    ----------
    limit : float
        Seconds from the signal to the kill.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._begun_at: float | None = None

    def change_limit(self, limit: float) -> None:
        """Take over a changed limit."""
        self._limit = limit

    @property
    def begun(self) -> bool:
        """True once the stop has begun."""
        return self._begun_at is not None

    def begin(self, now: float) -> None:
        """Begin the stop."""
        if self._begun_at is None:
            self._begun_at = now

    def next_step(self, now: float, busy: int) -> Step:
        """Return the step for now; `busy` connections have a request under way."""
        if self._begun_at is None:
            return Step.SERVE
        age = now - self._begun_at
        if age >= self._limit - EXIT_MARGIN_SECONDS:
            return Step.EXIT
        if age < BALANCER_SECONDS:
            return Step.SERVE
        return Step.CLOSE_IDLE if busy else Step.EXIT
