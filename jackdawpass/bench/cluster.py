"""Testbed of an experiment: stand-ins for platform and targets, and entry instances."""

import json
import pathlib
import tempfile
import time
import typing

from jackdawpass.bench import layout, processes
from jackdawpass.connection import blocking
from jackdawpass.version import parts

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.02
CHOSEN = "chosen"
NAIVE = "naive"
POLICIES = (CHOSEN, NAIVE)
# Policies other than POLICIES are the names of alternative routers.
ROUTED_ENTRY = "jackdawpass.bench.routed_entry"


class Cluster:
    """Testbed of one experiment, on loopback; the policies share the targets.

    Parameters
    ----------
    sizes : Layout
        Sizes of the experiment.
    seed : int
        Seeds the service times of the targets.
    policies : tuple of str
        Policies for which to start entry instances, one per availability zone.
    entry_arguments : tuple of str
        Additional command-line arguments of the entry instances.
    """

    def __init__(
        self,
        sizes: layout.Layout,
        seed: int,
        policies: tuple[str, ...] = POLICIES,
        entry_arguments: tuple[str, ...] = (),
    ) -> None:
        self._sizes = sizes
        self._entry_arguments = entry_arguments
        self._directory = tempfile.TemporaryDirectory(prefix="jackdawpass-bench-")
        self._servers: list[processes.Server] = []
        self._host_of: dict[str, processes.Server] = {}
        self._ports: dict[str, int] = {}
        self._entries: dict[str, list[processes.Server]] = {}
        self._version = 0
        self._started_entries = 0
        try:
            self._platform = self._start("stand-in", "platform")
            self._start_targets(seed)
            self.commit(sizes.base(self._ports), sizes.index())
            for policy in policies:
                self._entries[policy] = [
                    self.start_entry(policy, zone) for zone in sizes.zones
                ]
        except BaseException:
            self.close()
            raise

    @property
    def sizes(self) -> layout.Layout:
        """Sizes of the experiment."""
        return self._sizes

    @property
    def ports(self) -> dict[str, int]:
        """Port of each target."""
        return self._ports

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of the targets."""
        return tuple(self._ports)

    @property
    def hosts(self) -> list[processes.Server]:
        """Processes that host the targets."""
        return list(dict.fromkeys(self._host_of.values()))

    def entries(self, policy: str) -> list[processes.Server]:
        """Return the entry instances of a policy, one per zone."""
        return self._entries[policy]

    def close(self) -> None:
        """Kill all processes and remove the settings files."""
        for server in reversed(self._servers):
            server.stop()
        self._directory.cleanup()

    def start_entry(self, policy: str, zone: str) -> processes.Server:
        """Start an entry instance and wait until it is ready."""
        self._started_entries += 1
        name = f"{policy}-{zone}-{self._started_entries}"
        settings = {
            "instance": name,
            "zone": zone,
            "site": zone,
            "platform_url": self._platform.url,
        }
        path = pathlib.Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        flags = ("--settings", str(path), *self._entry_arguments)
        if policy in POLICIES:
            baseline = ("--baseline",) if policy == NAIVE else ()
            entry = self._start("entry", *flags, *baseline)
        else:
            entry = self._start("--router", policy, *flags, module=ROUTED_ENTRY)
        _wait_ready(entry)
        return entry

    def stop_entry(self, entry: processes.Server) -> None:
        """Stop an entry instance gracefully and wait until it has exited."""
        entry.terminate()
        entry.wait(STOP_TIMEOUT_SECONDS)

    def control(self, name: str, action: str, document: object = None) -> typing.Any:
        """Perform a control action on a target and return its reply."""
        url = f"{self._host_of[name].url}/{name}/{action}"
        reply = blocking.call("POST", url, document or {})
        if reply.status != 200:
            raise RuntimeError(f"{action} of {name} failed: {reply}")
        return reply.document[name]

    def control_all(
        self, action: str, document: object = None
    ) -> dict[str, typing.Any]:
        """Perform a control action on all targets and return their replies."""
        merged: dict[str, typing.Any] = {}
        for host in self.hosts:
            reply = blocking.call("POST", f"{host.url}/*/{action}", document or {})
            if reply.status != 200:
                raise RuntimeError(f"{action} failed: {reply}")
            merged.update(reply.document)
        return merged

    def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Replace the injected faults of a target."""
        self.control(name, "faults", faults)

    def list_leaving(self, *names: str) -> None:
        """Replace the platform's list of instances with these targets, all leaving."""
        instances = [
            {
                "id": name,
                "role": "target",
                "zone": self._sizes.zone_of[name],
                "address": f"127.0.0.1:{self._ports[name]}",
                "state": "leaving",
            }
            for name in names
        ]
        url = f"{self._platform.url}/control/instances"
        reply = blocking.call("POST", url, {"instances": instances})
        if reply.status != 200:
            raise RuntimeError(f"setting the list of instances failed: {reply}")

    def count_received(self) -> int:
        """Return the number of sub-requests that all targets have received so far."""
        totals = self.control_all("totals").values()
        return sum(each.get("received", 0) + each.get("lost", 0) for each in totals)

    def commit(
        self, base: dict[str, bytes] | None, index: dict[str, typing.Any]
    ) -> None:
        """Write a new configuration version directly into the platform stand-in."""
        changes = dict(self._sizes.base(self._ports) if base is None else base)
        changes[parts.INDEX_PREFIX + layout.SERVICE] = parts.encode(index)
        self._version += 1
        hashes_by_part = {
            name: parts.chunk_hashes(content) for name, content in changes.items()
        }
        for content in changes.values():
            key = parts.CHUNK_PREFIX + parts.chunk_hash(content)
            self._put(key, json.loads(content), True)
        head = parts.Head(self._version, f"bench-{self._version}", "", hashes_by_part)
        self._put(parts.HEAD_KEY, parts.head_document(head), self._version == 1)

    def _put(self, key: str, value: object, create: bool) -> None:
        url = f"{self._platform.url}/v1/objects/{key}"
        if create:
            condition = {"If-None-Match": "*"}
        else:
            stored = blocking.call("GET", url).document
            condition = {"If-Match": str(stored["version"])}
        status = blocking.call("PUT", url, value, condition).status
        # Chunks are addressed by their content, so 412 means that the same content is
        # already stored.
        if status not in (200, 201) and not (create and status == 412):
            raise RuntimeError(f"PUT {key} failed with status {status}")

    def _start(self, *arguments: str, module: str = "jackdawpass") -> processes.Server:
        server = processes.Server(arguments, module)
        self._servers.append(server)
        return server

    def _start_targets(self, seed: int) -> None:
        options = self._sizes.target_options(seed)
        for position in range(self._sizes.hosts):
            host_options = json.dumps(options[position :: self._sizes.hosts])
            host = self._start("stand-in", "targets", "--options", host_options)
            for name, port in host.ports["targets"].items():
                self._host_of[name] = host
                self._ports[name] = port


def _wait_ready(entry: processes.Server) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while blocking.call("GET", entry.url + "/readyz").status != 200:
        if time.monotonic() > deadline:
            raise TimeoutError(f"the entry instance at {entry.url} is not ready")
        time.sleep(POLL_SECONDS)
