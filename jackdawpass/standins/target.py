"""Stand-in for a target: serves shards of a deterministic index."""

import collections
import collections.abc
import dataclasses
import random
import typing

import msgspec

from jackdawpass import clock
from jackdawpass.standins import behaviour, corpus, slots, wire

ZONE_HEADER = "caller-zone"

TargetOptions = behaviour.TargetOptions


class TargetStandIn:
    """Runs requests on a number of slots and refuses like a real target.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    options : TargetOptions
        Behaviour without faults.
    """

    def __init__(self, reactor: typing.Any, options: behaviour.TargetOptions) -> None:
        self._reactor = reactor
        self._options = options
        self._snapshots = dict(options.snapshots)
        self._faults = behaviour.Faults()
        self._random = random.Random(options.seed)
        self._slots = slots.Slots(
            reactor,
            options.slots,
            options.max_waiting,
            self._begin,
            self._complete,
            self._expire,
        )
        self._connections: set[wire.ServerConnection] = set()
        self._new: set[wire.ServerConnection] = set()
        self._closing = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._last_document: dict[str, typing.Any] | None = None
        self._frozen_health: dict[str, typing.Any] = {}
        self._frozen_load: dict[str, int] = {}
        self._listening: typing.Any = None
        self._port = options.port
        self._stopped = False
        self._cold_runs = options.cold_requests
        self._warm_at = 0.0

    @property
    def totals(self) -> collections.abc.Mapping[str, int]:
        """Counts of received, run, refused and cancelled requests and connections."""
        return self._totals

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._options.name

    @property
    def port(self) -> int:
        """Port on which the target listens or listened last."""
        return self._port

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        self._cold_runs = self._options.cold_requests
        self._warm_at = clock.monotonic() + self._options.cold_seconds
        self._listening = self._reactor.listenTCP(
            port or self._port, wire.ServerFactory(self), interface=host
        )
        self._port = self._listening.getHost().port
        self._stopped = False
        return self._listening

    def stop(self) -> None:
        """Stop listening and reset all connections, as a killed process would."""
        self._listening.stopListening()
        self._stopped = True
        self.close_connections()

    def restart(self) -> None:
        """Listen on the same port again, cold; do nothing while it listens."""
        if self._stopped:
            self.listen()

    def close_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    def set_faults(self, faults: behaviour.Faults) -> None:
        """Replace the induced faults."""
        if faults.freeze_health and not self._faults.freeze_health:
            self._frozen_health = self._health()
        if faults.freeze_load and not self._faults.freeze_load:
            self._frozen_load = self._load()
        self._faults = faults

    def set_snapshots(self, snapshots: dict[str, list[int]]) -> None:
        """Replace the snapshots that the target holds."""
        self._snapshots = snapshots

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Accept a connection, or reset it over the limit."""
        self._connections.add(connection)
        self._new.add(connection)
        count = len(self._connections) + self._closing
        self._totals["connections_max"] = max(self._totals["connections_max"], count)
        self._totals["connections_opened"] += 1
        if count > self._options.connections:
            self._totals["connections_refused"] += 1
            connection.reset()

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Cancel the work of a connection that was closed."""
        self._connections.discard(connection)
        self._new.discard(connection)
        if self._faults.slow_close_ms:
            self._closing += 1
            self._reactor.callLater(self._faults.slow_close_ms / 1000, self._closed)
        self._cancel(lambda job: job.connection is connection)

    def _closed(self) -> None:
        self._closing -= 1

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Answer a request."""
        if request.path == "/v1/run":
            self._arrive(connection, request)
        elif request.path == "/v1/cancel":
            self._cancel_by_id(request.document())
            connection.reply(200, {})
        elif request.path == "/v1/health":
            frozen = self._faults.freeze_health
            connection.reply(200, self._frozen_health if frozen else self._health())
        elif request.path == "/v1/load":
            frozen = self._faults.freeze_load
            connection.reply(200, self._frozen_load if frozen else self._load())
        else:
            self._control(connection, request)

    def _arrive(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        zone = request.headers.get(ZONE_HEADER, self._options.zone)
        if zone in self._faults.cut_zones:
            self._totals["lost"] += 1
            return
        run = msgspec.json.decode(request.body, type=slots.Run)
        job = slots.Job(connection, run, remote=zone != self._options.zone)
        delay_ms = self._options.zone_delay_ms if job.remote else 0.0
        if connection in self._new:
            self._new.discard(connection)
            delay_ms += self._options.connect_ms
        if delay_ms:
            self._reactor.callLater(delay_ms / 1000, self._receive, job)
        else:
            self._receive(job)

    def _receive(self, job: slots.Job) -> None:
        if not job.connection.open:
            return
        self._totals["received"] += 1
        refusal = self._refusal(job.run)
        if refusal is None and not self._slots.try_add(job):
            refusal = "shed"
        if refusal is not None:
            self._totals["refused"] += 1
            self._refuse(job, refusal)

    def _refusal(self, run: slots.Run) -> str | None:
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

    def _refuse(self, job: slots.Job, kind: str) -> None:
        document = {
            "request_id": job.run.request_id,
            "attempt_id": job.run.attempt_id,
            "kind": kind,
            "ran": job.started,
            "held": sorted(self._snapshots),
            "retry_after_ms": 100,
        }
        self._write(job, 503, document)

    def _begin(self, job: slots.Job) -> float:
        self._runs[job.run.request_id] += 1
        self._totals["run"] += 1
        milliseconds = self._options.service_ms * self._random.lognormvariate(
            0, self._options.spread
        )
        milliseconds = milliseconds * self._faults.slow_factor + self._faults.delay_ms
        if self._is_cold():
            milliseconds *= self._options.cold_factor
        self._cold_runs -= 1
        if self._straggles(job.run):
            milliseconds += self._faults.straggle_ms
        return milliseconds / 1000

    def _is_cold(self) -> bool:
        return self._cold_runs > 0 or clock.monotonic() < self._warm_at

    def _straggles(self, run: slots.Run) -> bool:
        by_chance = self._random.random() < self._faults.straggle_share
        return by_chance or self._faults.straggle_shard in run.shards

    def _complete(self, job: slots.Job) -> None:
        if self._faults.reset:
            job.connection.reset()
        elif not self._faults.stall:
            self._reply(job)

    def _expire(self, job: slots.Job) -> None:
        self._totals["expired"] += 1
        self._refuse(job, "failed")

    def _reply(self, job: slots.Job) -> None:
        document = {
            "request_id": job.run.request_id,
            "attempt_id": job.run.attempt_id,
            "snapshot": self._faults.snapshot or job.run.snapshot,
            "shards": {
                str(shard): self._results(job.run, shard) for shard in job.run.shards
            },
        }
        self._last_document, last = document, self._last_document
        if self._faults.cross and last is not None:
            document = last
        for _ in range(2 if self._faults.repeat else 1):
            self._write(job, 200, document)

    def _write(self, job: slots.Job, status: int, document: object) -> None:
        delay_ms = self._options.zone_delay_ms if job.remote else 0.0
        delay_ms += self._faults.late_ms if status == 200 else 0.0
        if delay_ms:
            seconds = delay_ms / 1000
            self._reactor.callLater(seconds, job.connection.reply, status, document)
        else:
            job.connection.reply(status, document)

    def _results(self, run: slots.Run, shard: int) -> list[dict[str, typing.Any]]:
        results = corpus.shard_results(run.service, run.snapshot, shard, run.query)
        if len(results) > run.limit:
            results.sort(key=lambda item: (-item["score"], item["id"]))
            del results[run.limit :]
        return results * 2 if self._faults.repeat_results else results

    def _cancel_by_id(self, document: dict[str, typing.Any]) -> None:
        ids = (document.get("request_id"), document.get("attempt_id"))
        self._cancel(lambda job: (job.run.request_id, job.run.attempt_id) == ids)

    def _cancel(self, matches: collections.abc.Callable[[slots.Job], bool]) -> None:
        self._totals["cancelled"] += self._slots.cancel(matches)

    def _load(self) -> dict[str, int]:
        claimed = self._faults.false_in_flight
        in_flight = self._slots.in_flight if claimed is None else claimed
        return {"in_flight": in_flight, "slots": self._options.slots}

    def _health(self) -> dict[str, typing.Any]:
        state = "ready"
        if self._faults.draining:
            state = "draining"
        elif self._faults.cold or self._is_cold():
            state = "cold"
        state = self._faults.false_health or state
        return {"state": state, "snapshots": sorted(self._snapshots)}

    def _control(
        self, connection: wire.ServerConnection, request: wire.Request
    ) -> None:
        status, document = self.control(
            request.path.removeprefix("/control/"), request.document()
        )
        connection.reply(status, document)

    def control(
        self, action: str, document: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Perform a control action; return the status and document of the reply."""
        if action == "faults":
            unknown = behaviour.unknown_faults(document)
            if unknown:
                return 400, {"error": f"unknown faults {sorted(unknown)}"}
            self.set_faults(msgspec.convert(document, behaviour.Faults))
        elif action == "snapshots":
            self.set_snapshots(document["snapshots"])
        elif action == "options":
            self._options = dataclasses.replace(self._options, **document)
        elif action == "stop":
            self.stop()
        elif action == "restart":
            self.restart()
        elif action == "totals":
            return 200, dict(self._totals)
        elif action == "runs":
            return 200, dict(self._runs)
        else:
            return 404, {"error": "no such resource"}
        return 200, {}
