"""Start of the state machines that run the requests of callers."""

import dataclasses
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, platform_api
from jackdawpass.process import http_api, policy, tracing
from jackdawpass.request import (
    claimed_run,
    claims,
    fanout,
    machine,
    model,
    problems,
    refusals,
    runner,
    single_run,
)
from jackdawpass.version import catalog


class QueryStarter:
    """Starter of queries with the current catalog.

    Parameters
    ----------
    reactor : IReactorTime
        The process's reactor.
    platform : PlatformApi
        Stores the claims of non-idempotent requests.
    wire : TargetDialect
        Encodes the query.
    entry_policy : Policy
        Selects targets and decides on limits, hedges and retries.
    submitter : Submitter
        Sends the sub-requests.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform: platform_api.PlatformApi,
        wire: dialect.TargetDialect,
        entry_policy: policy.Policy,
        submitter: runner.Submitter,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._wire = wire
        self._policy = entry_policy
        self._submitter = submitter
        self._catalog: catalog.Catalog | None = None

    def apply(self, current: catalog.Catalog) -> None:
        """Use a new catalog; running queries keep the one they started with."""
        self._catalog = current

    def run(
        self,
        request_id: str,
        service: str,
        query: model.QueryRequest,
        idempotency_key: str | None,
        finish: claimed_run.OnFinish,
        observer: tracing.RequestTrace,
    ) -> http_api.RunningQuery:
        """Run a query; `finish` is called once, possibly before returning."""
        prepared = self._prepare(clock.monotonic(), request_id, service, query)
        if isinstance(prepared, problems.Problem):
            finish(prepared)
            return _RefusedQuery()
        if query.idempotent or idempotency_key is None:
            return self._start_run(prepared, query, finish, observer)
        problem = claims.check_key(idempotency_key)
        if problem is not None:
            finish(problem)
            return _RefusedQuery()
        key = claims.object_key(service, idempotency_key)
        return self._start_claimed(prepared, query, key, finish, observer)

    def published_after(
        self, service: str, snapshot: str
    ) -> machine.PinnedSnapshot | None:
        """Return a service's published snapshot if it differs from the given one."""
        if self._catalog is None:
            return None
        declared = self._catalog.services.get(service)
        if declared is None or declared.shard_map is None:
            return None
        if declared.shard_map.snapshot == snapshot:
            return None
        router = self._policy.router(declared, declared.shard_map)
        shards = declared.shard_map.shards
        return machine.PinnedSnapshot(declared.shard_map.snapshot, shards, router)

    def _start_claimed(
        self,
        prepared: "_PreparedQuery",
        query: model.QueryRequest,
        claim_key: str,
        on_finish: claimed_run.OnFinish,
        observer: tracing.RequestTrace,
    ) -> claimed_run.ClaimedRun:
        claimed = claimed_run.ClaimedRun(
            self._reactor,
            self._platform,
            claim_key,
            prepared.plan.request_id,
            claims.fingerprint(query),
            prepared.plan.deadline,
            lambda on_run: self._start_run(
                prepared, query, on_run, observer, recorded=True
            ),
            on_finish,
        )
        claimed.start()
        return claimed

    def _start_run(
        self,
        prepared: "_PreparedQuery",
        query: model.QueryRequest,
        on_finish: runner.OnFinish,
        observer: tracing.RequestTrace,
        recorded: bool = False,
    ) -> runner.Runner:
        states = self._make_states(prepared, query.idempotent, recorded)
        encoded = self._wire.encode_query(query.query)
        running = runner.Runner(
            self._reactor, states, self._submitter, encoded, on_finish, observer
        )
        running.start()
        return running

    def _make_states(
        self, prepared: "_PreparedQuery", idempotent: bool, recorded: bool
    ) -> machine.Machine:
        service = prepared.service
        router = self._policy.router(service, prepared.shard_map)
        budget = self._policy.budget(service)
        if not idempotent:
            return single_run.SingleRun(prepared.plan, router, budget, recorded)
        hedging = self._policy.hedging(service)
        source = _SnapshotSource(self, service.name)
        return fanout.Fanout(prepared.plan, router, hedging, budget, source)

    def _prepare(
        self, now: float, request_id: str, name: str, query: model.QueryRequest
    ) -> "_PreparedQuery | problems.Problem":
        if self._catalog is None:
            return problems.not_run(
                problems.ProblemKind.NO_CONFIGURATION,
                "this instance has no configuration yet; retry on another instance",
                refusals.RETRY_AFTER_SECONDS,
            )
        service = self._catalog.services.get(name)
        if service is None:
            return problems.not_run(
                problems.ProblemKind.UNKNOWN_SERVICE,
                f"service {name!r} is not declared; check the name or declare it",
            )
        shard_map = service.shard_map
        if shard_map is None:
            return problems.not_run(
                problems.ProblemKind.NO_SNAPSHOT,
                f"service {name!r} has no published snapshot; publish one",
                refusals.RETRY_AFTER_SECONDS,
            )
        plan = _make_plan(now, request_id, service, shard_map, query)
        # A non-idempotent request with a key may have run before. A repeated request
        # gets the recorded outcome, so it must not be refused here as not run.
        if query.idempotent and not self._policy.admits(now, service, shard_map, plan):
            return problems.not_run(
                problems.ProblemKind.OVERLOADED,
                "the service's targets have more work queued than they can do before "
                "the deadline; retry later or allow a longer timeout_ms",
                refusals.RETRY_AFTER_SECONDS,
            )
        return _PreparedQuery(service, shard_map, plan)


@dataclasses.dataclass(frozen=True, slots=True)
class _PreparedQuery:
    """A query plan with the service and shard map that it was made from."""

    service: catalog.Service
    shard_map: catalog.ShardMap
    plan: model.QueryPlan


class _SnapshotSource:
    def __init__(self, queries: QueryStarter, service: str) -> None:
        self._queries = queries
        self._service = service

    def published_after(self, snapshot: str) -> machine.PinnedSnapshot | None:
        return self._queries.published_after(self._service, snapshot)


class _RefusedQuery:
    def caller_gone(self) -> None:
        """Do nothing, since a refused query has no work in progress."""


def _make_plan(
    now: float,
    request_id: str,
    service: catalog.Service,
    shard_map: catalog.ShardMap,
    query: model.QueryRequest,
) -> model.QueryPlan:
    policy = service.policy
    shards = shard_map.shards
    if query.shard_key is not None:
        shards = frozenset((single_run.shard_for_key(query.shard_key, len(shards)),))
    timeout = policy.timeout_ms / 1000 if query.timeout is None else query.timeout
    min_coverage = (
        policy.min_coverage if query.min_coverage is None else query.min_coverage
    )
    early = policy.favour == "latency"
    return model.QueryPlan(
        request_id=request_id,
        service=service.name,
        snapshot=shard_map.snapshot,
        shards=shards,
        deadline=now + timeout,
        limit=policy.limit if query.limit is None else query.limit,
        min_coverage=min_coverage,
        early_after=now + policy.early_after_ms / 1000 if early else None,
        early_coverage=policy.early_coverage,
    )
