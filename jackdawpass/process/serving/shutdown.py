"""Steps of a graceful shutdown."""

import enum

# Interval between checks for the next step.
TICK_SECONDS = 0.1
# The load balancer probes once a second and removes an instance after two failures.
BALANCER_REMOVAL_SECONDS = 2.6
# Open requests are answered this long before the process would be killed, as at their
# deadlines.
EXPIRY_MARGIN_SECONDS = 0.6
# The process exits this long before it would be killed, even with open connections.
EXIT_MARGIN_SECONDS = 0.3
# It stops listening this long before it would be killed, so that the last callers can
# be answered.
LISTEN_MARGIN_SECONDS = 1.5
# A connection that was opened or answered less than this ago may be sending a request:
# one crossing of the network, and its time in the queue of connections to accept.
RECENT_SECONDS = 0.2


class Step(enum.Enum):
    """Step of the shutdown."""

    SERVE = "serve"
    CLOSE_IDLE = "close_idle"
    STOP_LISTENING = "stop_listening"
    CLOSE_ALL = "close_all"
    EXPIRE = "expire"
    EXIT = "exit"


class Shutdown:
    """State of a graceful shutdown, which determines its next step.

    Parameters
    ----------
    limit : float
        Seconds from the stop signal until the process is killed.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._begun_at: float | None = None
        self._listened_until: float | None = None
        self._closes_all = False
        self._expired = False

    def change_limit(self, limit: float) -> None:
        """Apply a changed limit."""
        self._limit = limit

    @property
    def begun(self) -> bool:
        """True once the shutdown has begun."""
        return self._begun_at is not None

    def begin(self, now: float) -> None:
        """Begin the shutdown."""
        if self._begun_at is None:
            self._begun_at = now

    def seconds_left(self, now: float) -> float | None:
        """Return the seconds until all requests must end; None before the shutdown."""
        if self._begun_at is None:
            return None
        return max(0.0, self._begun_at + self._limit - EXPIRY_MARGIN_SECONDS - now)

    def next_step(self, now: float, busy: int) -> Step:
        """Return the next step.

        `busy` is the number of connections with a request or an unsent response, or
        opened recently. Idle connections of callers are closed at each step after
        `SERVE`, those of other instances at `CLOSE_ALL`.
        """
        if self._begun_at is None:
            return Step.SERVE
        age = now - self._begun_at
        if age >= self._limit - EXIT_MARGIN_SECONDS:
            return Step.EXIT
        if age >= self._limit - EXPIRY_MARGIN_SECONDS and not self._expired:
            self._expired = True
            return Step.EXPIRE
        if age < BALANCER_REMOVAL_SECONDS:
            return Step.SERVE
        if self._listened_until is None:
            if busy and age < self._limit - LISTEN_MARGIN_SECONDS:
                return Step.CLOSE_IDLE
            self._listened_until = now
        if busy or now < self._listened_until + RECENT_SECONDS:
            return Step.STOP_LISTENING
        if not self._closes_all:
            self._closes_all = True
            return Step.CLOSE_ALL
        return Step.EXIT


def is_recent(now: float, idle_since: float) -> bool:
    """Return whether a connection without a request may be sending one."""
    return now - idle_since < RECENT_SECONDS
