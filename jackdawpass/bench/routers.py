"""Alternative routers, which differ in nothing but the choice of the replica."""

import collections
import collections.abc
import random

from jackdawpass.bench import naive
from jackdawpass.request import machine, model
from jackdawpass.version import catalog

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_SECONDS = 0.001


class Statistics:
    """What routers may know of targets."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.turns: collections.Counter[tuple[str, ...]] = collections.Counter()
        self.in_flight: collections.Counter[str] = collections.Counter()
        self._latencies: dict[str, float] = {}

    def expected_wait(self, name: str) -> float:
        """Return latency x (in-flight + 1) in seconds."""
        latency = self._latencies.get(name, INITIAL_LATENCY_SECONDS)
        return latency * (self.in_flight[name] + 1)

    def observe(self, name: str, latency: float) -> None:
        """Note a latency in seconds."""
        known = self._latencies.get(name, latency)
        self._latencies[name] = known + LATENCY_WEIGHT * (latency - known)


Choice = collections.abc.Callable[[tuple[str, ...], Statistics], str]


def _random(names: tuple[str, ...], known: Statistics) -> str:
    return known.chance.choice(names)


def _round_robin(names: tuple[str, ...], known: Statistics) -> str:
    known.turns[names] += 1
    return names[known.turns[names] % len(names)]


def _least_in_flight(names: tuple[str, ...], known: Statistics) -> str:
    # Shuffled, since `min` takes the first one of equals.
    shuffled = known.chance.sample(names, len(names))
    return min(shuffled, key=lambda name: known.in_flight[name])


def _two_random_choices(names: tuple[str, ...], known: Statistics) -> str:
    two = known.chance.sample(names, min(2, len(names)))
    return min(two, key=known.expected_wait)


CHOICES: dict[str, Choice] = {
    "random": _random,
    "round-robin": _round_robin,
    "least-in-flight": _least_in_flight,
    "two-choices": _two_random_choices,
}


class ChoosingRouter:
    """Assigns each shard to the replica that a choice function picks."""

    def __init__(
        self, shard_map: catalog.ShardMap, choice: Choice, known: Statistics
    ) -> None:
        self._shard_map = shard_map
        self._choice = choice
        self._known = known

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to a target."""
        chosen: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            banned = excluded.get(shard, frozenset())
            names = tuple(n for n in self._shard_map.replicas[shard] if n not in banned)
            if names:
                chosen[self._choice(names, self._known)].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each)) for name, each in chosen.items()
        )


class RoutingPolicy(naive.NaivePolicy):
    """The naive policy with another choice of replicas."""

    def __init__(self, choice: Choice, seed: int = 0) -> None:
        super().__init__(seed)
        self._choice = choice
        self._known = Statistics(seed)

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return a router for one query."""
        return ChoosingRouter(shard_map, self._choice, self._known)

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Count the attempt."""
        self._known.in_flight[attempt.target] += 1

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Note the latency."""
        self._known.in_flight[attempt.target] -= 1
        self._known.observe(attempt.target, latency)

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Note the end of the attempt."""
        self._known.in_flight[attempt.target] -= 1

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Note the end of the attempt."""
        self._known.in_flight[attempt.target] -= 1
