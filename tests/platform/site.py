"""Real front processes with stand-ins for the platform's store and targets."""

import collections.abc
import dataclasses
import http.client
import json
import os
import pathlib
import typing

from jackdawpass.bench import ports
from soak import testbed
from tests import rig

HOST = "shop.example"
# Memory that the settings allow a front.
MEMORY_BYTES = 256 * 1024 * 1024
# Short, so that tests see requests after it.
DRAIN_MS = 500


@dataclasses.dataclass(frozen=True)
class Reply:
    """HTTP response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def signatures(self) -> list[str]:
        return self.headers.get("x-part-stamps", "").replace(" ", "").split(",")


class Front:
    """A front process and its ports."""

    def __init__(self, port: int, ready: int, process: rig.PlainProcess) -> None:
        self.port = port
        self.ready_port = ready
        self.process = process

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def ready(self) -> bool:
        try:
            return self.request("/ready", port=self.ready_port).status == 200
        except OSError:
            return False

    def request(
        self,
        path: str,
        request_id: str = "r1",
        timeout_ms: int = 2000,
        method: str = "GET",
        body: bytes | None = None,
        port: int | None = None,
    ) -> Reply:
        """Send a request on a new connection."""
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port)
        fields = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline": str(timeout_ms),
        }
        try:
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            headers = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, headers, response.read())
        finally:
            connection.close()


class Site:
    """A store, targets and fronts as real processes, and the objects of the store."""

    def __init__(self, processes: rig.Rig, directory: pathlib.Path) -> None:
        self._processes = processes
        self._directory = directory
        self.store = processes.start("stand-in", "store")
        self.targets: dict[str, rig.Process] = {}
        self._entries: dict[str, dict[str, typing.Any]] = {}

    def add_target(
        self, name: str, group: str, zone: str = "a", **behaviour: typing.Any
    ) -> None:
        """Start a target and write its entry."""
        options = json.dumps({"name": name, "group": group} | behaviour)
        target = self._processes.start(
            "stand-in", "listed-target", "--options", options
        )
        self.targets[name] = target
        self._entries[name] = {
            "service": group,
            "address": f"127.0.0.1:{target.port}",
            "zone": zone,
            "slots": 2,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.list_target(name)

    def list_target(self, name: str, **changes: typing.Any) -> None:
        """Write a target's entry."""
        self._entries[name] |= changes
        self.put("servers", name, self._entries[name])

    def configure(
        self,
        version: int,
        routes: collections.abc.Iterable[dict[str, typing.Any]],
        limits: dict[str, int] | None = None,
    ) -> None:
        """Write a configuration; `limits` replaces the default ones for callers."""
        groups = {entry["service"] for entry in self._entries.values()}
        services = [{"name": name, "max_connections": 40} for name in sorted(groups)]
        content = {"version": version, "routes": list(routes), "services": services}
        if limits is not None:
            content["limits"] = limits
        self.put("config", "main", content)

    def put(self, kind: str, name: str, content: object) -> None:
        """Write an object."""
        url = f"{self.store.url}/objects/{kind}/{name}"
        body = {"meta": {"name": name}, "spec": content}
        answer = rig.call("PUT", url, body, {"X-Operator": "1"})
        assert answer.status == 200

    def put_bytes(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose content may be malformed."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store.port)
        try:
            connection.request("POST", f"/control/spec/{kind}/{name}", spec)
            assert connection.getresponse().status == 200
        finally:
            connection.close()

    def inject_faults(self, process: rig.Process, **faults: typing.Any) -> None:
        """Inject faults into the store or a target; other faults are removed."""
        assert rig.call("POST", f"{process.url}/control/faults", faults).status == 200

    def runs(self, name: str) -> list[dict[str, str]]:
        """Return the requests that a target ran."""
        answer = rig.call("GET", f"{self.targets[name].url}/control/runs")
        runs: list[dict[str, str]] = answer.document["runs"]
        return runs

    def refusals(self, name: str) -> list[float]:
        """Return the monotonic times of the requests that a target refused."""
        answer = rig.call("GET", f"{self.targets[name].url}/control/runs")
        refused_at: list[float] = answer.document["refused_at"]
        return refused_at

    def start_front(
        self, name: str = "front-1", zone: str = "a", store_port: int | None = None
    ) -> Front:
        """Start a front without waiting until it is ready.

        `store_port` is the port of a proxy of the store; None connects directly.
        """
        front, ready = ports.reserve(), ports.reserve()
        path = self._directory / f"{name}.toml"
        path.write_text(
            testbed.SETTINGS_TEMPLATE.format(
                name=name,
                zone=zone,
                front=front,
                ready=ready,
                peers=ports.reserve(),
                store=store_port or self.store.port,
                drain_ms=DRAIN_MS,
            )
        )
        process = self._processes.start_plain("front", "--settings", str(path))
        return Front(front, ready, process)

    def add_front(self, name: str = "front-1", zone: str = "a") -> Front:
        """Start a front and wait until it is ready."""
        started = self.start_front(name, zone)
        rig.wait_for(started.ready, "the front is ready")
        return started


def route(name: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route of a configuration, which is idempotent by default."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
    } | changes
