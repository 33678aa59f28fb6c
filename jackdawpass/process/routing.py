"""Choice of targets for the shards of a snapshot."""

import collections
import collections.abc
import random
import typing

from jackdawpass.process import replicas
from jackdawpass.request import machine
from jackdawpass.version import catalog

# Share of the assignments that may leave the zone because local targets are at their
# limit. Where no local target is usable, leaving the zone is not bounded: the shards
# would otherwise be missing.
MAX_SPILL_SHARE = 0.1
SPILL_BURST = 5.0

AtLimit = collections.abc.Callable[[str, replicas.Replica], bool]


class SpillBudget:
    """Bounds the assignments that leave the zone because of load."""

    def __init__(self) -> None:
        self._tokens = SPILL_BURST

    def on_assignment(self) -> None:
        """Note an assignment, which earns a share of one to another zone."""
        self._tokens = min(SPILL_BURST, self._tokens + MAX_SPILL_SHARE)

    def has_token(self) -> bool:
        """Return True when one assignment may leave the zone."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take a token."""
        self._tokens -= 1


class _Candidate(typing.NamedTuple):
    """A target as it stands during one assignment.

    A named tuple, since a query makes one for each replica of each shard and a frozen
    data class takes several times as long to make.
    """

    name: str
    local: bool
    usable: bool
    ramped: bool
    draining: bool
    at_limit: bool
    wait: float  # seconds


class AdaptiveRouter:
    """Routes by zone, health and expected wait.

    Parameters
    ----------
    service : Service
        Declares the targets.
    shard_map : ShardMap
        Says which targets hold which shard.
    zone : str
        Availability zone of this instance.
    statistics : ServiceReplicas
        Statistics of the service's targets.
    spill : SpillBudget
        Shared by all routers of the service.
    at_limit : callable
        Returns True when a new attempt at a target would wait in its queue.
    generator : random.Random
        Source of the random choices.
    """

    def __init__(
        self,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        zone: str,
        statistics: replicas.ServiceReplicas,
        spill: SpillBudget,
        at_limit: AtLimit,
        generator: random.Random,
    ) -> None:
        self._service = service
        self._zone = zone
        self._statistics = statistics
        self._spill = spill
        self._at_limit = at_limit
        self._random = generator
        grouped: dict[tuple[str, ...], set[int]] = collections.defaultdict(set)
        for shard, names in shard_map.replicas.items():
            grouped[names].add(shard)
        # Groups with the fewest replicas choose first; the others may reuse a target.
        self._groups = sorted(
            ((names, frozenset(shards)) for names, shards in grouped.items()),
            key=lambda group: len(group[0]),
        )

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.Excluded
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to a target, using few targets."""
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
            machine.Assignment(name, frozenset(each)) for name, each in chosen.items()
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
            replica.expected_wait(now, self._statistics.typical_latency),
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
        for each in preferred:
            if each.name in chosen:
                return each.name
        best = self._pick(preferred)
        self._spill.on_assignment()
        if not best.local and any(each.local for each in pool):
            self._spill.spend()
        return best.name

    def _preferred(self, pool: list[_Candidate]) -> list[_Candidate]:
        """Return the local candidates, or others when those are at their limit."""
        local = [each for each in pool if each.local]
        free = [each for each in local if not each.at_limit]
        if free:
            return free
        remote_free = [each for each in pool if not each.local and not each.at_limit]
        if local:
            spills = remote_free and self._spill.has_token()
            return remote_free if spills else local
        return remote_free or pool

    def _pick(self, candidates: list[_Candidate]) -> _Candidate:
        """Return the better one of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        # In random order, since `min` takes the first one of equals.
        first = int(self._random.random() * len(candidates))
        second = int(self._random.random() * (len(candidates) - 1))
        if second >= first:
            second += 1
        return min(candidates[first], candidates[second], key=_wait)


def _wait(candidate: _Candidate) -> float:
    return candidate.wait


def _healthiest(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the candidates in the best state that any of them is in.

    A draining target never gets new work. An ejected or paused one does when nothing
    else holds the shard, since it may still answer.
    """
    usable = [each for each in candidates if each.usable]
    ramped = [each for each in usable if each.ramped]
    return ramped or usable or [each for each in candidates if not each.draining]


def _split(
    names: tuple[str, ...], shards: frozenset[int], excluded: machine.Excluded
) -> collections.abc.Iterator[tuple[tuple[str, ...], frozenset[int]]]:
    """Yield the shards of a group by the replicas that are not excluded for them."""
    if not shards:
        return
    if not excluded:
        yield names, shards
        return
    parts: dict[tuple[str, ...], set[int]] = collections.defaultdict(set)
    for shard in shards:
        banned = excluded.get(shard, frozenset())
        parts[tuple(name for name in names if name not in banned)].add(shard)
    for usable, part in parts.items():
        yield usable, frozenset(part)
