"""The default policy: adapts to what this instance sees of its targets."""

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
    """What was learned of one service."""

    def __init__(self, service: catalog.Service) -> None:
        self.replicas = replicas.ServiceReplicas()
        self.latencies = latencies.ServiceLatencies()
        self.spill = routing.SpillBudget()
        self.settings = service.policy
        self.budget = budget.ServiceBudget(service.policy.extra_share, self.latencies)
        self.shard_map: catalog.ShardMap | None = None
        self.router: routing.AdaptiveRouter | None = None

    def apply(self, service: catalog.Service) -> None:
        """Take over changed settings and targets."""
        if service.policy.extra_share != self.settings.extra_share:
            share = service.policy.extra_share
            self.budget = budget.ServiceBudget(share, self.latencies)
        self.settings = service.policy
        self.replicas.keep(service.targets)
        self.shard_map = None
        self.router = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the platform's list of instances shows it."""

    name: str
    leaving: bool


class AdaptivePolicy:
    """Routes, limits, hedges and retries by what this instance learns alone.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    generator : random.Random
        Source of all random choices.
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
        """Take over a new catalog and keep what was learned of kept targets."""
        self._instances_max = current.instances_max
        states = {}
        targets: dict[str, catalog.Target] = {}
        for name, service in current.services.items():
            states[name] = self._services.get(name) or _ServiceState(service)
            states[name].apply(service)
            targets.update(service.targets)
        self._services = states
        self._limiters = {
            name: self._kept_limiter(target) for name, target in targets.items()
        }

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Note the member view; a target no longer leaving is listed as live once."""
        returned = self._leaving_targets - view.leaving_targets
        self._leaving_targets = view.leaving_targets
        self._list_is_recent = view.recent
        listed = [ListedTarget(name, True) for name in sorted(view.leaving_targets)]
        listed += [ListedTarget(name, False) for name in sorted(returned)]
        self.on_instances(now, view.live + view.leaving, listed)

    def on_instances(
        self,
        now: float,
        entries: int,
        targets: collections.abc.Iterable[ListedTarget],
    ) -> None:
        """Note the list of instances, which may lag or be empty.

        Parameters
        ----------
        entries : int
            Live and leaving entry instances in the list.
        targets : iterable of ListedTarget
            Targets in the list; one that is absent keeps its state.
        """
        self._instances_seen = entries
        for listed in targets:
            for state in self._services.values():
                replica = state.replicas.get(listed.name)
                if replica is not None:
                    replica.on_listed(now, listed.leaving)

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the draining targets whose health is to be asked for now.

        A recent list that says leaving needs no second opinion; health endpoints may
        lag or be wrong.
        """
        binding = self._leaving_targets if self._list_is_recent else frozenset()
        due = {
            name
            for state in self._services.values()
            for name in state.replicas.take_due_probes(now)
        }
        return tuple(sorted(due - binding))

    def on_probe(self, now: float, target: str, ready: bool) -> None:
        """Note whether a draining target says that it accepts work."""
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
                state.spill,
                self._at_limit,
                self._random,
            )
        return state.router

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return what says when to hedge a query of the service."""
        state = self._state(service)
        percentile = state.settings.hedge_percentile
        return hedging.PercentileHedging(state.latencies, state.budget, percentile)

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return the service's budget of extra sub-requests."""
        return self._state(service).budget

    def concurrency_limiter(self, target: catalog.Target) -> policy.ConcurrencyLimiter:
        """Return the concurrency limit of a target, the same one for each call."""
        if target.name not in self._limiters:
            self._limiters[target.name] = self._kept_limiter(target)
        return self._limiters[target.name]

    def connections(self, target: catalog.Target) -> int:
        """Return the largest number of connections to open to a target."""
        return shares.connection_share(
            target.settings.connections, self._instances_max, self._instances_seen
        )

    def queue_settings(self, service: str) -> policy.QueueSettings:
        """Return how sub-requests of a service wait."""
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
        """Return False when a query would wait in vain for too many of its targets."""
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
        """Note an attempt that was handed to its target's channel."""
        replica = self._replica(attempt)
        if replica is not None:
            replica.on_submitted(now)

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Note a reply; `latency` is in seconds."""
        replica = self._replica(attempt)
        if replica is not None:
            replica.on_reply(now, latency)
            self._services[attempt.service].latencies.add(now, latency)

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Note a failure."""
        state = self._services.get(attempt.service)
        if state is not None:
            state.replicas.on_failure(now, attempt.target, failure)

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Note a cancellation, `age` seconds after sending; 0 when not sent."""
        state = self._services.get(attempt.service)
        if state is None:
            return
        state.replicas.on_cancelled(now, attempt.target, age)
        # A lower bound of the latency; without it the percentile would know only the
        # attempts that were fast enough.
        if state.latencies.ready and age > state.latencies.percentile(50):
            state.latencies.add(now, age)

    def report(self, now: float) -> policy.Report:
        """Return what was learned, for operators."""
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
            # A request may outlive its service's last catalog.
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
            queues = replica.in_flight >= max(1.0, target_limiter.limit)
            wait = target_limiter.expected_wait(replica.in_flight) if queues else 0.0
            waits[service.targets[name].zone == self._zone].append(wait)
        return min(waits[True] or waits[False], default=0.0)

    def _at_limit(self, name: str, replica: replicas.Replica) -> bool:
        target_limiter = self._limiters.get(name)
        return (
            target_limiter is not None and replica.in_flight >= target_limiter.limit + 1
        )

    def _kept_limiter(self, target: catalog.Target) -> limiter.Limiter:
        floor = target.settings.slots / max(1, self._instances_max)
        ceiling = float(self.connections(target))
        kept = self._limiters.get(target.name)
        if kept is None:
            return limiter.Limiter(floor, ceiling)
        kept.set_bounds(floor, ceiling)
        return kept
