"""The processes of a soak run: a store, targets and fronts, with proxied links."""

import json
import pathlib
import signal
import subprocess
import sys
import typing

from jackdawpass.bench import ports, processes
from jackdawpass.connection import blocking
from jackdawpass.process.serving import instance_registry
from soak import proxy

HOST = "soak.example"
GROUPS = ("s0", "s1", "s2")
RECORDS_PER_GROUP = 4
TOP_K = 6
MIN_COVERAGE = 0.6
SETTINGS_TEMPLATE = """
node = "{name}"
zone = "{zone}"
ip = "127.0.0.1"
internal_port_range = [{peers},{peers}]
[listen]
front = "127.0.0.1:{front}"
readiness_address = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.5
cores = 1
link_mbps = 100.0
memory_mb = 256
[bounds]
grace_s = 6
drain_ms = {drain_ms}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 129
[platform]
address = "127.0.0.1:{store}"
"""
# Time for which a target that leaves still serves requests.
DRAIN_MS = 3000


class Front:
    """One front process, which can be restarted."""

    def __init__(self, settings: pathlib.Path, port: int, ready: int) -> None:
        self._settings = settings
        self.port = port
        self.ready_port = ready
        self.incarnation = 0
        self._log = settings.with_suffix(".log")
        self._process = self._start()

    def restart(self) -> None:
        """Kill the process if it runs and start a new one."""
        self.stop()
        self.incarnation += 1
        self._process = self._start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process.poll() is not None

    def stop(self) -> None:
        """Kill the process."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "jackdawpass",
                    "front",
                    "--settings",
                    str(self._settings),
                ],
                stdout=log,
            )


class Testbed:
    """All processes of a run.

    With aggregators, all fronts are in zone a, which is large enough for aggregators.
    """

    def __init__(
        self, directory: pathlib.Path, fronts: int, with_aggregators: bool
    ) -> None:
        self.proxies = proxy.Proxies()
        self.store = processes.Server(["stand-in", "store"])
        self.targets: dict[str, processes.Server] = {}
        self.target_links: dict[str, proxy.Link] = {}
        self.store_links: dict[str, proxy.Link] = {}
        self.fronts: dict[str, Front] = {}
        self.version = 0
        self._entries: dict[str, dict[str, typing.Any]] = {}
        for group in GROUPS:
            for zone in ("a", "b"):
                self._add_target(f"{group}-{zone}", group, zone)
        self.publish_next_version()
        if with_aggregators:
            self._add_absent_instances()
        for number in range(fronts):
            # Zone c has no targets; its fronts ask those of other zones for all shards.
            zone = "a" if with_aggregators else "abc"[number % 3]
            self._add_front(directory, f"front-{number}", zone)

    def publish_next_version(self) -> None:
        """Publish the next configuration version, which adds a route named after it."""
        self.version += 1
        version_routes = [
            _route(f"v{number}", service="s0") for number in range(1, self.version + 1)
        ]
        routes = [
            _route(
                "search",
                fanout=list(GROUPS),
                top_k=TOP_K,
                min_shard_ratio=MIN_COVERAGE,
            ),
            _route("lookup", service="s1"),
            _route("reserve", service="s2", type="non_idempotent"),
            *version_routes,
        ]
        services = [{"name": name, "max_connections": 60} for name in GROUPS]
        content = {"version": self.version, "routes": routes, "services": services}
        self._put("config", "main", content)

    def write_target_entry(self, name: str, **changes: typing.Any) -> None:
        """Update a target's entry in the store."""
        self._entries[name] |= changes
        self._put("servers", name, self._entries[name])

    def set_faults(self, process: processes.Server, **faults: typing.Any) -> None:
        """Set the faults of the store or a target; faults not named here end."""
        blocking.call("POST", f"{process.url}/control/faults", faults)

    def forget_history(self) -> None:
        """Make the store drop its history and end its watches."""
        blocking.call("POST", f"{self.store.url}/control/forget", {})

    def runs(self) -> dict[str, list[dict[str, typing.Any]]]:
        """Return the requests that each target ran."""
        return {
            name: blocking.call("GET", f"{target.url}/control/runs").document["runs"]
            for name, target in self.targets.items()
        }

    def close(self) -> None:
        """Kill all processes."""
        for front in self.fronts.values():
            front.stop()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        self.proxies.close()

    def _add_target(self, name: str, group: str, zone: str) -> None:
        options = json.dumps(
            {"name": name, "group": group, "records": RECORDS_PER_GROUP, "work_ms": 5}
        )
        target = processes.Server(["stand-in", "listed-target", "--options", options])
        self.targets[name] = target
        self.target_links[name] = self.proxies.add(target.port)
        self._entries[name] = {
            "service": group,
            "address": f"127.0.0.1:{self.target_links[name].port}",
            "zone": zone,
            "slots": 2,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.write_target_entry(name)

    def _add_front(self, directory: pathlib.Path, name: str, zone: str) -> None:
        link = self.store_links[name] = self.proxies.add(self.store.port)
        port, ready = ports.reserve(), ports.reserve()
        path = directory / f"{name}.toml"
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                zone=zone,
                front=port,
                ready=ready,
                peers=ports.reserve(),
                store=link.port,
                drain_ms=DRAIN_MS,
            )
        )
        self.fronts[name] = Front(path, port, ready)

    def _add_absent_instances(self) -> None:
        """Register instances that do not run, so that zone a gets aggregators."""
        for number in range(16):
            absent = {"zone": "a", "host": "127.0.0.1", "port": 9, "capacity": 0.01}
            self._put(instance_registry.KIND, f"absent-{number}", absent)

    def _put(self, kind: str, name: str, content: object) -> None:
        url = f"{self.store.url}/objects/{kind}/{name}"
        body = {"meta": {"name": name}, "spec": content}
        answer = blocking.call("PUT", url, body, {"X-Operator": "1"})
        if answer.status != 200:
            raise RuntimeError(f"PUT {kind}/{name}: {answer}")


def _route(name: str, **changes: typing.Any) -> dict[str, typing.Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "max_attempts": 2,
    } | changes
