"""Bounds an operator's change in tries and time."""

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
    """How often and how long a change is tried.

    Attributes
    ----------
    now : callable
        Gives the monotonic time in seconds.
    sleep : callable
        Gives a Deferred that fires after some seconds.
    jitter : callable
        Gives a random number from 0 to 1.
    max_tries : int
        Number of tries.
    max_seconds : float
        Age from which no further try begins.
    """

    now: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], defer.Deferred[None]]
    jitter: collections.abc.Callable[[], float]
    max_tries: int = MAX_TRIES
    max_seconds: float = MAX_SECONDS

    def backoff_seconds(self, tries: int) -> float:
        """Return the pause after some tries: exponential with full jitter."""
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**tries)
        return longest * self.jitter()


def for_reactor(reactor: typing.Any) -> RetryPolicy:
    """Return the retry policy of a process that runs a reactor."""
    return RetryPolicy(
        now=clock.monotonic,
        sleep=lambda seconds: task.deferLater(reactor, seconds),
        jitter=random.random,
    )
