"""Selection of instances of other zones that query the targets there."""

import collections.abc
import math
import random

from jackdawpass.process.serving import aggregators, targets

# Fewer remote shards than this are queried directly: the traffic saved would not
# outweigh the extra hop.
MIN_SUBQUERY_SHARDS = 3
# Latency of the extra hop: two crossings of 1.4 ms between zones, and processing.
HOP_SECONDS = 0.004
# A hop that takes a larger share of the latency objective costs more than it saves:
# requests with an objective of 44 ms lost a twentieth of the credit that the platform
# gives for timely answers.
MAX_HOP_SHARE = 0.05
# Backoff of an instance that failed or declined; doubles until it answers again.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# Backoff of all instances of a zone after a failure: a partition affects all of them.
ZONE_BACKOFF_SECONDS = 0.5
_PREFIX = "instance/"


def allows_extra_hop(objective: float) -> bool:
    """Return whether a latency objective, in seconds, allows for the extra hop."""
    return HOP_SECONDS <= MAX_HOP_SHARE * objective


class Peers:
    """Instances of other zones, and the choice of one for each subquery.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Breaks ties between equally good instances.
    """

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._random = generator
        self._states: dict[str, targets.TargetState] = {}
        self._failures: dict[str, int] = {}
        self._backoff_until: dict[str, float] = {}
        self._zone_backoff_until: dict[str, float] = {}

    @property
    def states(self) -> collections.abc.Mapping[str, targets.TargetState]:
        """State of each instance by the target name of attempts to it."""
        return self._states

    def apply(
        self, now: float, members: collections.abc.Iterable[aggregators.Member]
    ) -> None:
        """Replace the instances that query targets, except those of the own zone."""
        states = {}
        for member in members:
            if member.zone == self._zone:
                continue
            name = _PREFIX + member.name
            listed = targets.ListedTarget(
                name, "", member.host, member.port, member.zone
            )
            state = self._states.get(name)
            if state is None or state.listed != listed:
                state = targets.TargetState(listed, now)
            states[name] = state
        self._states = states
        for by_name in (self._failures, self._backoff_until):
            for name in by_name.keys() - states.keys():
                del by_name[name]

    def zone_of(self, name: str) -> str | None:
        """Return the zone of an instance; None if no instance has the name."""
        state = self._states.get(name)
        return None if state is None else state.listed.zone

    def choose(self, now: float, zone: str) -> str | None:
        """Return the instance of a zone to query, or None if none is usable."""
        if now < self._zone_backoff_until.get(zone, -math.inf):
            return None
        usable = [
            state
            for name, state in self._states.items()
            if state.listed.zone == zone
            and now >= self._backoff_until.get(name, -math.inf)
        ]
        if not usable:
            return None
        costs = [(state.cost(now, zone), state) for state in usable]
        least = min(cost for cost, _ in costs) + targets.COST_TOLERANCE
        chosen = self._random.choice([each for cost, each in costs if cost <= least])
        return chosen.listed.name

    def zones(self, now: float) -> list[str]:
        """Return the zones with a usable instance, in random order."""
        zones = sorted({state.listed.zone for state in self._states.values()})
        self._random.shuffle(zones)
        return [zone for zone in zones if self.choose(now, zone) is not None]

    def on_answer(self, now: float, name: str, ratio: float) -> None:
        """Record a reply; `ratio` is its latency relative to the typical one."""
        state = self._states.get(name)
        if state is not None:
            state.on_latency(now, ratio)
            self._failures.pop(name, None)

    def on_declined(self, now: float, name: str) -> None:
        """Record a declined subquery: the instance stops, starts or changes version."""
        if name in self._states:
            self._back_off(now, name)

    def on_failure(self, now: float, name: str) -> None:
        """Record an attempt that failed, or was cancelled without an answer."""
        zone = self.zone_of(name)
        if zone is not None:
            self._back_off(now, name)
            self._zone_backoff_until[zone] = now + ZONE_BACKOFF_SECONDS

    def forget_failures(self, zone: str) -> None:
        """Forget the failures of the instances of a zone that is reachable again."""
        self._zone_backoff_until.pop(zone, None)
        for name, state in self._states.items():
            if state.listed.zone == zone:
                state.forget_failures()
                self._failures.pop(name, None)
                self._backoff_until.pop(name, None)

    def _back_off(self, now: float, name: str) -> None:
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + 1
        backoff = min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(failures, 8)
        )
        self._backoff_until[name] = now + backoff
