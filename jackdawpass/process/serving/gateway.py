"""Takes callers' requests and has them answered by the targets of their route."""

import collections.abc
import dataclasses
import math
import random
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, ingress
from jackdawpass.process import shares
from jackdawpass.process.serving import (
    aggregators,
    feedback,
    group_router,
    peer_wire,
    peers,
    prometheus_metrics,
    repeats,
    request_log,
    sender,
    targets,
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

# Instances assumed to share a target while their number is not known. Too many only
# make this one more modest.
ASSUMED_INSTANCES = 64
# Time after which a caller whose request found no room may come back: the time in which
# a target works off a full queue of short requests.
RETRY_AFTER_SECONDS = 0.1
# Time before the deadline at which the last answer leaves, so that it arrives.
ANSWER_SECONDS = 0.010
MIN_DEADLINE_SECONDS = 0.001
# Time in which the load balancer takes a cut-off instance out of rotation.
CUT_OFF_RETRY_SECONDS = 1.0
# Requests that this instance hands to one of another zone at once.
PEER_CONNECTIONS = 16

Outcome = model.Answer | problems.Problem
OnOutcome = collections.abc.Callable[[Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request as it is passed on.

    Attributes
    ----------
    request_id : str
        The caller's id of this request.
    path : str
        Without the query string.
    timeout : float
        Seconds that the caller waits.
    encoded : bytes
        The encoded request that targets get.
    age : float
        Seconds since the request reached the first instance.
    """

    request_id: str
    host: str
    path: str
    timeout: float
    encoded: bytes
    age: float = 0.0


class Gateway:
    """Serves requests by the routing table in force and the listed targets.

    Parameters
    ----------
    reactor : reactor
        The process's reactor.
    zone : str
        Availability zone of this instance.
    wire : TargetDialect
        Dialect of the targets.
    subquery_wire : TargetDialect
        Dialect of the instances of other zones that are asked for shards.
    limits : RepeatLimits
        Limits of repeats for all instances together.
    generator : random.Random
        Source of all random choices.
    on_suspected_partition : callable
        Called when targets of other zones seem to be unreachable.
    metrics : PrometheusMetrics
        Receives the measurements.
    """

    def __init__(
        self,
        reactor: typing.Any,
        zone: str,
        wire: dialect.TargetDialect,
        subquery_wire: dialect.TargetDialect,
        limits: repeats.RepeatLimits,
        generator: random.Random,
        on_suspected_partition: collections.abc.Callable[[], None],
        metrics: prometheus_metrics.PrometheusMetrics,
    ) -> None:
        self._reactor = reactor
        self._random = generator
        self._targets = targets.Targets(zone, generator)
        self._peers = peers.Peers(zone, generator)
        self._budgets = repeats.Budgets(limits)
        self._feedback = feedback.AttemptFeedback(
            zone, self._targets, self._peers, on_suspected_partition, metrics
        )
        self._sender = sender.Sender(reactor, wire, self._feedback)
        self._subquery_sender = sender.Sender(
            reactor, subquery_wire, self._feedback, linger_seconds=0.0
        )
        self._dispatcher = sender.Dispatcher(self._sender, self._subquery_sender)
        self._table: routes.RoutingTable | None = None
        self._instances = float(ASSUMED_INSTANCES)
        self._zone = zone
        self._metrics = metrics
        self._isolated = False

    @property
    def table(self) -> routes.RoutingTable | None:
        """Routing table in force; None before the first."""
        return self._table

    def apply_table(self, table: routes.RoutingTable) -> None:
        """Put a routing table in force, unless a later one is."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        names = {route.name for route in table.routes}
        self._feedback.apply_routes(table.routes)
        self._budgets.keep(set(table.groups))
        self._metrics.keep(names, table.groups.keys())
        self._metrics.set("configuration_version", table.version)
        self._resize()

    def apply_targets(
        self, now: float, listed: collections.abc.Mapping[str, targets.ListedTarget]
    ) -> None:
        """Take over the list of targets."""
        self._targets.apply(now, listed)
        self._resize()

    def apply_peers(
        self, now: float, members: collections.abc.Iterable[aggregators.Member]
    ) -> None:
        """Take over the instances that ask targets in their zones."""
        self._peers.apply(now, members)
        self._subquery_sender.apply(self._peers.states, lambda _: PEER_CONNECTIONS)

    def apply_share(self, instances: float) -> None:
        """Take over among how many instances like this one the targets are shared."""
        self._instances = max(1.0, instances)
        self._metrics.set("instances", instances)
        self._resize()

    def update_gauges(self, now: float) -> None:
        """Set the gauges that change with time."""
        states = self._targets.states.values()
        self._metrics.set("targets", len(states))
        self._metrics.set("leaving_targets", sum(s.listed.leaving for s in states))
        self._metrics.set("avoided_targets", sum(s.avoided(now) for s in states))
        least = self._budgets.least_share_left(now, self._instances)
        self._metrics.set("least_budget_ratio", least)

    def change_limits(self, limits: repeats.RepeatLimits) -> None:
        """Take over changed limits of repeats."""
        self._budgets.change_limits(limits)

    def review_reachability(self, now: float, store_away: bool) -> bool:
        """Return whether this instance is cut off from the other zones."""
        self._isolated = self._feedback.reachability.isolated(now, store_away)
        return self._isolated

    def on_store_back(self) -> None:
        """Note that the way out of the zone is open."""
        self._feedback.reachability.on_store_back()
        self._isolated = False

    def serve(self, request: CallerRequest, on_outcome: OnOutcome) -> ingress.Exchange:
        """Serve a request; `on_outcome` is called once, possibly before returning."""
        now = clock.monotonic()
        observer = request_log.RequestLog(now, request.request_id)
        if self._table is None:
            return _refuse(NO_CONFIGURATION, observer, on_outcome)
        route = self._table.match(request.host, request.path)
        if route is None:
            return _refuse(_NO_ROUTE, observer, on_outcome)
        observer.routed(route.name, self._table.version)
        groups = route.shards or (route.pick_group(self._random.random()),)
        if self._isolated and self._is_out_of_reach(now, route, groups):
            return _refuse(_CUT_OFF, observer, on_outcome)

        def finish(outcome: Outcome) -> None:
            observer.finished(outcome)
            self._metrics.finished(route.name, clock.monotonic() - now, outcome)
            on_outcome(_with_return_time(outcome))

        states = self._machine(now, request, route, groups)
        return self._run(request, states, finish, observer)

    def serve_subquery(
        self,
        request: CallerRequest,
        subquery: peer_wire.Subquery,
        on_outcome: OnOutcome,
    ) -> ingress.Exchange | None:
        """Ask for some shards of a request for an instance of another zone.

        Returns None, without calling `on_outcome`, when this instance does not number
        the shards in the same way. Versions may differ as long as the shards do not.
        """
        now = clock.monotonic()
        table = self._table
        route = None if table is None else table.match(request.host, request.path)
        if table is None or route is None or route.shard_set != subquery.shard_set:
            return None
        if not subquery.shards <= frozenset(range(len(route.shards))):
            return None
        observer = request_log.RequestLog(now, request.request_id)
        observer.routed(route.name, table.version, subquery=True)

        def finish(outcome: Outcome) -> None:
            observer.finished(outcome)
            on_outcome(outcome)

        plan = dataclasses.replace(
            self._plan(now, request, route, len(route.shards)),
            shards=subquery.shards,
            min_coverage=0.0,
            early_after=now + subquery.answer_within,
            early_coverage=0.0,
        )
        states = self._fanout(plan, route, route.shards, None)
        return self._run(request, states, finish, observer)

    def _run(
        self,
        request: CallerRequest,
        states: machine.Machine,
        finish: OnOutcome,
        observer: request_log.RequestLog,
    ) -> ingress.Exchange:
        running = runner.Runner(
            self._reactor, states, self._dispatcher, request.encoded, finish, observer
        )
        running.start()
        return running

    def _is_out_of_reach(
        self, now: float, route: routes.Route, groups: tuple[str, ...]
    ) -> bool:
        """Return whether the zone's own targets cover too little of a route."""
        reachable = sum(self._targets.has_local(now, group) for group in groups)
        needed = max(route.min_coverage * len(groups), 1)
        return reachable < needed

    def close(self) -> None:
        """Close the connections to targets as they become idle."""
        self._sender.close()
        self._subquery_sender.close()

    def _machine(
        self,
        now: float,
        request: CallerRequest,
        route: routes.Route,
        groups: tuple[str, ...],
    ) -> machine.Machine:
        plan = self._plan(now, request, route, len(groups))
        if route.idempotent:
            is_worthwhile = route.shards and peers.allows_extra_hop(route.objective)
            nearby = self._peers if is_worthwhile else None
            return self._fanout(plan, route, groups, nearby)
        self._on_request(now, groups[0])
        router = self._router(route, groups, None)
        return single_run.SingleRun(
            plan, router, self._budget(), make_merge=records.SingleReplyMerge
        )

    def _fanout(
        self,
        plan: model.QueryPlan,
        route: routes.Route,
        groups: tuple[str, ...],
        nearby: peers.Peers | None,
    ) -> fanout.Fanout:
        router = self._router(route, groups, nearby)
        budget = self._budget()
        hedging = timing.RouteHedging(
            route, self._feedback.timing(route), budget, self._subquery_sender.knows
        )
        make_merge = records.RecordMerge if route.shards else records.SingleReplyMerge
        source = timing.NoOtherSnapshot()
        return fanout.Fanout(plan, router, hedging, budget, source, make_merge)

    def _router(
        self,
        route: routes.Route,
        groups: tuple[str, ...],
        nearby: peers.Peers | None,
    ) -> group_router.GroupRouter:
        return group_router.GroupRouter(
            self._targets, nearby, groups, route.max_attempts, self._on_request
        )

    def _on_request(self, now: float, group: str) -> None:
        self._budgets.group(group).on_request(now)

    def _budget(self) -> timing.RequestBudget:
        return timing.RequestBudget(self._budgets, self._instances, self._group_of)

    def _plan(
        self, now: float, request: CallerRequest, route: routes.Route, shards: int
    ) -> model.QueryPlan:
        wait = min(request.timeout, route.timeout)
        assert self._table is not None
        early = timing.answer_by(now, request.age, route) if route.shards else None
        return model.QueryPlan(
            request_id=request.request_id,
            service=route.name,
            snapshot=route.shard_set if route.shards else str(self._table.version),
            shards=frozenset(range(shards)),
            deadline=now + max(MIN_DEADLINE_SECONDS, wait - ANSWER_SECONDS),
            limit=route.limit,
            min_coverage=route.min_coverage,
            early_after=early,
            early_coverage=route.min_coverage,
            max_attempts=route.max_attempts,
            hedge_from_start=True,
        )

    def _group_of(self, target: str) -> str:
        state = self._targets.states.get(target)
        return "" if state is None else state.listed.group

    def _resize(self) -> None:
        self._sender.apply(self._targets.states, self._share_of)

    def _share_of(self, target: targets.ListedTarget) -> int:
        group = None if self._table is None else self._table.groups.get(target.group)
        if group is None:
            return 0
        return shares.connection_share(
            group.max_connections, math.ceil(self._instances) + 1, 0
        )


NO_CONFIGURATION = problems.not_run(
    problems.ProblemKind.NO_CONFIGURATION,
    "this instance has no configuration yet; retry",
    RETRY_AFTER_SECONDS,
)
_CUT_OFF = problems.not_run(
    problems.ProblemKind.NO_TARGET,
    "this instance is cut off from the zones that hold the request's shards; "
    "retry at another one",
    CUT_OFF_RETRY_SECONDS,
)
_NO_ROUTE = problems.not_run(
    problems.ProblemKind.UNKNOWN_SERVICE,
    "no route matches the host and path; check them against the configuration",
)


def _refuse(
    problem: problems.Problem, observer: request_log.RequestLog, on_outcome: OnOutcome
) -> ingress.Exchange:
    observer.finished(problem)
    on_outcome(problem)
    return ingress.FinishedExchange()


def _with_return_time(outcome: Outcome) -> Outcome:
    if isinstance(outcome, problems.Problem) and outcome.retry_after is not None:
        if outcome.retry_after > RETRY_AFTER_SECONDS:
            return dataclasses.replace(outcome, retry_after=RETRY_AFTER_SECONDS)
    return outcome
