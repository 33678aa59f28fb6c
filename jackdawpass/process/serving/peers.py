"""Instances of other zones that ask the targets there and merge their replies."""

import collections.abc
import math
import random

from jackdawpass.process.serving import aggregators, targets

# A request with fewer shards elsewhere asks their targets itself: the bytes saved would
# not pay for the extra hop.
MIN_SHARDS = 3
# Time that the extra hop takes: two crossings of 1.4 ms between zones, and handling.
HOP_SECONDS = 0.004
# A hop that takes a larger share of the objective costs callers more than it saves:
# measured, requests with 44 ms lost a twentieth of their credit by it.
MAX_HOP_SHARE = 0.05
# Time for which an instance in trouble is not asked; doubles with each further trouble.
PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0
# Time for which no instance of the zone is asked: if the zone is cut off, all are lost.
ZONE_PAUSE_SECONDS = 0.5
_PREFIX = "instance/"


def allows_extra_hop(objective: float) -> bool:
    """Return whether a request's objective, in seconds, allows for the extra hop."""
    return HOP_SECONDS <= MAX_HOP_SHARE * objective


class Peers:
    """Knows the instances of other zones, and chooses one to ask.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Chooses among equals.
    """

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._random = generator
        self._states: dict[str, targets.TargetState] = {}
        self._troubles: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._zone_paused_until: dict[str, float] = {}

    @property
    def states(self) -> collections.abc.Mapping[str, targets.TargetState]:
        """State of each instance by the name that attempts at it carry."""
        return self._states

    def apply(
        self, now: float, members: collections.abc.Iterable[aggregators.Member]
    ) -> None:
        """Take over the instances that ask targets; those of the own zone are left."""
        states = {}
        for member in members:
            if member.zone == self._zone:
                continue
            name = _PREFIX + member.name
            listed = targets.ListedTarget(
                name, "", member.host, member.port, member.zone
            )
            known = self._states.get(name)
            if known is None or known.listed != listed:
                known = targets.TargetState(listed, now)
            states[name] = known
        self._states = states
        for kept in (self._troubles, self._paused_until):
            for name in kept.keys() - states.keys():
                del kept[name]

    def zone_of(self, name: str) -> str | None:
        """Return the zone of an instance; None for what is no instance."""
        state = self._states.get(name)
        return None if state is None else state.listed.zone

    def choose(self, now: float, zone: str) -> str | None:
        """Return the instance of a zone to ask; None when there is none to ask."""
        if now < self._zone_paused_until.get(zone, -math.inf):
            return None
        usable = [
            state
            for name, state in self._states.items()
            if state.listed.zone == zone
            and now >= self._paused_until.get(name, -math.inf)
        ]
        if not usable:
            return None
        costs = [(state.cost(now, zone), state) for state in usable]
        least = min(cost for cost, _ in costs) + targets.COST_TOLERANCE
        chosen = self._random.choice([each for cost, each in costs if cost <= least])
        return chosen.listed.name

    def zones(self, now: float) -> list[str]:
        """Return the zones that have an instance to ask, in random order."""
        zones = sorted({state.listed.zone for state in self._states.values()})
        self._random.shuffle(zones)
        return [zone for zone in zones if self.choose(now, zone) is not None]

    def on_answer(self, now: float, name: str, ratio: float) -> None:
        """Note a reply; `ratio` is its latency over the ordinary one."""
        state = self._states.get(name)
        if state is not None:
            state.on_latency(now, ratio)
            self._troubles.pop(name, None)

    def on_declined(self, now: float, name: str) -> None:
        """Note that an instance took nothing: it stops, starts or changes version."""
        if name in self._states:
            self._pause(now, name)

    def on_failure(self, now: float, name: str) -> None:
        """Note an attempt that failed, or that was given up unanswered."""
        zone = self.zone_of(name)
        if zone is not None:
            self._pause(now, name)
            self._zone_paused_until[zone] = now + ZONE_PAUSE_SECONDS

    def _pause(self, now: float, name: str) -> None:
        before = self._troubles.get(name, 0)
        self._troubles[name] = before + 1
        pause = min(MAX_PAUSE_SECONDS, PAUSE_SECONDS * 2 ** min(before, 8))
        self._paused_until[name] = now + pause
