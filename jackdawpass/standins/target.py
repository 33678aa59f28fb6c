"""Stand-in for a target that serves shards of a deterministic index."""

import collections
import collections.abc
import dataclasses
import random
import typing

import msgspec

from jackdawpass import clock
from jackdawpass.standins import behaviour, corpus, http_server, slots

ZONE_HEADER = "caller-zone"

TargetOptions = behaviour.TargetOptions


class TargetStandIn:
    """Stand-in that runs requests on slots and refuses them like a real target.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor of the process.
    options : TargetOptions
        Behaviour without injected faults.
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
            self._start_run,
            self._finish_run,
            self._expire_run,
        )
        self._connections: set[http_server.ServerConnection] = set()
        self._unused_connections: set[http_server.ServerConnection] = set()
        self._closing_connections = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._previous_reply: dict[str, typing.Any] | None = None
        self._frozen_health: dict[str, typing.Any] = {}
        self._frozen_load: dict[str, int] = {}
        self._listening: typing.Any = None
        self._port = options.port
        self._stopped = False
        self._remaining_cold_runs = options.cold_requests
        self._warm_at = 0.0

    @property
    def totals(self) -> collections.abc.Mapping[str, int]:
        """Counters of requests by outcome, and of connections."""
        return self._totals

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._options.name

    @property
    def port(self) -> int:
        """Port on which the target listens, or last listened."""
        return self._port

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        self._remaining_cold_runs = self._options.cold_requests
        self._warm_at = clock.monotonic() + self._options.cold_seconds
        self._listening = self._reactor.listenTCP(
            port or self._port, http_server.ServerFactory(self), interface=host
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
        """Listen on the same port again as a cold target; do nothing unless stopped."""
        if self._stopped:
            self.listen()

    def close_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    def set_faults(self, faults: behaviour.Faults) -> None:
        """Replace the injected faults."""
        if faults.freeze_health and not self._faults.freeze_health:
            self._frozen_health = self._health()
        if faults.freeze_load and not self._faults.freeze_load:
            self._frozen_load = self._load()
        self._faults = faults

    def set_snapshots(self, snapshots: dict[str, list[int]]) -> None:
        """Replace the snapshots that the target holds."""
        self._snapshots = snapshots

    def on_open(self, connection: http_server.ServerConnection) -> None:
        """Accept a connection, or reset it if it exceeds the limit."""
        self._connections.add(connection)
        self._unused_connections.add(connection)
        count = len(self._connections) + self._closing_connections
        self._totals["connections_max"] = max(self._totals["connections_max"], count)
        self._totals["connections_opened"] += 1
        if count > self._options.connections:
            self._totals["connections_refused"] += 1
            connection.reset()

    def on_closed(self, connection: http_server.ServerConnection) -> None:
        """Cancel the requests of a closed connection."""
        self._connections.discard(connection)
        self._unused_connections.discard(connection)
        if self._faults.slow_close_ms:
            self._closing_connections += 1
            self._reactor.callLater(
                self._faults.slow_close_ms / 1000, self._decrement_closing
            )
        self._cancel(lambda job: job.connection is connection)

    def _decrement_closing(self) -> None:
        self._closing_connections -= 1

    def handle(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        """Answer a request or perform a control action."""
        if request.path == "/v1/run":
            self._handle_run(connection, request)
        elif request.path == "/v1/cancel":
            self._cancel_by_id(request.document())
            connection.reply(200, {})
        elif request.path == "/v1/health":
            is_frozen = self._faults.freeze_health
            connection.reply(200, self._frozen_health if is_frozen else self._health())
        elif request.path == "/v1/load":
            is_frozen = self._faults.freeze_load
            connection.reply(200, self._frozen_load if is_frozen else self._load())
        else:
            self._handle_control(connection, request)

    def _handle_run(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        zone = request.headers.get(ZONE_HEADER, self._options.zone)
        if zone in self._faults.cut_zones:
            self._totals["lost"] += 1
            return
        run = msgspec.json.decode(request.body, type=slots.Run)
        job = slots.Job(connection, run, remote=zone != self._options.zone)
        delay_ms = self._options.zone_delay_ms if job.remote else 0.0
        if connection in self._unused_connections:
            self._unused_connections.discard(connection)
            delay_ms += self._options.connect_ms
        if delay_ms:
            self._reactor.callLater(delay_ms / 1000, self._admit, job)
        else:
            self._admit(job)

    def _admit(self, job: slots.Job) -> None:
        if not job.connection.is_open:
            return
        self._totals["received"] += 1
        refusal_kind = self._refusal_kind(job.run)
        if refusal_kind is None and not self._slots.try_add(job):
            refusal_kind = "shed"
        if refusal_kind is not None:
            self._totals["refused"] += 1
            self._send_refusal(job, refusal_kind)

    def _refusal_kind(self, run: slots.Run) -> str | None:
        if self._faults.draining:
            return "draining"
        if self._faults.cold:
            return "cold"
        if self._faults.shed:
            return "shed"
        held_shards = self._snapshots.get(run.snapshot)
        if held_shards is None:
            return "snapshot_not_held"
        if not set(run.shards) <= set(held_shards):
            return "shard_moved"
        return None

    def _send_refusal(self, job: slots.Job, kind: str) -> None:
        document = {
            "request_id": job.run.request_id,
            "attempt_id": job.run.attempt_id,
            "kind": kind,
            "ran": job.started,
            "held": sorted(self._snapshots),
            "retry_after_ms": 100,
        }
        self._send(job, 503, document)

    def _start_run(self, job: slots.Job) -> float:
        self._runs[job.run.request_id] += 1
        self._totals["run"] += 1
        milliseconds = self._options.service_ms * self._random.lognormvariate(
            0, self._options.spread
        )
        milliseconds = milliseconds * self._faults.slow_factor + self._faults.delay_ms
        if self._is_cold():
            milliseconds *= self._options.cold_factor
        self._remaining_cold_runs -= 1
        if self._straggles(job.run):
            milliseconds += self._faults.straggle_ms
        return milliseconds / 1000

    def _is_cold(self) -> bool:
        return self._remaining_cold_runs > 0 or clock.monotonic() < self._warm_at

    def _straggles(self, run: slots.Run) -> bool:
        by_chance = self._random.random() < self._faults.straggle_share
        return by_chance or self._faults.straggle_shard in run.shards

    def _finish_run(self, job: slots.Job) -> None:
        if self._faults.reset:
            job.connection.reset()
        elif not self._faults.stall:
            self._send_results(job)

    def _expire_run(self, job: slots.Job) -> None:
        self._totals["expired"] += 1
        self._send_refusal(job, "failed")

    def _send_results(self, job: slots.Job) -> None:
        document = {
            "request_id": job.run.request_id,
            "attempt_id": job.run.attempt_id,
            "snapshot": self._faults.snapshot or job.run.snapshot,
            "shards": {
                str(shard): self._shard_results(job.run, shard)
                for shard in job.run.shards
            },
        }
        self._previous_reply, previous = document, self._previous_reply
        if self._faults.cross and previous is not None:
            document = previous
        for _ in range(2 if self._faults.repeat else 1):
            self._send(job, 200, document)

    def _send(self, job: slots.Job, status: int, document: object) -> None:
        delay_ms = self._options.zone_delay_ms if job.remote else 0.0
        delay_ms += self._faults.late_ms if status == 200 else 0.0
        if delay_ms:
            seconds = delay_ms / 1000
            self._reactor.callLater(seconds, job.connection.reply, status, document)
        else:
            job.connection.reply(status, document)

    def _shard_results(self, run: slots.Run, shard: int) -> list[dict[str, typing.Any]]:
        results = corpus.shard_results(run.service, run.snapshot, shard, run.query)
        if len(results) > run.limit:
            results.sort(key=lambda item: (-item["score"], item["id"]))
            del results[run.limit :]
        return results * 2 if self._faults.repeat_results else results

    def _cancel_by_id(self, document: dict[str, typing.Any]) -> None:
        ids = (document.get("request_id"), document.get("attempt_id"))
        self._cancel(lambda job: (job.run.request_id, job.run.attempt_id) == ids)

    def _cancel(self, predicate: collections.abc.Callable[[slots.Job], bool]) -> None:
        self._totals["cancelled"] += self._slots.cancel(predicate)

    def _load(self) -> dict[str, int]:
        reported = self._faults.false_in_flight
        in_flight = self._slots.in_flight if reported is None else reported
        return {"in_flight": in_flight, "slots": self._options.slots}

    def _health(self) -> dict[str, typing.Any]:
        state = "ready"
        if self._faults.draining:
            state = "draining"
        elif self._faults.cold or self._is_cold():
            state = "cold"
        state = self._faults.false_health or state
        return {"state": state, "snapshots": sorted(self._snapshots)}

    def _handle_control(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        status, document = self.perform_action(
            request.path.removeprefix("/control/"), request.document()
        )
        connection.reply(status, document)

    def perform_action(
        self, action: str, document: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Perform a control action; return the status and document of the reply."""
        if action == "faults":
            unknown = behaviour.unknown_fault_names(document)
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
