"""Arrival times of an open-loop load, as a pure function of the seed."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A time of constant rate.

    Attributes
    ----------
    seconds : float
        Length.
    rate : float
        Mean arrivals per second.
    """

    seconds: float
    rate: float


def arrivals(seed: int, phases: collections.abc.Iterable[Phase]) -> list[float]:
    """Return Poisson arrival times in seconds from the start, in order."""
    chance = random.Random(seed)
    times = []
    begin = 0.0
    for phase in phases:
        end = begin + phase.seconds
        # The exponential gap is memoryless, so each phase may start a new one.
        at = begin + (chance.expovariate(phase.rate) if phase.rate else phase.seconds)
        while at < end:
            times.append(at)
            at += chance.expovariate(phase.rate)
        begin = end
    return times
