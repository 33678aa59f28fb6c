"""Stand-in for a target: serves shards of a deterministic index."""

import collections
import collections.abc
import dataclasses
import random
import typing

import msgspec

from jackdawpass.standins import corpus, wire


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOptions:
    """How a target stand-in behaves when no fault is induced.

    Attributes
    ----------
    slots : int
        Requests run at once; more wait.
    max_waiting : int
        Requests that may wait before the target sheds load.
    connections : int
        Connections accepted; more are reset.
    service_ms : float
        Median running time of a request.
    spread : float
        Sigma of the log-normal running time.
    snapshots : mapping of str to list of int
        Shards held by snapshot.
    """

    name: str
    zone: str = "a"
    slots: int = 2
    max_waiting: int = 64
    connections: int = 60
    service_ms: float = 1.0
    spread: float = 0.0
    seed: int = 0
    snapshots: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that tests induce through ``POST /control/faults``.

    Attributes
    ----------
    delay_ms : float
        Added to the running time of each request.
    straggle_share, straggle_ms : float
        Share of requests that take `straggle_ms` longer.
    stall : bool
        Requests run but are never answered.
    reset : bool
        Requests are reset after they ran.
    cross : bool
        Replies carry the ids of the previous request on any connection.
    repeat : bool
        Each reply is written twice.
    repeat_results : bool
        Each result stands twice in its reply.
    snapshot : str
        Replies claim this snapshot.
    draining, cold, shed : bool
        Requests are refused with that kind.
    """

    delay_ms: float = 0.0
    straggle_share: float = 0.0
    straggle_ms: float = 0.0
    stall: bool = False
    reset: bool = False
    cross: bool = False
    repeat: bool = False
    repeat_results: bool = False
    snapshot: str = ""
    draining: bool = False
    cold: bool = False
    shed: bool = False


class _Run(msgspec.Struct):
    request_id: str
    attempt_id: int
    service: str
    snapshot: str
    shards: list[int]
    deadline_ms: float
    limit: int
    idempotent: bool
    query: msgspec.Raw


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    connection: wire.ServerConnection
    run: _Run
    timer: typing.Any = None


class TargetStandIn:
    """Runs requests on a number of slots and refuses like a real target.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    options : TargetOptions
        Behaviour without faults.
    """

    def __init__(self, reactor: typing.Any, options: TargetOptions) -> None:
        self._reactor = reactor
        self._options = options
        self._snapshots = dict(options.snapshots)
        self._faults = Faults()
        self._random = random.Random(options.seed)
        self._running: set[_Job] = set()
        self._waiting: collections.deque[_Job] = collections.deque()
        self._connections: set[wire.ServerConnection] = set()
        self._runs: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._last_ids: tuple[str, int] = ("", 0)

    @property
    def totals(self) -> collections.abc.Mapping[str, int]:
        """Counts of received, run, refused and cancelled requests and connections."""
        return self._totals

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(port, wire.ServerFactory(self), interface=host)

    def close_connections(self) -> None:
        """Reset all connections, as a killed process would."""
        for connection in list(self._connections):
            connection.reset()

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Accept a connection, or reset it over the limit."""
        self._connections.add(connection)
        most = max(self._totals["connections_max"], len(self._connections))
        self._totals["connections_max"] = most
        if len(self._connections) > self._options.connections:
            self._totals["connections_refused"] += 1
            connection.reset()

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Cancel the work of a connection that was closed."""
        self._connections.discard(connection)
        for job in [*self._running, *self._waiting]:
            if job.connection is connection:
                self._cancel(job)

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Answer a request."""
        if request.path == "/v1/run":
            self._receive(connection, msgspec.json.decode(request.body, type=_Run))
        elif request.path == "/v1/cancel":
            self._cancel_by_id(request.document())
            connection.reply(200, {})
        elif request.path == "/v1/health":
            connection.reply(200, self._health())
        elif request.path == "/v1/load":
            load = {"in_flight": len(self._running), "slots": self._options.slots}
            connection.reply(200, load)
        else:
            self._control(connection, request)

    def _receive(self, connection: wire.ServerConnection, run: _Run) -> None:
        self._totals["received"] += 1
        job = _Job(connection, run)
        refusal = self._refusal(run)
        if refusal is not None:
            self._totals["refused"] += 1
            self._refuse(job, refusal)
        elif len(self._running) < self._options.slots:
            self._start(job)
        elif len(self._waiting) < self._options.max_waiting:
            self._waiting.append(job)
        else:
            self._totals["refused"] += 1
            self._refuse(job, "shed")

    def _refusal(self, run: _Run) -> str | None:
        if self._faults.draining:
            return "draining"
        if self._faults.cold:
            return "cold"
        if self._faults.shed:
            return "shed"
        held = self._snapshots.get(run.snapshot)
        if held is None:
            return "snapshot_not_held"
        if not set(run.shards) <= set(held):
            return "shard_moved"
        return None

    def _refuse(self, job: _Job, kind: str) -> None:
        document = {
            "request_id": job.run.request_id,
            "attempt_id": job.run.attempt_id,
            "kind": kind,
            "ran": False,
            "held": sorted(self._snapshots),
            "retry_after_ms": 100,
        }
        job.connection.reply(503, document)

    def _start(self, job: _Job) -> None:
        self._running.add(job)
        self._runs[job.run.request_id] += 1
        self._totals["run"] += 1
        job.timer = self._reactor.callLater(self._duration(), self._complete, job)

    def _duration(self) -> float:
        milliseconds = self._options.service_ms * self._random.lognormvariate(
            0, self._options.spread
        )
        milliseconds += self._faults.delay_ms
        if self._random.random() < self._faults.straggle_share:
            milliseconds += self._faults.straggle_ms
        return milliseconds / 1000

    def _complete(self, job: _Job) -> None:
        self._running.discard(job)
        self._start_waiting()
        if self._faults.reset:
            job.connection.reset()
        elif not self._faults.stall:
            self._reply(job)

    def _reply(self, job: _Job) -> None:
        ids = (job.run.request_id, job.run.attempt_id)
        self._last_ids, last_ids = ids, self._last_ids
        if self._faults.cross:
            ids = last_ids
        document = {
            "request_id": ids[0],
            "attempt_id": ids[1],
            "snapshot": self._faults.snapshot or job.run.snapshot,
            "shards": {
                str(shard): self._results(job, shard) for shard in job.run.shards
            },
        }
        for _ in range(2 if self._faults.repeat else 1):
            job.connection.reply(200, document)

    def _results(self, job: _Job, shard: int) -> list[dict[str, typing.Any]]:
        results = corpus.shard_results(
            job.run.service, job.run.snapshot, shard, job.run.query
        )
        return results * 2 if self._faults.repeat_results else results

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self._options.slots:
            self._start(self._waiting.popleft())

    def _cancel_by_id(self, document: dict[str, typing.Any]) -> None:
        for job in [*self._running, *self._waiting]:
            same_request = job.run.request_id == document.get("request_id")
            if same_request and job.run.attempt_id == document.get("attempt_id"):
                self._cancel(job)

    def _cancel(self, job: _Job) -> None:
        self._totals["cancelled"] += 1
        if job in self._running:
            self._running.discard(job)
            job.timer.cancel()
            self._start_waiting()
        else:
            self._waiting.remove(job)

    def _health(self) -> dict[str, typing.Any]:
        state = "ready"
        if self._faults.draining:
            state = "draining"
        elif self._faults.cold:
            state = "cold"
        return {"state": state, "snapshots": sorted(self._snapshots)}

    def _control(
        self, connection: wire.ServerConnection, request: wire.Request
    ) -> None:
        if request.path == "/control/faults":
            self._faults = msgspec.convert(request.document(), Faults)
            connection.reply(200, {})
        elif request.path == "/control/snapshots":
            self._snapshots = request.document()["snapshots"]
            connection.reply(200, {})
        elif request.path == "/control/totals":
            connection.reply(200, dict(self._totals))
        elif request.path == "/control/runs":
            connection.reply(200, dict(self._runs))
        else:
            connection.reply(404, {"error": "no such resource"})
