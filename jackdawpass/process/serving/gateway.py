"""Gateway that serves callers' requests by queries to the targets of their routes."""

import collections.abc
import dataclasses
import functools
import math
import random
import typing

from jackdawpass import clock
from jackdawpass.connection import ingress, reply_limits
from jackdawpass.process import shares
from jackdawpass.process.serving import (
    aggregators,
    caller_requests,
    durations,
    feedback,
    forwarded_repeats,
    group_router,
    immediate_refusals,
    notices,
    peer_wire,
    peers,
    plans,
    prometheus_metrics,
    refusal_policy,
    repeats,
    request_log,
    sender,
    targets,
    throttle,
    timing,
)
from jackdawpass.request import (
    fanout,
    machine,
    model,
    problems,
    records,
    runner,
    single_run,
)
from jackdawpass.version import routes

# Instances assumed to share a target while their number is unknown. A high value is
# safe: it only lowers this instance's share of connections and repeats.
ASSUMED_INSTANCES = 64
# Concurrent subqueries from this instance to one instance of another zone.
PEER_CONNECTIONS = 16


class Gateway:
    """Component that serves requests by the routing table and the listed targets.

    Parameters
    ----------
    reactor : reactor
        Reactor of the process.
    zone : str
        Availability zone of this instance.
    wire : TargetDialect
        Protocol of the targets.
    subquery_wire : TargetDialect
        Protocol of subqueries to instances of other zones.
    limits : RepeatLimits
        Limits on repeats, shared by all instances.
    generator : random.Random
        Source of all random choices.
    on_suspected_partition : callable
        Called when other zones seem to be unreachable.
    metrics : PrometheusMetrics
        Metrics to update.
    memory : ReplyMemory or None
        Memory for unfinished replies.
    drain_seconds : float
        Time for which a leaving target still serves requests.
    """

    def __init__(
        self,
        reactor: typing.Any,
        zone: str,
        wire: notices.Wire,
        subquery_wire: notices.Wire,
        limits: repeats.RepeatLimits,
        generator: random.Random,
        on_suspected_partition: collections.abc.Callable[[], None],
        metrics: prometheus_metrics.PrometheusMetrics,
        memory: reply_limits.ReplyMemory | None = None,
        drain_seconds: float = 0.0,
    ) -> None:
        self._reactor = reactor
        self._random = generator
        self._targets = targets.Targets(zone, generator, drain_seconds)
        self._peers = peers.Peers(zone, generator)
        self._budgets = repeats.Budgets(limits)
        self._throttles = throttle.RouteThrottles(generator)
        self._feedback = feedback.AttemptFeedback(
            zone,
            self._targets,
            self._peers,
            on_suspected_partition,
            metrics,
            self._throttles,
        )
        self._durations = durations.RequestDurations()
        self._refusals = refusal_policy.RefusalPolicy(
            self._targets, self._throttles, self._durations
        )
        self._notices = notices.NoticeBoard(
            self._targets, lambda target: self._sender.withdraw_unsent(target)
        )
        on_notices = self._notices.on_notices
        self._sender = sender.Sender(
            reactor, wire, self._feedback, on_notices, memory=memory
        )
        self._subquery_sender = sender.Sender(
            reactor, subquery_wire, self._feedback, on_notices, 0.0, memory
        )
        self._dispatcher = sender.Dispatcher(self._sender, self._subquery_sender)
        self._table: routes.RoutingTable | None = None
        self._instances = float(ASSUMED_INSTANCES)
        self._zone = zone
        self._metrics = metrics
        self._isolated = False

    @property
    def table(self) -> routes.RoutingTable | None:
        """Routing table in force; None before the first one."""
        return self._table

    @property
    def notices(self) -> notices.NoticeBoard:
        """What targets have said about themselves in their replies."""
        return self._notices

    def apply_table(self, table: routes.RoutingTable) -> None:
        """Put a routing table in force if it is newer than the current one."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        names = {route.name for route in table.routes}
        self._feedback.apply_routes(table.routes)
        self._throttles.apply_routes(table.routes)
        self._durations.apply_routes(table.routes)
        self._budgets.keep(set(table.groups))
        self._metrics.keep(names, table.groups.keys())
        self._metrics.set("configuration_version", table.version)
        self._resize_pools()

    def apply_targets(
        self, now: float, listed: collections.abc.Mapping[str, targets.ListedTarget]
    ) -> None:
        """Apply the list of targets."""
        self._targets.apply(now, listed)
        self._resize_pools()

    def apply_peers(
        self, now: float, members: collections.abc.Iterable[aggregators.Member]
    ) -> None:
        """Apply the list of instances that query targets."""
        self._peers.apply(now, members)
        self._subquery_sender.apply(self._peers.states, lambda _: PEER_CONNECTIONS)

    def apply_instance_count(self, instances: float) -> None:
        """Set the number of equal instances among which the targets are shared."""
        self._instances = max(1.0, instances)
        self._metrics.set("instances", instances)
        self._resize_pools()

    def update_gauges(self, now: float) -> None:
        """Update the gauges that are computed on demand."""
        states = self._targets.states.values()
        self._metrics.set("targets", len(states))
        self._metrics.set("leaving_targets", sum(s.leaving for s in states))
        self._metrics.set("avoided_targets", sum(s.avoided(now) for s in states))
        least = self._budgets.least_remaining_share(now, self._instances)
        self._metrics.set("least_budget_ratio", least)

    def change_limits(self, limits: repeats.RepeatLimits) -> None:
        """Apply changed limits on repeats."""
        self._budgets.change_limits(limits)

    def update_isolation(self, now: float, store_unavailable: bool) -> bool:
        """Update and return whether this instance is isolated from other zones."""
        self._isolated = self._feedback.reachability.isolated(now, store_unavailable)
        return self._isolated

    def on_store_back(self) -> None:
        """End isolation: the store is outside the zone and responds again."""
        self._feedback.reachability.on_store_back()
        self._isolated = False

    def serve(
        self,
        request: caller_requests.CallerRequest,
        on_outcome: caller_requests.OnOutcome,
    ) -> ingress.Exchange:
        """Serve a request; `on_outcome` is called once, possibly before returning."""
        now = clock.monotonic()
        observer = request_log.RequestLog(now, request.request_id)
        if self._table is None:
            return _refuse(immediate_refusals.NO_CONFIGURATION, observer, on_outcome)
        route = self._table.match(request.host, request.path)
        if route is None:
            return _refuse(immediate_refusals.NO_ROUTE, observer, on_outcome)
        observer.routed(route.name, self._table.version)
        groups = route.shards or (route.pick_group(self._random.random()),)
        refusal = self._refusals.refusal(now, request, route, groups, self._isolated)
        if refusal is not None:
            self._metrics.finished(route.name, 0.0, refusal)
            return _refuse(refusal, observer, on_outcome)

        def finish(outcome: caller_requests.Outcome) -> None:
            finished_at = clock.monotonic()
            observer.finished(outcome)
            self._durations.add(finished_at, route, finished_at - now)
            is_late = finished_at - now + request.age > route.latency_objective
            is_full = is_late and self._targets.has_full(finished_at, groups)
            self._throttles.on_outcome(finished_at, route, outcome, is_late, is_full)
            self._metrics.finished(route.name, finished_at - now, outcome)
            on_outcome(immediate_refusals.cap_retry_after(outcome))

        state_machine = self._make_machine(now, request, route, groups)
        return self._run(request, state_machine, finish, observer)

    def finishes_within(
        self, request: caller_requests.CallerRequest, seconds: float | None
    ) -> bool:
        """Return whether a request is likely to end within some seconds.

        None stands for an unlimited time.
        """
        table = self._table
        route = None if table is None else table.match(request.host, request.path)
        return route is None or self._refusals.finishes_within(request, route, seconds)

    def review_repeat(
        self, request: caller_requests.CallerRequest
    ) -> forwarded_repeats.Review:
        """Return whether a request may be served that another instance may serve."""
        table = self._table
        route = None if table is None else table.match(request.host, request.path)
        if route is None:
            return forwarded_repeats.DECLINED
        return forwarded_repeats.review(
            clock.monotonic(), route, self._targets, self._budgets, self._instances
        )

    def serve_subquery(
        self,
        request: caller_requests.CallerRequest,
        subquery: peer_wire.Subquery,
        on_outcome: caller_requests.OnOutcome,
    ) -> ingress.Exchange | None:
        """Query some shards of a request on behalf of an instance of another zone.

        Returns None, without calling `on_outcome`, if this instance numbers the shards
        or limits the reply differently. Otherwise, configuration versions may differ.
        """
        now = clock.monotonic()
        table = self._table
        route = None if table is None else table.match(request.host, request.path)
        digest = subquery.fanout_digest
        if table is None or route is None or route.fanout_digest != digest:
            return None
        if not subquery.shards <= frozenset(range(len(route.shards))):
            return None
        observer = request_log.RequestLog(now, request.request_id)
        observer.routed(route.name, table.version, subquery=True)

        def finish(outcome: caller_requests.Outcome) -> None:
            observer.finished(outcome)
            on_outcome(outcome)

        plan = dataclasses.replace(
            plans.make_plan(now, request, route, len(route.shards), table.version),
            shards=subquery.shards,
            min_coverage=0.0,
            early_after=now + subquery.answer_within,
            early_coverage=0.0,
        )
        state_machine = self._make_fanout(
            plan, route, route.shards, None, self._on_request
        )
        return self._run(request, state_machine, finish, observer)

    def _run(
        self,
        request: caller_requests.CallerRequest,
        state_machine: machine.Machine,
        finish: caller_requests.OnOutcome,
        observer: request_log.RequestLog,
    ) -> ingress.Exchange:
        request_runner = runner.Runner(
            self._reactor,
            state_machine,
            self._dispatcher,
            request.encoded,
            finish,
            observer,
        )
        request_runner.start()
        return request_runner

    def close(self) -> None:
        """Close connections as they become idle."""
        self._sender.close()
        self._subquery_sender.close()

    def _make_machine(
        self,
        now: float,
        request: caller_requests.CallerRequest,
        route: routes.Route,
        groups: tuple[str, ...],
    ) -> machine.Machine:
        assert self._table is not None
        version = self._table.version
        plan = plans.make_plan(now, request, route, len(groups), version)
        if route.idempotent:
            allow_hop = route.shards and peers.allows_extra_hop(route.latency_objective)
            # The instances asked by a subquery would count the shards of a repeat as
            # first attempts.
            remote_peers = self._peers if allow_hop and not request.is_repeat else None
            on_request = self._on_repeat if request.is_repeat else self._on_request
            return self._make_fanout(plan, route, groups, remote_peers, on_request)
        self._on_request(now, groups[0])
        router = self._make_router(route, groups, None, self._on_request)
        return single_run.SingleRun(
            plan, router, self._make_budget(), make_merge=records.SingleReplyMerge
        )

    def _make_fanout(
        self,
        plan: model.QueryPlan,
        route: routes.Route,
        groups: tuple[str, ...],
        remote_peers: peers.Peers | None,
        on_request: group_router.OnRequest,
    ) -> fanout.Fanout:
        router = self._make_router(route, groups, remote_peers, on_request)
        budget = self._make_budget()
        hedging = timing.RouteHedging(
            route,
            self._feedback.latencies(route),
            budget,
            self._subquery_sender.has_channel,
        )
        make_merge: machine.MergeFactory = records.SingleReplyMerge
        if route.shards:
            make_merge = functools.partial(records.RecordMerge, limit=route.limit)
        snapshots = timing.NoNewerSnapshot()
        return fanout.Fanout(plan, router, hedging, budget, snapshots, make_merge)

    def _make_router(
        self,
        route: routes.Route,
        groups: tuple[str, ...],
        remote_peers: peers.Peers | None,
        on_request: group_router.OnRequest,
    ) -> group_router.GroupRouter:
        return group_router.GroupRouter(
            self._targets, remote_peers, groups, route.max_attempts, on_request
        )

    def _on_request(self, now: float, group: str) -> None:
        self._budgets.group(group).on_request(now)

    def _on_repeat(self, now: float, group: str) -> None:
        self._budgets.group(group).try_spend(now, self._instances)

    def _make_budget(self) -> timing.RequestBudget:
        return timing.RequestBudget(self._budgets, self._instances, self._group_of)

    def _group_of(self, target: str) -> str:
        state = self._targets.states.get(target)
        return "" if state is None else state.listed.group

    def _resize_pools(self) -> None:
        self._sender.apply(self._targets.states, self._connection_share)

    def _connection_share(self, target: targets.ListedTarget) -> int:
        group = None if self._table is None else self._table.groups.get(target.group)
        if group is None:
            return 0
        return shares.connection_share(
            group.max_connections, math.ceil(self._instances) + 1, 0
        )


def _refuse(
    problem: problems.Problem,
    observer: request_log.RequestLog,
    on_outcome: caller_requests.OnOutcome,
) -> ingress.Exchange:
    observer.finished(problem)
    on_outcome(problem)
    return ingress.FinishedExchange()
