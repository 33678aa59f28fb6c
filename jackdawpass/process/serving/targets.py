"""What this instance believes of each listed target, and which one it prefers."""

import collections.abc
import dataclasses
import math
import random

from jackdawpass.request import model

# Share of a new observation in the running averages of a target: about the last three
# attempts decide, since an instance sees few of them.
OBSERVATION_SHARE = 0.35
# Time in which half of what was learned of a target is forgotten; a pause is over
# sooner, and a lasting fault is learned again from the next attempt.
HALF_LIFE_SECONDS = 2.0
# Consecutive failures after which a target is avoided.
FAILURES_TO_AVOID = 2
# Time for which a failing target is avoided; doubles with each further failure.
AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
# Time for which nothing is sent to a target whose address another one has; its entry is
# corrected within some heartbeats, or seconds after the store is back.
MISDIRECTED_SECONDS = 10.0
# Cost of leaving the zone and of each of this instance's own attempts under way, both
# in units of a target's ordinary latency.
REMOTE_COST = 0.6
IN_FLIGHT_COST = 0.5
# An attempt that fails costs about this many ordinary latencies until its retry ends.
FAILURE_COST = 4.0
# Targets whose costs differ by less than this are taken for equal.
COST_TOLERANCE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the platform lists it.

    Attributes
    ----------
    started : int
        Tells incarnations under one name apart.
    leaving : bool
        True when it takes no new work.
    cold_seconds : float
        How much longer it is slow after its start.
    """

    name: str
    group: str
    host: str
    port: int
    zone: str
    slots: int = 1
    leaving: bool = False
    started: int = 0
    cold_seconds: float = 0.0

    @property
    def incarnation(self) -> tuple[str, str, int, int]:
        """What changes when connections to the target lead elsewhere."""
        return (self.group, self.host, self.port, self.started)


class TargetState:
    """What was learned of one target."""

    def __init__(self, listed: ListedTarget, now: float) -> None:
        self.listed = listed
        self.in_flight = 0
        self._cold_until = now + listed.cold_seconds
        self._slowness = 1.0
        self._failing = 0.0
        self._learned_at = now
        self._failures = 0
        self._avoid_until = -math.inf
        self._misdirected_until = -math.inf

    def usable(self, now: float) -> bool:
        """Return whether the target may be sent anything at all."""
        return not self.listed.leaving and now >= self._misdirected_until

    def avoided(self, now: float) -> bool:
        """Return whether the target has failed too often lately."""
        return now < self._avoid_until

    def cost(self, now: float, zone: str) -> float:
        """Return the expected cost of an attempt, in ordinary latencies."""
        slowness, failing = self._current(now)
        if now < self._cold_until:
            slowness = max(slowness, 1.5)
        remote = REMOTE_COST if self.listed.zone != zone else 0.0
        queued = self.in_flight * IN_FLIGHT_COST * slowness
        return slowness + queued + failing * FAILURE_COST + remote

    def on_latency(self, now: float, ratio: float) -> None:
        """Note a reply; `ratio` is its latency over the ordinary one."""
        self._learn(now, ratio, 0.0)
        self._failures = 0
        self._avoid_until = -math.inf

    def on_withdrawn(self, now: float, ratio: float) -> None:
        """Note an attempt given up while it had taken `ratio` ordinary latencies."""
        slowness, failing = self._current(now)
        if ratio > slowness:
            self._learn(now, ratio, failing)

    def on_misdirected(self, now: float) -> None:
        """Note that another target answered at the address."""
        self._misdirected_until = now + MISDIRECTED_SECONDS

    def on_failure(self, now: float) -> None:
        """Note a failed attempt."""
        slowness, _ = self._current(now)
        self._learn(now, slowness, 1.0)
        self._failures += 1
        if self._failures >= FAILURES_TO_AVOID:
            doublings = min(8, self._failures - FAILURES_TO_AVOID)
            pause = min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2**doublings)
            self._avoid_until = now + pause

    def _current(self, now: float) -> tuple[float, float]:
        """Return slowness and failure rate, partly forgotten since the last news."""
        age = max(0.0, now - self._learned_at)
        kept = 0.5 ** (age / HALF_LIFE_SECONDS)
        return 1.0 + (self._slowness - 1.0) * kept, self._failing * kept

    def _learn(self, now: float, ratio: float, failed: float) -> None:
        slowness, failing = self._current(now)
        self._slowness = slowness + OBSERVATION_SHARE * (ratio - slowness)
        self._failing = failing + OBSERVATION_SHARE * (failed - failing)
        self._learned_at = now


class Targets:
    """All listed targets, by name and by group.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Chooses between equal targets.
    """

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._random = generator
        self._states: dict[str, TargetState] = {}
        self._groups: dict[str, tuple[TargetState, ...]] = {}

    @property
    def states(self) -> collections.abc.Mapping[str, TargetState]:
        """State of each listed target."""
        return self._states

    def apply(
        self, now: float, listed: collections.abc.Mapping[str, ListedTarget]
    ) -> None:
        """Take over the list; what was learned of the same incarnation stays."""
        states: dict[str, TargetState] = {}
        groups: dict[str, list[TargetState]] = {}
        for name, target in listed.items():
            state = self._states.get(name)
            if state is None or state.listed.incarnation != target.incarnation:
                state = TargetState(target, now)
            state.listed = target
            states[name] = state
            groups.setdefault(target.group, []).append(state)
        self._states = states
        self._groups = {name: tuple(each) for name, each in groups.items()}

    def has_local(self, now: float, group: str) -> bool:
        """Return whether a group has a target to use in the zone."""
        return self.has_in_zone(now, group, self._zone)

    def has_in_zone(self, now: float, group: str, zone: str) -> bool:
        """Return whether a group has a target to use in a zone."""
        return any(
            state.listed.zone == zone and state.usable(now)
            for state in self._groups.get(group, ())
        )

    def count_usable(self, now: float, group: str) -> int:
        """Return the number of a group's targets that may be used."""
        return sum(state.usable(now) for state in self._groups.get(group, ()))

    def choose(
        self,
        now: float,
        group: str,
        excluded: collections.abc.Collection[str],
        shunned: collections.abc.Collection[str] = (),
    ) -> TargetState | None:
        """Return the best target of a group, or None when it has none to use.

        Targets in the `shunned` zones are used only when there are no others.
        """
        candidates = [
            state
            for state in self._groups.get(group, ())
            if state.usable(now) and state.listed.name not in excluded
        ]
        if not candidates:
            return None
        if shunned:
            others = [s for s in candidates if s.listed.zone not in shunned]
            candidates = others or candidates
        sound = [state for state in candidates if not state.avoided(now)]
        costs = [(each.cost(now, self._zone), each) for each in sound or candidates]
        least = min(cost for cost, _ in costs) + COST_TOLERANCE
        return self._random.choice([each for cost, each in costs if cost <= least])


def is_health_signal(failure: model.AttemptFailure) -> bool:
    """Return whether a failure says something of its target's health."""
    return failure.kind not in (
        model.FailureKind.QUEUE_EXPIRED,
        model.FailureKind.WRONG_TARGET,
        model.FailureKind.DRAINING,
    )
