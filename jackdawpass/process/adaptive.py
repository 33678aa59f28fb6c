"""Default policy, which adapts to the statistics that this instance collects."""

import collections.abc
import dataclasses
import random

from jackdawpass.process import (
    admission,
    budget,
    hedging,
    latencies,
    limiter,
    membership,
    policy,
    replicas,
    routing,
    shares,
)
from jackdawpass.request import machine, model
from jackdawpass.version import catalog


class _ServiceState:
    """Statistics, budgets and settings of one service."""

    def __init__(self, service: catalog.Service) -> None:
        self.replicas = replicas.ServiceReplicas()
        self.latencies = latencies.ServiceLatencies()
        self.spillover = routing.SpilloverBudget()
        self.settings = service.policy
        self.budget = budget.ServiceBudget(service.policy.extra_share, self.latencies)
        self.shard_map: catalog.ShardMap | None = None
        self.router: routing.AdaptiveRouter | None = None

    def apply(self, service: catalog.Service) -> None:
        """Apply changed settings and targets."""
        if service.policy.extra_share != self.settings.extra_share:
            share = service.policy.extra_share
            self.budget = budget.ServiceBudget(share, self.latencies)
        self.settings = service.policy
        self.replicas.retain(service.targets)
        self.shard_map = None
        self.router = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """State of a target in the platform's list of instances."""

    name: str
    leaving: bool


