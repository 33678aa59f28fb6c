"""Selection of targets for the shards of a snapshot."""

import collections
import collections.abc
import random
import typing

from jackdawpass.process import replicas
from jackdawpass.request import machine
from jackdawpass.version import catalog

# Share of the assignments that may go to another zone because local targets are at
# their limit. Without a usable local target there is no bound: the shards would
# otherwise be missing from the answer.
MAX_SPILLOVER_SHARE = 0.1
SPILLOVER_BURST_TOKENS = 5.0

AtLimit = collections.abc.Callable[[str, replicas.Replica], bool]


class SpilloverBudget:
    """Token bucket for the assignments that leave the zone because of load."""

    def __init__(self) -> None:
        self._tokens = SPILLOVER_BURST_TOKENS

    def on_assignment(self) -> None:
        """Add the share of a token that every assignment earns."""
        self._tokens = min(SPILLOVER_BURST_TOKENS, self._tokens + MAX_SPILLOVER_SHARE)

    def has_token(self) -> bool:
        """Return True when an assignment may leave the zone."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take a token."""
        self._tokens -= 1


class _Candidate(typing.NamedTuple):
    """State of a target during one assignment.

    A named tuple, because a query creates one for each replica of each shard and a
    frozen dataclass takes several times as long to create.
    """

    name: str
    local: bool
    usable: bool
    in_rotation: bool
    draining: bool
    at_limit: bool
    wait: float  # seconds


class AdaptiveRouter:
    """Router that selects targets by zone, health and expected wait.

    Parameters
    ----------
    service : Service
        Declares the targets.
    shard_map : ShardMap
        Maps each shard to the targets that hold it.
    zone : str
        Availability zone of this instance.
    statistics : ServiceReplicas
        Statistics of the service's targets.
    spillover : SpilloverBudget
        Bounds cross-zone assignments; shared by all routers of the service.
    at_limit : callable
        Returns True when a new attempt would wait in the queue of its target.
    generator : random.Random
        Source of the random choices.
    """

    def __init__(
        self,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        zone: str,
        statistics: replicas.ServiceReplicas,
        spillover: SpilloverBudget,
        at_limit: AtLimit,
        generator: random.Random,
    ) -> None:
        self._service = service
        self._zone = zone
        self._statistics = statistics
        self._spillover = spillover
        self._at_limit = at_limit
        self._random = generator
        grouped: dict[tuple[str, ...], set[int]] = collections.defaultdict(set)
        for shard, names in shard_map.replicas.items():
            grouped[names].add(shard)
        # Groups with the fewest replicas come first; the others can reuse their target.
        self._groups = sorted(
            ((names, frozenset(shards)) for names, shards in grouped.items()),
            key=lambda group: len(group[0]),
        )

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to a target, reusing targets to keep their number low."""
        self._statistics.review(now)
        chosen: dict[str, set[int]] = {}
        candidates: dict[str, _Candidate | None] = {}
        for names, group in self._groups:
            for usable, part in _split(names, group & shards, excluded):
                for name in usable:
                    if name not in candidates:
                        candidates[name] = self._candidate(now, name)
                known = [c for n in usable if (c := candidates[n]) is not None]
                choice = self._choose(known, chosen)
                if choice is not None:
                    chosen.setdefault(choice, set()).update(part)
        return tuple(
            machine.Assignment(name, frozenset(assigned))
            for name, assigned in chosen.items()
        )

    def _candidate(self, now: float, name: str) -> _Candidate | None:
        target = self._service.targets.get(name)
        replica = self._statistics.get(name)
        if target is None or replica is None:
            return None
        return _Candidate(
            name,
            target.zone == self._zone,
            replica.usable(now),
            (weight := replica.weight(now)) >= 1 or self._random.random() < weight,
            replica.draining,
            self._at_limit(name, replica),
            replica.expected_wait(now, self._statistics.median_latency),
        )

    def _choose(
        self,
        candidates: list[_Candidate],
        chosen: collections.abc.Collection[str],
    ) -> str | None:
        pool = _healthiest(candidates)
        if not pool:
            return None
        preferred = self._preferred(pool)
        for candidate in preferred:
            if candidate.name in chosen:
                return candidate.name
        best = self._pick(preferred)
        self._spillover.on_assignment()
        if not best.local and any(candidate.local for candidate in pool):
            self._spillover.spend()
        return best.name

    def _preferred(self, pool: list[_Candidate]) -> list[_Candidate]:
        """Return the local candidates, or remote ones when those are at their limit."""
        local = [candidate for candidate in pool if candidate.local]
        below_limit = [candidate for candidate in local if not candidate.at_limit]
        if below_limit:
            return below_limit
        remote_below_limit = [
            candidate
            for candidate in pool
            if not candidate.local and not candidate.at_limit
        ]
        if local:
            may_spill = remote_below_limit and self._spillover.has_token()
            return remote_below_limit if may_spill else local
        return remote_below_limit or pool

    def _pick(self, candidates: list[_Candidate]) -> _Candidate:
        """Return the one of two random candidates that has the shorter wait."""
        if len(candidates) == 1:
            return candidates[0]
        # The order is random too, since `min` returns the first of equal candidates.
        first = int(self._random.random() * len(candidates))
        second = int(self._random.random() * (len(candidates) - 1))
        if second >= first:
            second += 1
        return min(candidates[first], candidates[second], key=_wait)


def _wait(candidate: _Candidate) -> float:
    return candidate.wait


def _healthiest(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the healthiest group of candidates that is not empty.

    A draining target never gets new work. An ejected or paused one does when no other
    target holds the shard, since it may still answer.
    """
    usable = [candidate for candidate in candidates if candidate.usable]
    in_rotation = [candidate for candidate in usable if candidate.in_rotation]
    return (
        in_rotation
        or usable
        or [candidate for candidate in candidates if not candidate.draining]
    )


def _split(
    names: tuple[str, ...], shards: frozenset[int], excluded: machine.ExcludedTargets
) -> collections.abc.Iterator[tuple[tuple[str, ...], frozenset[int]]]:
    """Group shards by the replicas that are not excluded for them."""
    if not shards:
        return
    if not excluded:
        yield names, shards
        return
    parts: dict[tuple[str, ...], set[int]] = collections.defaultdict(set)
    for shard in shards:
        excluded_names = excluded.get(shard, frozenset())
        parts[tuple(name for name in names if name not in excluded_names)].add(shard)
    for usable, part in parts.items():
        yield usable, frozenset(part)
