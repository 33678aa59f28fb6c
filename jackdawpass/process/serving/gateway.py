"""Takes callers' requests and has them answered by the targets of their route."""

import collections.abc
import dataclasses
import math
import random
import typing

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process import shares, submission
from jackdawpass.process.serving import (
    journal,
    meters,
    reach,
    repeats,
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
# An attempt given up after so many ordinary latencies had trouble.
UNANSWERED_RATIO = 2.0
_LOST_KINDS = (
    model.FailureKind.CONNECT_FAILED,
    model.FailureKind.CONNECTION_LOST,
    model.FailureKind.TIMED_OUT,
)

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
    patience : float
        Seconds that the caller waits.
    forward : bytes
        The encoded request that targets get.
    age : float
        Seconds since the request reached the first instance.
    """

    request_id: str
    host: str
    path: str
    patience: float
    forward: bytes
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
    limits : RepeatLimits
        Limits of repeats for all instances together.
    generator : random.Random
        Source of all random choices.
    on_doubt : callable
        Called when targets of other zones seem to be out of reach.
    measures : Meters
        Receives the measurements.
    """

    def __init__(
        self,
        reactor: typing.Any,
        zone: str,
        wire: typing.Any,
        limits: repeats.RepeatLimits,
        generator: random.Random,
        on_doubt: collections.abc.Callable[[], None],
        measures: meters.Meters,
    ) -> None:
        self._reactor = reactor
        self._random = generator
        self._targets = targets.Targets(zone, generator)
        self._budgets = repeats.Budgets(limits)
        self._timings: dict[str, timing.RouteTiming] = {}
        self._sender = sender.Sender(reactor, wire, self)
        self._table: routes.RoutingTable | None = None
        self._instances = float(ASSUMED_INSTANCES)
        self._zone = zone
        self._reach = reach.Reach()
        self._on_doubt = on_doubt
        self._meters = measures
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
        self._timings = {
            name: self._timings.get(name) or timing.RouteTiming() for name in names
        }
        self._budgets.keep(set(table.groups))
        self._meters.keep(names, table.groups.keys())
        self._meters.set("configuration_version", table.version)
        self._resize()

    def apply_targets(
        self, now: float, listed: collections.abc.Mapping[str, targets.ListedTarget]
    ) -> None:
        """Take over the list of targets."""
        self._targets.apply(now, listed)
        self._resize()

    def apply_share(self, instances: float) -> None:
        """Take over among how many instances like this one the targets are shared."""
        self._instances = max(1.0, instances)
        self._meters.set("instances", instances)
        self._resize()

    def measure(self, now: float) -> None:
        """Set the gauges that change with time."""
        states = self._targets.states.values()
        self._meters.set("targets", len(states))
        self._meters.set("leaving_targets", sum(s.listed.leaving for s in states))
        self._meters.set("avoided_targets", sum(s.avoided(now) for s in states))
        least = self._budgets.least_share_left(now, self._instances)
        self._meters.set("least_budget_ratio", least)

    def change_limits(self, limits: repeats.RepeatLimits) -> None:
        """Take over changed limits of repeats."""
        self._budgets.change_limits(limits)

    def review_reach(self, now: float, store_away: bool) -> bool:
        """Return whether this instance is cut off from the other zones."""
        self._isolated = self._reach.isolated(now, store_away)
        return self._isolated

    def on_store_back(self) -> None:
        """Note that the way out of the zone is open."""
        self._reach.on_store_back()
        self._isolated = False

    def serve(self, request: CallerRequest, on_outcome: OnOutcome) -> ingress.Exchange:
        """Serve a request; `on_outcome` is called once, possibly before returning."""
        now = clock.monotonic()
        observer = journal.RequestJournal(now, request.request_id)
        if self._table is None:
            return _refuse(NO_CONFIGURATION, observer, on_outcome)
        route = self._table.match(request.host, request.path)
        if route is None:
            return _refuse(_NO_ROUTE, observer, on_outcome)
        observer.routed(route.name, self._table.version)
        groups = route.shards or (route.pick_group(self._random.random()),)
        for group in groups:
            self._budgets.group(group).on_request(now)
        if self._isolated and self._is_out_of_reach(now, route, groups):
            return _refuse(_CUT_OFF, observer, on_outcome)

        def finish(outcome: Outcome) -> None:
            observer.finished(outcome)
            self._meters.finished(route.name, clock.monotonic() - now, outcome)
            on_outcome(_with_return_time(outcome))

        running = runner.Runner(
            self._reactor,
            self._machine(now, request, route, groups),
            self._sender,
            request.forward,
            finish,
            observer,
        )
        running.start()
        return running

    def on_attempt_end(
        self, now: float, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Learn from the end of an attempt."""
        state = self._targets.states.get(attempt.target)
        known = self._timings.get(attempt.service)
        route = self._route(attempt.service)
        if state is None or known is None or route is None:
            return
        self._meters.attempt_ended(state.listed.group, attempt, end)
        typical = known.typical(route)
        if state.listed.zone != self._zone:
            self._note_reach(now, end, typical)
        match end:
            case submission.Replied(latency):
                known.add(now, latency)
                state.on_latency(now, latency / typical)
            case submission.Cancelled(age):
                state.on_withdrawn(now, age / typical)
            case model.AttemptFailure():
                if end.kind is model.FailureKind.WRONG_TARGET:
                    state.on_misdirected(now)
                elif targets.is_evidence(end):
                    state.on_failure(now)

    def _note_reach(self, now: float, end: submission.End, typical: float) -> None:
        match end:
            case submission.Replied():
                self._reach.on_answer(now)
            case submission.Cancelled(age):
                if age > UNANSWERED_RATIO * typical:
                    self._reach.on_trouble(now)
            case model.AttemptFailure(kind):
                if kind in _LOST_KINDS:
                    self._reach.on_trouble(now)
        if self._reach.doubtful():
            self._on_doubt()

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

    def _route(self, name: str) -> routes.Route | None:
        if self._table is None:
            return None
        return self._table.route(name)

    def _machine(
        self,
        now: float,
        request: CallerRequest,
        route: routes.Route,
        groups: tuple[str, ...],
    ) -> machine.Machine:
        plan = self._plan(now, request, route, len(groups))
        router = targets.GroupRouter(self._targets, groups)
        budget = timing.RequestBudget(self._budgets, self._instances, self._group_of)
        merger = records.RecordMerge if route.shards else records.RelayMerge
        if not route.idempotent:
            return single_run.SingleRun(plan, router, budget, merger=merger)
        known = self._timings[route.name]
        hedging = timing.RouteHedging(route, known, budget)
        source = timing.NoOtherSnapshot()
        return fanout.Fanout(plan, router, hedging, budget, source, merger)

    def _plan(
        self, now: float, request: CallerRequest, route: routes.Route, shards: int
    ) -> model.QueryPlan:
        wait = min(request.patience, route.timeout)
        assert self._table is not None
        early = timing.answer_by(now, request.age, route) if route.shards else None
        return model.QueryPlan(
            request_id=request.request_id,
            service=route.name,
            snapshot=str(self._table.version),
            shards=frozenset(range(shards)),
            deadline=now + max(MIN_DEADLINE_SECONDS, wait - ANSWER_SECONDS),
            limit=route.limit,
            min_coverage=route.min_coverage,
            early_after=early,
            early_coverage=route.min_coverage,
            max_attempts=route.max_attempts,
            hedge_unsent=True,
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
    problem: problems.Problem, observer: journal.RequestJournal, on_outcome: OnOutcome
) -> ingress.Exchange:
    observer.finished(problem)
    on_outcome(problem)
    return ingress.Ended()


def _with_return_time(outcome: Outcome) -> Outcome:
    if isinstance(outcome, problems.Problem) and outcome.retry_after is not None:
        if outcome.retry_after > RETRY_AFTER_SECONDS:
            return dataclasses.replace(outcome, retry_after=RETRY_AFTER_SECONDS)
    return outcome
