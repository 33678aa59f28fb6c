"""Alternative routers, which differ only in how they select a replica."""

import collections
import collections.abc
import random

from jackdawpass.bench import naive
from jackdawpass.request import machine, model
from jackdawpass.version import catalog

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_SECONDS = 0.001


class Statistics:
    """Per-target statistics that the selectors use."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.round_robin_counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self.in_flight: collections.Counter[str] = collections.Counter()
        self._latencies: dict[str, float] = {}

    def expected_wait(self, name: str) -> float:
        """Return the average latency x (in-flight + 1) in seconds."""
        latency = self._latencies.get(name, INITIAL_LATENCY_SECONDS)
        return latency * (self.in_flight[name] + 1)

    def observe(self, name: str, latency: float) -> None:
        """Add a latency in seconds to the moving average of a target."""
        average = self._latencies.get(name, latency)
        self._latencies[name] = average + LATENCY_WEIGHT * (latency - average)


Selector = collections.abc.Callable[[tuple[str, ...], Statistics], str]


def _random(names: tuple[str, ...], statistics: Statistics) -> str:
    return statistics.rng.choice(names)


def _round_robin(names: tuple[str, ...], statistics: Statistics) -> str:
    statistics.round_robin_counts[names] += 1
    return names[statistics.round_robin_counts[names] % len(names)]


def _least_in_flight(names: tuple[str, ...], statistics: Statistics) -> str:
    # Shuffled to break ties at random: `min` returns the first of equal items.
    shuffled = statistics.rng.sample(names, len(names))
    return min(shuffled, key=lambda name: statistics.in_flight[name])


def _two_random_choices(names: tuple[str, ...], statistics: Statistics) -> str:
    candidates = statistics.rng.sample(names, min(2, len(names)))
    return min(candidates, key=statistics.expected_wait)


SELECTORS: dict[str, Selector] = {
    "random": _random,
    "round-robin": _round_robin,
    "least-in-flight": _least_in_flight,
    "two-choices": _two_random_choices,
}


class SelectingRouter:
    """Router that assigns each shard to the replica that a selector returns."""

    def __init__(
        self, shard_map: catalog.ShardMap, selector: Selector, statistics: Statistics
    ) -> None:
        self._shard_map = shard_map
        self._selector = selector
        self._statistics = statistics

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to one of its replicas that are not excluded."""
        shards_of_target: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            excluded_names = excluded.get(shard, frozenset())
            names = tuple(
                n for n in self._shard_map.replicas[shard] if n not in excluded_names
            )
            if names:
                shards_of_target[self._selector(names, self._statistics)].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each))
            for name, each in shards_of_target.items()
        )


class RoutingPolicy(naive.NaivePolicy):
    """The naive policy with a given selector of replicas.

    Parameters
    ----------
    selector : Selector
        Selects the replica of each shard.
    seed : int
        Seeds the random selectors.
    """

    def __init__(self, selector: Selector, seed: int = 0) -> None:
        super().__init__(seed)
        self._selector = selector
        self._statistics = Statistics(seed)

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return a router for one query."""
        return SelectingRouter(shard_map, self._selector, self._statistics)

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Count the attempt as in flight."""
        self._statistics.in_flight[attempt.target] += 1

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Count the attempt as ended and record its latency."""
        self._statistics.in_flight[attempt.target] -= 1
        self._statistics.observe(attempt.target, latency)

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Count the attempt as ended."""
        self._statistics.in_flight[attempt.target] -= 1

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Count the attempt as ended."""
        self._statistics.in_flight[attempt.target] -= 1
