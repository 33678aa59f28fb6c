"""The only place of the product that reads the time."""

import time


def monotonic() -> float:
    """Return the monotonic time in seconds; only differences have a meaning."""
    return time.monotonic()


def wall() -> float:
    """Return the wall-clock time in seconds since the epoch, for logs only."""
    return time.time()