class AdaptivePolicy:
    """Policy that routes, limits, hedges and retries by this instance's statistics.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Source of the random choices in routing.
    """

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._random = generator
        self._instances_max = 1
        self._instances_seen = 0
        self._leaving_targets: frozenset[str] = frozenset()
        self._list_is_recent = False
        self._services: dict[str, _ServiceState] = {}
        self._limiters: dict[str, limiter.Limiter] = {}

    def apply(self, now: float, current: catalog.Catalog) -> None:
        """Apply a new catalog and keep the statistics of targets that remain."""
        self._instances_max = current.instances_max
        states = {}
        targets: dict[str, catalog.Target] = {}
        for name, service in current.services.items():
            states[name] = self._services.get(name) or _ServiceState(service)
            states[name].apply(service)
            targets.update(service.targets)
        self._services = states
        self._limiters = {
            name: self._update_limiter(target) for name, target in targets.items()
        }

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Apply the member view; report a target that stops leaving as live once."""
        returned = self._leaving_targets - view.leaving_targets
        self._leaving_targets = view.leaving_targets
        self._list_is_recent = view.recent
        listed = [ListedTarget(name, True) for name in sorted(view.leaving_targets)]
        listed += [ListedTarget(name, False) for name in sorted(returned)]
        self.on_instances(now, view.live + view.leaving, listed)

    def on_instances(
        self,
        now: float,
        entry_instances: int,
        targets: collections.abc.Iterable[ListedTarget],
    ) -> None:
        """Apply the list of instances, which may be stale or empty.

        Parameters
        ----------
        entry_instances : int
            Number of live and leaving entry instances in the list.
        targets : iterable of ListedTarget
            Targets in the list; a target that is not listed keeps its state.
        """
        self._instances_seen = entry_instances
        for listed in targets:
            for state in self._services.values():
                replica = state.replicas.get(listed.name)
                if replica is not None:
                    replica.on_listed(now, listed.leaving)

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the draining targets that are due for a health probe.

        Targets that a recent list reports as leaving are not probed: health endpoints
        may lag or be wrong.
        """
        known_leaving = self._leaving_targets if self._list_is_recent else frozenset()
        due = {
            name
            for state in self._services.values()
            for name in state.replicas.take_due_probes(now)
        }
        return tuple(sorted(due - known_leaving))

    def on_probe_result(self, now: float, target: str, ready: bool) -> None:
        """Record whether a draining target reports that it accepts work."""
        if target in self._leaving_targets and self._list_is_recent:
            return
        for state in self._services.values():
            replica = state.replicas.get(target)
            if replica is not None and ready:
                replica.readmit(now)

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return the router for the shards of a snapshot."""
        state = self._state(service)
        if state.router is None or state.shard_map is not shard_map:
            state.shard_map = shard_map
            state.router = routing.AdaptiveRouter(
                service,
                shard_map,
                self._zone,
                state.replicas,
                state.spillover,
                self._at_limit,
                self._random,
            )
        return state.router

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return the hedging rule for queries of the service."""
        state = self._state(service)
        percentile = state.settings.hedge_percentile
        return hedging.PercentileHedging(state.latencies, state.budget, percentile)

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return the service's budget of extra sub-requests."""
        return self._state(service).budget

    def concurrency_limiter(self, target: catalog.Target) -> policy.ConcurrencyLimiter:
        """Return the concurrency limiter of a target, the same one on each call."""
        if target.name not in self._limiters:
            self._limiters[target.name] = self._update_limiter(target)
        return self._limiters[target.name]

    def connection_limit(self, target: catalog.Target) -> int:
        """Return the maximum number of connections to open to a target."""
        return shares.connection_share(
            target.settings.connections, self._instances_max, self._instances_seen
        )

    def queue_settings(self, service: str) -> policy.QueueSettings:
        """Return the queue settings for the sub-requests of a service."""
        state = self._services.get(service)
        if state is None:
            return policy.QueueSettings()
        return policy.QueueSettings(state.settings.priority, state.settings.max_queue)

    def expected_latency(self, target: str) -> float:
        """Return a target's recent latency in seconds; 0 when unknown."""
        target_limiter = self._limiters.get(target)
        return 0.0 if target_limiter is None else target_limiter.expected_latency()

    def admits(
        self,
        now: float,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        plan: model.QueryPlan,
    ) -> bool:
        """Return False when too many shards of a query would miss its deadline."""
        if self._state(service).replicas.idle:
            return True
        available = plan.deadline - now
        return admission.admits(
            (
                self._queue_wait(now, service, shard_map.replicas[shard])
                for shard in plan.shards
            ),
            len(plan.shards),
            available,
            plan.min_coverage,
        )

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Record an attempt that was submitted to its target's channel."""
        replica = self._replica(attempt)
        if replica is not None:
            replica.on_submitted(now)

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Record a reply; `latency` is in seconds."""
        replica = self._replica(attempt)
        if replica is not None:
            replica.on_reply(now, latency)
            self._services[attempt.service].latencies.add(now, latency)

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Record a failure."""
        state = self._services.get(attempt.service)
        if state is not None:
            state.replicas.on_failure(now, attempt.target, failure)

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Record a cancellation, `age` seconds after sending; 0 when not sent."""
        state = self._services.get(attempt.service)
        if state is None:
            return
        state.replicas.on_cancelled(now, attempt.target, age)
        # The age is a lower bound of the latency. Without it, the percentile would
        # only cover attempts that were fast enough to finish.
        if state.latencies.ready and age > state.latencies.percentile(50):
            state.latencies.add(now, age)

    def report(self, now: float) -> policy.Report:
        """Return limits, latencies, states and budgets for operators."""
        targets = {
            name: policy.TargetReport(
                round(target_limiter.limit, 3),
                round(target_limiter.expected_latency() * 1000, 3),
                any(r.ejected for r in self._replicas_of(name)),
                any(r.draining for r in self._replicas_of(name)),
            )
            for name, target_limiter in self._limiters.items()
        }
        services = {
            name: policy.ServiceReport(
                round(state.budget.tokens, 3), state.latencies.slow
            )
            for name, state in self._services.items()
        }
        return policy.Report(targets, services)

    def _replicas_of(self, target: str) -> collections.abc.Iterator[replicas.Replica]:
        for state in self._services.values():
            replica = state.replicas.get(target)
            if replica is not None:
                yield replica

    def _state(self, service: catalog.Service) -> _ServiceState:
        state = self._services.get(service.name)
        if state is None:
            # A request may still run after a new catalog has dropped its service.
            state = _ServiceState(service)
            state.apply(service)
        return state

    def _replica(self, attempt: model.Attempt) -> replicas.Replica | None:
        state = self._services.get(attempt.service)
        return None if state is None else state.replicas.get(attempt.target)

    def _queue_wait(
        self, now: float, service: catalog.Service, names: tuple[str, ...]
    ) -> float:
        """Return the wait at the replica that routing prefers; 0 without a queue."""
        statistics = self._state(service).replicas
        waits: dict[bool, list[float]] = {True: [], False: []}
        for name in names:
            replica, target_limiter = statistics.get(name), self._limiters.get(name)
            if replica is None or target_limiter is None or not replica.usable(now):
                continue
            has_queue = replica.in_flight >= max(1.0, target_limiter.limit)
            wait = target_limiter.expected_wait(replica.in_flight) if has_queue else 0.0
            waits[service.targets[name].zone == self._zone].append(wait)
        return min(waits[True] or waits[False], default=0.0)

    def _at_limit(self, name: str, replica: replicas.Replica) -> bool:
        target_limiter = self._limiters.get(name)
        return (
            target_limiter is not None and replica.in_flight >= target_limiter.limit + 1
        )

    def _update_limiter(self, target: catalog.Target) -> limiter.Limiter:
        floor = target.settings.slots / max(1, self._instances_max)
        ceiling = float(self.connection_limit(target))
        existing = self._limiters.get(target.name)
        if existing is None:
            return limiter.Limiter(floor, ceiling)
        existing.set_bounds(floor, ceiling)
        return existing
