"""Health and latency estimates of the listed targets, and the choice among them."""

import collections.abc
import dataclasses
import math
import random

from jackdawpass.process.serving import leaving_targets, pausing_targets
from jackdawpass.request import model

# Weight of a new observation in the moving averages of a target. An instance sees few
# attempts per target, so about the last three determine the averages.
EWMA_WEIGHT = 0.35
# Half-life of the averages without new attempts. A short pause of a target is over
# sooner, and the next attempt detects a lasting fault again.
HALF_LIFE_SECONDS = 2.0
# Consecutive failures after which a target is avoided.
FAILURES_TO_AVOID = 2
# Time for which a failing target is avoided; doubles with each further failure.
AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
# Time for which nothing is sent to a target whose address now belongs to another one.
# Its entry is corrected within a few heartbeats, or seconds after an outage of the
# store.
MISDIRECTED_SECONDS = 10.0
# Time for which a target counts as full after it has refused an attempt.
FULL_SECONDS = 0.5
# Cost of leaving the zone, and of each attempt that this instance has in flight, both
# in typical latencies of a target.
REMOTE_COST = 0.6
IN_FLIGHT_COST = 0.5
# Cost of a failed attempt and its retry, in typical latencies.
FAILURE_COST = 4.0
# Targets whose costs differ by at most this much count as equal.
COST_TOLERANCE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as listed by the platform.

    Attributes
    ----------
    leaving : bool
        True if it accepts no new work.
    started : int
        Distinguishes incarnations with the same name.
    cold_seconds : float
        Remaining time for which it is slow after its start.
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
        """Identity of the process; if it changes, connections lead elsewhere."""
        return (self.group, self.host, self.port, self.started)


class TargetState:
    """Moving averages and failures of one target."""

    def __init__(self, listed: ListedTarget, now: float) -> None:
        self.listed = listed
        self.in_flight = 0
        self._cold_until = now + listed.cold_seconds
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._updated_at = now
        self._failures = 0
        self._avoid_until = -math.inf
        self._full_until = -math.inf
        self._misdirected_until = -math.inf
        self._usable_until = math.inf
        self._paused_until = -math.inf

    @property
    def leaving(self) -> bool:
        """True if the store or the target itself has announced that it leaves."""
        return self.listed.leaving or self._usable_until < math.inf

    def usable(self, now: float) -> bool:
        """Return whether attempts may be sent to the target."""
        is_draining = self.listed.leaving or now >= self._usable_until
        return not is_draining and now >= max(
            self._misdirected_until, self._paused_until
        )

    def avoided(self, now: float) -> bool:
        """Return whether the target has recently failed too often."""
        return now < self._avoid_until

    def cost(self, now: float, zone: str) -> float:
        """Return the expected cost of an attempt, in typical latencies."""
        slowness, failure_rate = self._current(now)
        if now < self._cold_until:
            slowness = max(slowness, 1.5)
        remote = REMOTE_COST if self.listed.zone != zone else 0.0
        queued = self.in_flight * IN_FLIGHT_COST * slowness
        return slowness + queued + failure_rate * FAILURE_COST + remote

    def on_latency(self, now: float, ratio: float) -> None:
        """Record a reply; `ratio` is its latency divided by the typical one."""
        self._update(now, ratio, 0.0)
        self._failures = 0
        self._avoid_until = -math.inf

    def on_cancelled(self, now: float, ratio: float) -> None:
        """Record an attempt that was cancelled after `ratio` typical latencies."""
        slowness, failure_rate = self._current(now)
        if ratio > slowness:
            self._update(now, ratio, failure_rate)

    def on_shed(self, now: float) -> None:
        """Record that the target refused an attempt because it is full.

        A full target works, so it is not avoided; only its cost increases.
        """
        slowness, _ = self._current(now)
        self._update(now, slowness, 1.0)
        self._full_until = now + FULL_SECONDS

    def is_full(self, now: float) -> bool:
        """Return whether the target has recently refused an attempt."""
        return now < self._full_until

    def forget_failures(self) -> None:
        """Forget failures and latencies: the target is reachable again."""
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._failures = 0
        self._avoid_until = -math.inf

    def on_misdirected(self, now: float) -> None:
        """Record that another target answered at the address."""
        self._misdirected_until = now + MISDIRECTED_SECONDS

    @property
    def paused_until(self) -> float:
        """End of the pause that the target asked for; minus infinity for none."""
        return self._paused_until

    def set_paused_until(self, at: float) -> None:
        """Set the time before which the target wants no work."""
        self._paused_until = at

    def set_usable_until(self, at: float) -> None:
        """Set the time at which the target stops serving; infinite by default."""
        self._usable_until = at

    def on_failure(self, now: float) -> None:
        """Record a failed attempt."""
        slowness, _ = self._current(now)
        self._update(now, slowness, 1.0)
        self._failures += 1
        if self._failures >= FAILURES_TO_AVOID:
            doublings = min(8, self._failures - FAILURES_TO_AVOID)
            pause = min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2**doublings)
            self._avoid_until = now + pause

    def _current(self, now: float) -> tuple[float, float]:
        """Return slowness and failure rate, decayed since the last update."""
        age = max(0.0, now - self._updated_at)
        kept = 0.5 ** (age / HALF_LIFE_SECONDS)
        return 1.0 + (self._slowness - 1.0) * kept, self._failure_rate * kept

    def _update(self, now: float, ratio: float, failed: float) -> None:
        slowness, failure_rate = self._current(now)
        self._slowness = slowness + EWMA_WEIGHT * (ratio - slowness)
        self._failure_rate = failure_rate + EWMA_WEIGHT * (failed - failure_rate)
        self._updated_at = now


