"""Entry instances as processes on loopback, used by measurements and tests."""

import collections.abc
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

from jackdawpass.bench import ports, relay
from jackdawpass.connection import blocking
from jackdawpass.version import parts

ZONES = ("a", "b", "c")
POLL_SECONDS = 0.05

_CALLER_HOST = "127.0.0.1"
# Instances of a zone connect from the loopback address of that zone, from which the
# relay derives the zone of a link.
_ZONE_HOSTS = {"a": "127.1.0.1", "b": "127.2.0.1", "c": "127.3.0.1"}


def wait_for(
    condition: collections.abc.Callable[[], bool], what: str, timeout: float
) -> None:
    """Poll until a condition is true; raise TimeoutError after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {what}")
        time.sleep(POLL_SECONDS)


@dataclasses.dataclass(slots=True)
class Instance:
    """An entry instance and its process."""

    name: str
    zone: str
    process: subprocess.Popen[str]
    url: str = ""
    address: str = ""
    stopped: bool = False

    @property
    def status(self) -> dict[str, typing.Any]:
        """Current reply of ``/v1/control``."""
        reply = blocking.call("GET", f"{self.url}/v1/control")
        document: dict[str, typing.Any] = reply.document
        return document


class Cluster:
    """Instances in three availability zones, connected through a relay.

    Parameters
    ----------
    platform_url : str
        URL of the platform stand-in.
    directory : Path
        Directory for the settings files.
    """

    def __init__(self, platform_url: str, directory: pathlib.Path) -> None:
        self._platform_url = platform_url
        self._directory = directory
        self._relay = relay.Relay()
        self._platform_ports: dict[str, int] = {}
        self._instances: dict[str, Instance] = {}
        self._version = 0

    @property
    def instances(self) -> dict[str, Instance]:
        """Started instances by name, in the order of their start."""
        return self._instances

    @property
    def version(self) -> int:
        """Last committed version."""
        return self._version

    def start(self, count: int) -> None:
        """Start the instances `e0`, `e1` and so on, and list them in the platform."""
        names = [f"e{number}" for number in range(count)]
        for number, name in enumerate(names):
            self._start_process(name, ZONES[number % len(ZONES)], ())
        for name in names:
            self._read_ports(name)
        self.publish_list()

    def replace(self, name: str, seeds: collections.abc.Iterable[str]) -> Instance:
        """Start a new instance of the same name, without the state of the old one."""
        zone = self._instances[name].zone
        self._start_process(name, zone, tuple(seeds))
        self._read_ports(name)
        return self._instances[name]

    def publish_list(
        self, targets: collections.abc.Iterable[dict[str, str]] = ()
    ) -> None:
        """Set the platform's list of instances to all started ones and `targets`."""
        listed = [
            {
                "id": each.name,
                "role": "entry",
                "zone": each.zone,
                "address": each.address,
                "state": "live",
            }
            for each in self._instances.values()
        ]
        document = {"instances": [*listed, *targets]}
        blocking.call("POST", f"{self._platform_url}/control/instances", document)

    def set_faults(self, **faults: typing.Any) -> None:
        """Replace the injected faults of the platform stand-in."""
        blocking.call("POST", f"{self._platform_url}/control/faults", faults)

    def cut_zone(self, zone: str) -> None:
        """Partition a zone from the other zones and from the platform."""
        others = [each for each in ZONES if each != zone]
        cut = [(zone, other) for other in others]
        self._relay.set_cut([*cut, (_CALLER_HOST, _platform_tag(zone))])

    def heal(self) -> None:
        """End all partitions."""
        self._relay.set_cut(())

    def set_delay(self, seconds: float) -> None:
        """Delay the links and platform calls of all instances."""
        self._relay.set_delay(seconds)

    def commit(self, changes: collections.abc.Mapping[str, bytes]) -> None:
        """Commit changed parts directly into the platform stand-in."""
        url = f"{self._platform_url}/v1/objects"
        stored = blocking.call("GET", f"{url}/head")
        exists = stored.status == 200
        hashes_by_part = dict(stored.document["value"]["parts"]) if exists else {}
        for name, content in changes.items():
            hashes_by_part[name] = parts.chunk_hashes(content)
            for chunk in parts.split_content(content):
                address = f"{url}/{parts.CHUNK_PREFIX}{parts.chunk_hash(chunk)}"
                blocking.call("PUT", address, json.loads(chunk), {"If-None-Match": "*"})
        self._version += 1
        head = parts.Head(self._version, f"cluster-{self._version}", "", hashes_by_part)
        headers = {"If-None-Match": "*"}
        if exists:
            headers = {"If-Match": str(stored.document["version"])}
        document = parts.head_document(head)
        written = blocking.call("PUT", f"{url}/head", document, headers)
        if written.status not in (200, 201):
            raise RuntimeError(f"commit of version {self._version} failed: {written}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        instance = self._instances[name]
        instance.process.send_signal(number)
        instance.stopped = number == signal.SIGSTOP

    def kill(self, name: str) -> None:
        """Kill an instance; it stays in the platform's list."""
        process = self._instances[name].process
        process.kill()
        process.wait()

    def running(self) -> list[Instance]:
        """Return the instances that have neither exited nor been suspended."""
        return [
            each
            for each in self._instances.values()
            if each.process.poll() is None and not each.stopped
        ]

    def wait_in_force(
        self,
        timeout: float,
        instances: collections.abc.Iterable[Instance] | None = None,
    ) -> None:
        """Wait until the last committed version is in force at all given instances."""
        waiting = list(self.running() if instances is None else instances)

        def in_force_everywhere() -> bool:
            while waiting and waiting[0].status["in_force"] >= self._version:
                waiting.pop(0)
            return not waiting

        wait_for(in_force_everywhere, f"version {self._version} is in force", timeout)

    def readers(self, zone: str) -> list[str]:
        """Return the instances of a zone that consider themselves readers."""
        return [
            each.name
            for each in self.running()
            if each.zone == zone and each.status["is_reader"]
        ]

    def close(self) -> None:
        """Kill all instances."""
        for instance in self._instances.values():
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        self._relay.close()

    def _start_process(self, name: str, zone: str, seeds: tuple[str, ...]) -> None:
        host = _ZONE_HOSTS[zone]
        self._relay.tag_source(host, zone)
        port = ports.reserve(host)
        relayed = self._relay.add(host, port, zone)
        document = {
            "instance": name,
            "zone": zone,
            "site": "site-1",
            "platform_url": f"http://127.0.0.1:{self._platform_port(zone)}",
            "peer_host": host,
            "peer_port": port,
            "peer_address": f"127.0.0.1:{relayed}",
            "seeds": list(seeds),
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        command = [sys.executable, "-m", "jackdawpass", "entry", "--settings"]
        process = subprocess.Popen(
            [*command, str(path)], stdout=subprocess.PIPE, text=True
        )
        address = f"127.0.0.1:{relayed}"
        self._instances[name] = Instance(name, zone, process, address=address)

    def _read_ports(self, name: str) -> None:
        instance = self._instances[name]
        assert instance.process.stdout is not None
        line = instance.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} exited with code {instance.process.wait()}")
        # The instance also logs to this pipe and would block if the pipe were full.
        drain = threading.Thread(target=instance.process.stdout.read, daemon=True)
        drain.start()
        instance.url = f"http://127.0.0.1:{json.loads(line)['port']}"

    def _platform_port(self, zone: str) -> int:
        if zone not in self._platform_ports:
            port = int(self._platform_url.rpartition(":")[2])
            tag = _platform_tag(zone)
            self._platform_ports[zone] = self._relay.add(_CALLER_HOST, port, tag)
        return self._platform_ports[zone]


def _platform_tag(zone: str) -> str:
    return f"platform for {zone}"
