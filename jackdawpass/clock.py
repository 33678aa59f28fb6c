"""System clocks; the query tier reads the time only through this module."""

import time


def monotonic() -> float:
    """Return the monotonic time in seconds; only differences are meaningful."""
    return time.monotonic()


def wall() -> float:
    """Return the wall-clock time in seconds since the epoch, for logs only."""
    return time.time()
