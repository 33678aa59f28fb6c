"""Retry policy for the configuration changes of operators."""

import collections.abc
import dataclasses
import random
import typing

from twisted.internet import defer, task

from jackdawpass import clock

MAX_TRIES = 12
MAX_SECONDS = 20.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits and backoff of the tries of a change.

    Attributes
    ----------
    now : callable
        Returns the monotonic time in seconds.
    sleep : callable
        Returns a Deferred that fires after the given number of seconds.
    jitter : callable
        Returns a random number from 0 to 1.
    max_tries : int
        Maximum number of tries.
    max_seconds : float
        Time after which no further try is started.
    """

    now: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], defer.Deferred[None]]
    jitter: collections.abc.Callable[[], float]
    max_tries: int = MAX_TRIES
    max_seconds: float = MAX_SECONDS

    def backoff_seconds(self, tries: int) -> float:
        """Return the delay after some tries: exponential backoff with full jitter."""
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**tries)
        return longest * self.jitter()


def for_reactor(reactor: typing.Any) -> RetryPolicy:
    """Return a retry policy that uses the timers of a reactor."""
    return RetryPolicy(
        now=clock.monotonic,
        sleep=lambda seconds: task.deferLater(reactor, seconds),
        jitter=random.random,
    )
