"""Arrival times of an open-loop load, derived from a seed."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A period of constant rate.

    Attributes
    ----------
    seconds : float
        Duration.
    rate : float
        Mean arrivals per second.
    """

    seconds: float
    rate: float


def arrivals(seed: int, phases: collections.abc.Iterable[Phase]) -> list[float]:
    """Return Poisson arrival times in seconds from the start, in order."""
    rng = random.Random(seed)
    times = []
    begin = 0.0
    for phase in phases:
        end = begin + phase.seconds
        # Exponential gaps are memoryless, so each phase can start with a new gap.
        at = begin + (rng.expovariate(phase.rate) if phase.rate else phase.seconds)
        while at < end:
            times.append(at)
            at += rng.expovariate(phase.rate)
        begin = end
    return times
