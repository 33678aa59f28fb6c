"""One entry instance: wires the parts that live for the process."""

import dataclasses
import typing

from twisted.internet import defer

from jackdawpass import clock
from jackdawpass.connection import dialect, platform_api
from jackdawpass.process import (
    control,
    dispatcher,
    events,
    http_api,
    membership,
    operations,
    operator_api,
    policy,
    probing,
    settings,
    tracing,
)
from jackdawpass.request import (
    claimed_run,
    claims,
    fanout,
    machine,
    model,
    problems,
    runner,
    single_run,
)
from jackdawpass.version import catalog


class Entry:
    """One entry instance.

    Parameters
    ----------
    reactor : reactor
        The process's reactor.
    options : EntrySettings
        Settings of the instance.
    decisions : Policy
        Decides on targets, limits, hedges and retries.
    """

    def __init__(
        self,
        reactor: typing.Any,
        options: settings.EntrySettings,
        decisions: policy.Policy,
    ) -> None:
        self._reactor = reactor
        self._options = options
        self._policy = decisions
        self._wire = dialect.JsonDialect(options.zone)
        self._platform = platform_api.HttpPlatform(reactor, options.platform_url)
        self._control = control.Control(
            reactor, self._platform, options, self._on_catalog, self._on_members
        )
        self._dispatcher = dispatcher.Dispatcher(reactor, self._wire, decisions)
        self._prober = probing.Prober(reactor, decisions, self._dispatcher)
        self._catalog: catalog.Catalog | None = None
        self._members: membership.MembersView | None = None
        self._operations = operations.Operations(reactor, options)

    @property
    def ready(self) -> bool:
        """True when the instance can serve new requests."""
        return self._catalog is not None and not self._operations.draining

    @property
    def unready_reason(self) -> str | None:
        """Why the instance is not ready; None when it is."""
        if self._operations.draining:
            return "draining"
        return "no_configuration" if self._catalog is None else None

    @property
    def control_status(self) -> control.ControlStatus:
        """Version, members, links and counters of control."""
        return self._control.status

    @property
    def port(self) -> int:
        """Port on which callers are served."""
        return self._operations.port

    @property
    def ring(self) -> events.Ring:
        """Events of this process."""
        return self._operations.events

    @property
    def peer_port(self) -> int:
        """Port on which other entry instances are served."""
        return self._control.peer_port

    def start(self) -> None:
        """Listen for callers and begin to fetch the configuration."""
        extra = operator_api.resources(self)
        site = http_api.make_site(self, self._options.max_body_bytes, extra)
        self._operations.listen(site)
        self._control.start()
        self._prober.start()

    def status(self) -> model.JsonObject:
        """Return the status document."""
        return self._operations.status(self.ready)

    @property
    def drained(self) -> defer.Deferred[bool]:
        """Fires at the end of `drain`; False if requests were still running."""
        return self._operations.drained

    def drain(self) -> None:
        """Fail `/readyz`, answer what was accepted, then close the port."""
        self._operations.drain()

    @defer.inlineCallbacks
    def stop(self) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        """Stop listening and close all connections."""
        yield self._control.stop()
        self._prober.stop()
        yield self._operations.stop()
        self._dispatcher.close()
        yield self._platform.close()

    def run(
        self,
        request_id: str,
        service: str,
        query: model.QueryRequest,
        idempotency_key: str | None,
        on_finish: claimed_run.OnFinish,
    ) -> http_api.RunningQuery:
        """Run a query; `on_finish` is called once, possibly before returning."""
        observer = self._operations.accept(request_id, service)

        def finish(outcome: http_api.Outcome) -> None:
            observer.finished(outcome)
            on_finish(outcome)

        prepared = self._prepare(clock.monotonic(), request_id, service, query)
        if isinstance(prepared, problems.Problem):
            finish(prepared)
            return _Refused()
        if query.idempotent or idempotency_key is None:
            return self._start_run(prepared, query, finish, observer)
        problem = claims.check_key(idempotency_key)
        if problem is not None:
            finish(problem)
            return _Refused()
        claimed = claimed_run.ClaimedRun(
            self._reactor,
            self._platform,
            claims.object_key(service, idempotency_key),
            request_id,
            claims.fingerprint(query),
            prepared.plan.deadline,
            lambda on_run: self._start_run(
                prepared, query, on_run, observer, recorded=True
            ),
            finish,
        )
        claimed.start()
        return claimed

    def published_after(
        self, service: str, snapshot: str
    ) -> machine.PinnedSnapshot | None:
        """Return a service's published snapshot if it is another one."""
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

    def _on_catalog(self, current: catalog.Catalog) -> None:
        self._catalog = current
        now = clock.monotonic()
        self._policy.apply(now, current)
        if self._members is not None:
            self._policy.on_members(now, self._members)
        self._dispatcher.apply(current)
        self._operations.version_in_force(current.version)

    def _start_run(
        self,
        prepared: "_Prepared",
        query: model.QueryRequest,
        on_finish: runner.OnFinish,
        observer: tracing.RequestTrace,
        recorded: bool = False,
    ) -> runner.Runner:
        states = self._make_states(prepared, query.idempotent, recorded)
        encoded = self._wire.encode_query(query.query)
        running = runner.Runner(
            self._reactor, states, self._dispatcher, encoded, on_finish, observer
        )
        running.start()
        return running

    def _on_members(self, view: membership.MembersView) -> None:
        self._members = view
        self._policy.on_members(clock.monotonic(), view)
        if self._catalog is not None:
            self._dispatcher.resize(self._catalog)

    def _make_states(
        self, prepared: "_Prepared", idempotent: bool, recorded: bool
    ) -> machine.Machine:
        service = prepared.service
        router = self._policy.router(service, prepared.shard_map)
        budget = self._policy.budget(service)
        if not idempotent:
            return single_run.SingleRun(prepared.plan, router, budget, recorded)
        hedging = self._policy.hedging(service)
        source = _Source(self, service.name)
        return fanout.Fanout(prepared.plan, router, hedging, budget, source)

    def _prepare(
        self, now: float, request_id: str, name: str, query: model.QueryRequest
    ) -> "_Prepared | problems.Problem":
        if self._catalog is None:
            return problems.not_run(
                problems.ProblemKind.NO_CONFIGURATION,
                "this instance has no configuration yet; retry on another instance",
                1.0,
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
                1.0,
            )
        plan = _make_plan(now, request_id, service, shard_map, query)
        return _Prepared(service, shard_map, plan)


@dataclasses.dataclass(frozen=True, slots=True)
class _Prepared:
    """A query with what the catalog of its start declares for it."""

    service: catalog.Service
    shard_map: catalog.ShardMap
    plan: model.QueryPlan


class _Source:
    def __init__(self, entry: Entry, service: str) -> None:
        self._entry = entry
        self._service = service

    def published_after(self, snapshot: str) -> machine.PinnedSnapshot | None:
        return self._entry.published_after(self._service, snapshot)


class _Refused:
    def caller_gone(self) -> None:
        """Do nothing: a refused query has no work under way."""


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
        shards = frozenset((single_run.shard_of(query.shard_key, len(shards)),))
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
