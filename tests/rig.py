"""Test rig that runs the product and its stand-ins as processes on loopback."""

import collections.abc
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

from jackdawpass.bench import fleet
from jackdawpass.connection import blocking
from jackdawpass.version import parts

START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.02


HttpAnswer = blocking.HttpReply
call = blocking.call
call_raw = blocking.call_raw


def wait_for(
    condition: collections.abc.Callable[[], bool],
    description: str,
    timeout: float = START_TIMEOUT_SECONDS,
) -> None:
    """Poll until a condition holds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {description}")
        time.sleep(POLL_SECONDS)


class PlainProcess:
    """A process that does not print its port.

    Attributes
    ----------
    lines : list of str
        Its standard output, complete after `stop`.
    """

    def __init__(self, arguments: collections.abc.Sequence[str]) -> None:
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "jackdawpass", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.lines: list[str] = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._before_reading()
        self._reader.start()

    def _before_reading(self) -> None:
        """Do nothing: the reader thread collects all output."""

    def _read(self) -> None:
        assert self._popen.stdout is not None
        for line in self._popen.stdout:
            self.lines.append(line)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._popen.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def wait(self, timeout: float = 20.0) -> int:
        """Wait until the process exits and return its exit code."""
        return self._popen.wait(timeout)

    def stop(self) -> None:
        """Kill the process if it runs."""
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()
        self._reader.join()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class Process(PlainProcess):
    """A process that prints its port as JSON on its first line.

    Attributes
    ----------
    url : str
        Base URL of its server.
    lines : list of str
        Its standard output after the first line, complete after `stop`.
    """

    def _before_reading(self) -> None:
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f"{self._popen.args!r} ended with {self._popen.wait()}")
        self.first_line: dict[str, typing.Any] = json.loads(line)
        self.port = int(self.first_line["port"])
        self.url = f"http://127.0.0.1:{self.port}"


class Rig:
    """A platform stand-in, its targets and entry instances."""

    def __init__(self) -> None:
        self._processes: list[PlainProcess] = []
        self._clusters: list[fleet.Cluster] = []
        self.platform = self.start("stand-in", "platform")
        self.targets: dict[str, Process] = {}

    def start(self, *arguments: str) -> Process:
        """Start a process that prints its port as JSON on its first line."""
        process = Process(arguments)
        self._processes.append(process)
        return process

    def start_plain(self, *arguments: str) -> PlainProcess:
        """Start a process that does not print its port."""
        process = PlainProcess(arguments)
        self._processes.append(process)
        return process

    def close(self) -> None:
        """Kill all processes."""
        for each in self._clusters:
            each.close()
        for process in reversed(self._processes):
            process.stop()

    def add_cluster(self, directory: pathlib.Path, count: int) -> fleet.Cluster:
        """Start linked instances in three zones; a relay carries their links."""
        started = fleet.Cluster(self.platform.url, directory)
        self._clusters.append(started)
        started.start(count)
        return started

    def add_target(self, name: str, **options: typing.Any) -> Process:
        """Start a target stand-in."""
        text = json.dumps({"name": name, **options})
        self.targets[name] = self.start("stand-in", "target", "--options", text)
        return self.targets[name]

    def target_settings(self, zone_of: dict[str, str]) -> dict[str, typing.Any]:
        """Return the `targets` settings of running target stand-ins."""
        return {
            name: {"host": "127.0.0.1", "port": self.targets[name].port, "zone": zone}
            for name, zone in zone_of.items()
        }

    def add_entry(self, tmp_path: typing.Any, **settings: typing.Any) -> Process:
        """Start an entry instance and wait until it is ready."""
        entry = self.start_entry(tmp_path, **settings)
        self.wait_ready(entry)
        return entry

    def start_entry(self, tmp_path: typing.Any, **settings: typing.Any) -> Process:
        """Start an entry instance without waiting for its configuration."""
        document = {
            "instance": "entry-1",
            "zone": "a",
            "site": "site-1",
            "platform_url": self.platform.url,
            **settings,
        }
        path = tmp_path / f"{document['instance']}.json"
        path.write_text(json.dumps(document))
        return self.start("entry", "--settings", str(path))

    def wait_ready(self, entry: Process) -> None:
        """Wait until an entry instance is ready."""
        wait_for(
            lambda: call("GET", entry.url + "/readyz").status == 200,
            "the entry instance is ready",
        )

    def commit(self, changes: dict[str, bytes], version: int = 1) -> None:
        """Write parts and a head directly to the platform stand-in."""
        named = {}
        for name, content in changes.items():
            named[name] = parts.chunk_hashes(content)
            for chunk in parts.split_content(content):
                key = parts.CHUNK_PREFIX + parts.chunk_hash(chunk)
                self._put(key, json.loads(chunk), create=True)
        head = parts.Head(version, f"rig-{version}", "", named)
        self._put("head", parts.head_document(head), create=version == 1)

    def _put(self, key: str, value: object, create: bool) -> None:
        url = f"{self.platform.url}/v1/objects/{key}"
        if create:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": str(call("GET", url).document["version"])}
        answer = call("PUT", url, value, headers)
        if answer.status not in (200, 201, 412):
            raise RuntimeError(f"PUT {key}: {answer}")

    def faults(self, process: Process, **faults: typing.Any) -> None:
        """Set the faults of a stand-in; faults not named here end."""
        self.hosted_faults(process, "control", faults)

    def hosted_faults(
        self, process: Process, name: str, faults: dict[str, typing.Any]
    ) -> None:
        """Set the faults of one of the targets that a process hosts."""
        answer = call("POST", f"{process.url}/{name}/faults", faults)
        if answer.status != 200:
            raise RuntimeError(f"faults {faults}: {answer}")

    def totals(self, target: str) -> dict[str, int]:
        """Return the request counters of a target stand-in."""
        url = self.targets[target].url + "/control/totals"
        totals: dict[str, int] = call("GET", url).document
        return totals


def service_parts(
    service: str,
    targets: dict[str, typing.Any],
    placement: dict[str, list[int]],
    shards: int,
    snapshot: str = "s1",
    policy: dict[str, typing.Any] | None = None,
) -> dict[str, bytes]:
    """Return the parts that declare one service with a published snapshot."""
    base = {"services": {service: {"targets": targets, "policy": policy or {}}}}
    index = {"snapshot": snapshot, "shards": shards, "placement": placement}
    changes = parts.split_base(base)
    changes[parts.INDEX_PREFIX + service] = parts.encode(index)
    return changes
