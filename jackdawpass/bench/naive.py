"""The baseline policy: random replica, no hedge, fixed limit, up to 3 retries."""

import collections
import random

from jackdawpass.process import membership, policy
from jackdawpass.request import machine, model
from jackdawpass.version import catalog

RETRIES = 3
CONCURRENCY = 16


class FixedLimiter:
    """A fixed number of attempts at once."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_flight = 0

    def try_start(self, now: float) -> bool:
        """Take a place unless all are taken."""
        if self._in_flight >= self._limit:
            return False
        self._in_flight += 1
        return True

    def next_start(self, now: float) -> float | None:
        """Return None: only the end of an attempt frees a place."""
        return None

    def on_reply(self, now: float, latency: float) -> None:
        """Give back a place."""
        self._in_flight -= 1

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Give back a place."""
        self._in_flight -= 1

    def on_cancelled(self, now: float, age: float) -> None:
        """Give back a place."""
        self._in_flight -= 1


class RandomRouter:
    """Routes each shard of one query to a random replica, retries included.

    A retry prefers a replica that the shard was not sent to before; when there is
    none it may repeat one. A shard is assigned `RETRIES` + 1 times at most.
    """

    def __init__(self, shard_map: catalog.ShardMap, chance: random.Random) -> None:
        self._shard_map = shard_map
        self._chance = chance
        self._assigned: collections.Counter[int] = collections.Counter()

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign shards to random targets."""
        chosen: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            replicas = self._shard_map.replicas[shard]
            if not replicas or self._assigned[shard] > RETRIES:
                continue
            tried = excluded.get(shard, frozenset())
            untried = [name for name in replicas if name not in tried]
            self._assigned[shard] += 1
            chosen[self._chance.choice(untried or list(replicas))].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each)) for name, each in chosen.items()
        )


class NoHedging:
    """Never hedges."""

    def delay(self, now: float, target: str) -> float | None:
        """Return None: no hedge."""
        return None


class UnlimitedBudget:
    """Permits every retry; the router bounds their number."""

    def on_first_attempts(self, now: float, count: int) -> None:
        """Ignore the first attempts."""

    def try_spend(self, now: float, target: str = "") -> bool:
        """Return True."""
        return True


class NaivePolicy:
    """Knows neither zones nor the state of targets.

    Parameters
    ----------
    seed : int
        Seeds the choice of replicas.
    """

    def __init__(self, seed: int = 0) -> None:
        self._chance = random.Random(seed)
        self._instances_max = 1
        self._limiters: dict[str, FixedLimiter] = {}

    def apply(self, now: float, current: catalog.Catalog) -> None:
        """Take over a new catalog."""
        self._instances_max = current.instances_max

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return a router for one query."""
        return RandomRouter(shard_map, self._chance)

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return a hedging that never hedges."""
        return NoHedging()

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return a budget without a bound."""
        return UnlimitedBudget()

    def concurrency_limiter(self, target: catalog.Target) -> policy.ConcurrencyLimiter:
        """Return the target's limiter."""
        return self._limiters.setdefault(target.name, FixedLimiter(CONCURRENCY))

    def connection_limit(self, target: catalog.Target) -> int:
        """Return an equal share of the target's connection limit."""
        return max(1, target.settings.connections // self._instances_max)

    def queue_settings(self, service: str) -> policy.QueueSettings:
        """Return the same rule for all services."""
        return policy.QueueSettings()

    def expected_latency(self, target: str) -> float:
        """Return 0, since nothing is measured."""
        return 0.0

    def admits(
        self,
        now: float,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        plan: model.QueryPlan,
    ) -> bool:
        """Return True, since no wait is expected."""
        return True

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Ignore the members."""

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return no targets."""
        return ()

    def on_probe_result(self, now: float, target: str, ready: bool) -> None:
        """Ignore the result."""

    def report(self, now: float) -> policy.Report:
        """Return an empty report, since nothing is learned."""
        return policy.Report({}, {})

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Ignore the attempt."""

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Ignore the reply."""

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Ignore the failure."""

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Ignore the cancellation."""