class Targets:
    """Listed targets by name and by group.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Chooses among equal targets.
    drain_seconds : float
        Time after its announcement for which a leaving target still serves requests. It
        gets those that no other target can take.
    """

    def __init__(
        self, zone: str, generator: random.Random, drain_seconds: float = 0.0
    ) -> None:
        self._zone = zone
        self._random = generator
        self._states: dict[str, TargetState] = {}
        self._groups: dict[str, tuple[TargetState, ...]] = {}
        self._announcements = leaving_targets.LeavingTargets(drain_seconds)
        self._pauses = pausing_targets.PausingTargets()

    @property
    def announcements(self) -> leaving_targets.LeavingTargets:
        """Targets that have announced in a reply that they leave."""
        return self._announcements

    @property
    def pauses(self) -> pausing_targets.PausingTargets:
        """Targets that have asked for a pause in a reply."""
        return self._pauses

    @property
    def states(self) -> collections.abc.Mapping[str, TargetState]:
        """State of each listed target."""
        return self._states

    def apply(
        self, now: float, listed: collections.abc.Mapping[str, ListedTarget]
    ) -> None:
        """Apply the list; the state of unchanged incarnations is kept."""
        states: dict[str, TargetState] = {}
        groups: dict[str, list[TargetState]] = {}
        for name, target in listed.items():
            state = self._states.get(name)
            if state is None or state.listed.incarnation != target.incarnation:
                state = TargetState(target, now)
            state.listed = target
            state.set_usable_until(
                self._announcements.usable_until(name, target.started)
            )
            state.set_paused_until(self._pauses.paused_until(name, target.started))
            states[name] = state
            groups.setdefault(target.group, []).append(state)
        self._states = states
        self._groups = {name: tuple(each) for name, each in groups.items()}

    def on_leaving(self, now: float, name: str, started: int) -> bool:
        """Record that a target leaves; return whether this was unknown."""
        is_first = self._announcements.add(now, name, started)
        state = self._states.get(name)
        if state is not None and state.listed.started == started:
            state.set_usable_until(self._announcements.usable_until(name, started))
        return is_first

    def on_pause(self, now: float, name: str, started: int, seconds: float) -> bool:
        """Record that a target wants a pause; return whether it was not pausing."""
        is_new = self._pauses.add(now, name, started, seconds)
        state = self._states.get(name)
        if state is not None and state.listed.started == started:
            state.set_paused_until(now + seconds)
        return is_new and seconds > 0

    def pause_left(self, now: float, group: str) -> float | None:
        """Return the seconds until a target of a group ends its pause.

        Returns None if one is usable now, or if none pauses.
        """
        states = self._groups.get(group, ())
        if not self._pauses.may_pause(now) or any(each.usable(now) for each in states):
            return None
        ends = [
            state.paused_until
            for state in states
            if now < state.paused_until and state.usable(state.paused_until)
        ]
        return min(ends) - now if ends else None

    def has_alternative(self, now: float, name: str) -> bool:
        """Return whether another target, which stays, can replace a target."""
        state = self._states.get(name)
        return state is not None and any(
            each is not state and each.usable(now) and not each.leaving
            for each in self._groups.get(state.listed.group, ())
        )

    def forget_failures(self, zone: str) -> None:
        """Forget the failures of the targets of a zone that is reachable again."""
        for state in self._states.values():
            if state.listed.zone == zone:
                state.forget_failures()

    def has_local(self, now: float, group: str) -> bool:
        """Return whether a group has a usable target in this instance's zone."""
        return self.has_in_zone(now, group, self._zone)

    def has_in_zone(self, now: float, group: str, zone: str) -> bool:
        """Return whether a group has a usable target in a zone, which stays."""
        return any(
            state.listed.zone == zone and state.usable(now) and not state.leaving
            for state in self._groups.get(group, ())
        )

    def has_full(self, now: float, groups: collections.abc.Iterable[str]) -> bool:
        """Return whether a target of some groups has recently refused an attempt."""
        return any(
            state.is_full(now)
            for group in groups
            for state in self._groups.get(group, ())
        )

    def count_listed(self, group: str) -> int:
        """Return the number of targets of a group, usable or not."""
        return len(self._groups.get(group, ()))

    def count_usable(self, now: float, group: str) -> int:
        """Return the number of usable targets of a group."""
        return sum(state.usable(now) for state in self._groups.get(group, ()))

    def choose(
        self,
        now: float,
        group: str,
        excluded: collections.abc.Collection[str],
        avoided_zones: collections.abc.Collection[str] = (),
    ) -> TargetState | None:
        """Return the best usable target of a group, or None if there is none.

        Leaving targets are chosen only if the group has no others, and targets in
        `avoided_zones` only if all candidates are there.
        """
        usable = [s for s in self._groups.get(group, ()) if s.usable(now)]
        usable = [s for s in usable if not s.leaving] or usable
        candidates = [s for s in usable if s.listed.name not in excluded]
        if not candidates:
            return None
        if avoided_zones:
            others = [s for s in candidates if s.listed.zone not in avoided_zones]
            candidates = others or candidates
        healthy = [state for state in candidates if not state.avoided(now)]
        costs = [(each.cost(now, self._zone), each) for each in healthy or candidates]
        lowest = min(cost for cost, _ in costs) + COST_TOLERANCE
        return self._random.choice([each for cost, each in costs if cost <= lowest])


def is_health_signal(failure: model.AttemptFailure) -> bool:
    """Return whether a failure is evidence of its target's health."""
    return failure.kind not in (
        model.FailureKind.QUEUE_EXPIRED,
        model.FailureKind.WRONG_TARGET,
        model.FailureKind.DRAINING,
        model.FailureKind.DECLINED,
    )
