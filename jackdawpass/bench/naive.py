"""Baseline policy: random replicas, no hedging, a fixed limit, up to 3 retries."""

import collections
import random

from jackdawpass.process import membership, policy
from jackdawpass.request import machine, model
from jackdawpass.version import catalog

MAX_RETRIES = 3
MAX_IN_FLIGHT = 16


class FixedLimiter:
    """Limiter that allows a fixed number of concurrent attempts."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_flight = 0

    def try_start(self, now: float) -> bool:
        """Count an attempt as in flight; return False if the limit is reached."""
        if self._in_flight >= self._limit:
            return False
        self._in_flight += 1
        return True

    def next_start(self, now: float) -> float | None:
        """Return None, since only the end of an attempt allows another one."""
        return None

    def on_reply(self, now: float, latency: float) -> None:
        """Count the attempt as ended."""
        self._in_flight -= 1

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Count the attempt as ended."""
        self._in_flight -= 1

    def on_cancelled(self, now: float, age: float) -> None:
        """Count the attempt as ended."""
        self._in_flight -= 1


class RandomRouter:
    """Router that assigns each shard of one query to a random replica.

    A retry prefers replicas to which the shard was not sent before and repeats one only
    if there is no other. A shard is assigned at most `MAX_RETRIES` + 1 times.
    """

    def __init__(self, shard_map: catalog.ShardMap, rng: random.Random) -> None:
        self._shard_map = shard_map
        self._rng = rng
        self._assigned: collections.Counter[int] = collections.Counter()

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to a random replica."""
        shards_of_target: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            replicas = self._shard_map.replicas[shard]
            if not replicas or self._assigned[shard] > MAX_RETRIES:
                continue
            excluded_names = excluded.get(shard, frozenset())
            others = [name for name in replicas if name not in excluded_names]
            self._assigned[shard] += 1
            shards_of_target[self._rng.choice(others or list(replicas))].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each))
            for name, each in shards_of_target.items()
        )


class NoHedging:
    """Hedging policy that never hedges."""

    def delay(self, now: float, target: str) -> float | None:
        """Return None, which disables hedging."""
        return None


class UnlimitedBudget:
    """Budget that allows every retry; `RandomRouter` limits their number."""

    def on_first_attempts(self, now: float, count: int) -> None:
        """Ignore the first attempts."""

    def try_spend(self, now: float, target: str = "") -> bool:
        """Return True."""
        return True


class NaivePolicy:
    """Policy that uses neither zones nor the state of targets.

    Parameters
    ----------
    seed : int
        Seeds the choice of replicas.
    """

    def __init__(self, seed: int = 0) -> None:
        self._rng = random.Random(seed)
        self._instances_max = 1
        self._limiters: dict[str, FixedLimiter] = {}

    def apply(self, now: float, current: catalog.Catalog) -> None:
        """Apply a new catalog."""
        self._instances_max = current.instances_max

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return a router for one query."""
        return RandomRouter(shard_map, self._rng)

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return a hedging policy that never hedges."""
        return NoHedging()

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return an unlimited budget."""
        return UnlimitedBudget()

    def concurrency_limiter(self, target: catalog.Target) -> policy.ConcurrencyLimiter:
        """Return the limiter of a target."""
        return self._limiters.setdefault(target.name, FixedLimiter(MAX_IN_FLIGHT))

    def connection_limit(self, target: catalog.Target) -> int:
        """Return this instance's equal share of the target's connections."""
        return max(1, target.settings.connections // self._instances_max)

    def queue_settings(self, service: str) -> policy.QueueSettings:
        """Return the default queue settings for all services."""
        return policy.QueueSettings()

    def expected_latency(self, target: str) -> float:
        """Return 0, since latencies are not measured."""
        return 0.0

    def admits(
        self,
        now: float,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        plan: model.QueryPlan,
    ) -> bool:
        """Return True, since waiting times are not estimated."""
        return True

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Ignore the members."""

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return no targets, since none is probed."""
        return ()

    def on_probe_result(self, now: float, target: str, ready: bool) -> None:
        """Ignore the result."""

    def report(self, now: float) -> policy.Report:
        """Return an empty report, since the policy keeps no state of targets."""
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
