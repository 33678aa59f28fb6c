"""Stand-ins for the platform, its servers and its clients, as the review uses them.

The stand-ins follow the platform's pages and need only the standard library. The
product's own programs run as separate processes, started as the deploy file says.
"""

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
PAGE_OBJECTS = 500
PORTS = range(20_000, 32_000)
SETTINGS = """\
node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_port_range = [{peers},{last}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
[listen]
front = "{ip}:{front}"
readiness_address = "{ip}:{ready}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 222
max_fds = 1535
link_mbps = 350.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 129
recovery_s = 12
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""

_taken_ports: set[int] = set()


# What differs in the settings of corrib-search-grown, for its smaller machines.
GROWN = {
    "cpu_share = 0.731": "cpu_share = 0.361",
    "memory_mb = 222": "memory_mb = 152",
    "link_mbps = 350.0": "link_mbps = 10.5",
    "stable_window_ms = 4000": "stable_window_ms = 5000",
    "ack_ms = 5000": "ack_ms = 8000",
    "sync_s = 4": "sync_s = 6",
    "drain_ms = 3000": "drain_ms = 5000",
    "config_apply_ms = 3000": "config_apply_ms = 5000",
    "max_stretch_ms = 12000": "max_stretch_ms = 15000",
    "retry_budget_slack = 129": "retry_budget_slack = 262",
    "recovery_s = 12": "recovery_s = 15",
    "writes_per_s = 400": "writes_per_s = 1200",
    "reads_per_s = 2000": "reads_per_s = 6000",
}


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a free port below the ephemeral range, another one at each call."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            _taken_ports.add(port)
            return port


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class HttpMessage(typing.NamedTuple):
    """A request or an answer: first line, headers in lower case, body."""

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a head; None if the peer closed before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return HttpMessage(lines[0].split(" ", 2), headers, b"")


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a whole message with a Content-Length; None if it is not whole."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        length = int(head.headers.get("content-length", "0"))
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head._replace(body=body)


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message with a Content-Length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: list with pages, watch, create, replace, remove.

    Parameters
    ----------
    latency : float
        Seconds that an answer takes.
    """

    def __init__(self, latency: float = 0.004) -> None:
        self.latency = latency
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.events: list[tuple[int, str, dict[str, typing.Any]]] = []
        self.refused_ports: set[int] = set()
        self.lists: list[tuple[str, str, int]] = []
        self.on_list: collections.abc.Callable[[str, str, int], None] | None = None
        self._changed = asyncio.Event()
        self._writers: dict[asyncio.StreamWriter, int] = {}
        self._watching: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        """Listen on a further port and return it."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        return port

    def refuse(self, port: int) -> None:
        """Turn the machines away that use a port: 503, and their watches are cut."""
        self.refused_ports.add(port)
        for writer, own in list(self._writers.items()):
            if own == port and writer in self._watching:
                writer.transport.abort()

    def serve_again(self, port: int) -> None:
        """End `refuse`."""
        self.refused_ports.discard(port)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object; the return is the store's acknowledgement."""
        kept = self.objects.setdefault(kind, {})
        if name in kept and kept[name]["spec"] == spec:
            return
        self.revision += 1
        kept[name] = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        self._add_event(kind, kept[name], False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self._add_event(kind, removed, True)

    def _add_event(self, kind: str, stored: dict[str, typing.Any], gone: bool) -> None:
        event = {"object": json.loads(json.dumps(stored)), "deleted": gone}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("sockname")[1]
        self._writers[writer] = port
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(self.latency)
                status, document = 503, None
                if port not in self.refused_ports:
                    if "watch=" in request.first[1]:
                        self._watching.add(writer)
                    status, document = await self._answer(request, port)
                    self._watching.discard(writer)
                body = b"{}" if document is None else json.dumps(document).encode()
                head = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} Status", head, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.pop(writer, None)
            self._watching.discard(writer)
            writer.close()

    async def _answer(self, request: HttpMessage, port: int) -> tuple[int, typing.Any]:
        method, target = request.first[0], request.first[1]
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        kind, _, name = parsed.path.removeprefix("/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if method == "POST":
            document = json.loads(request.body)
            name = document["meta"]["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self.put(kind, name, document.get("spec"))
            return 201, self.objects[kind][name]
        if method != "GET":
            return 400, None
        if name:
            found = self.objects.get(kind, {}).get(name)
            return (404, None) if found is None else (200, found)
        if "watch" in query:
            return 200, await self._watch(kind, query)
        after = query.get("after", "")
        kept = self.objects.get(kind, {})
        names = sorted(each for each in kept if each > after)
        page = {
            "items": [kept[each] for each in names[:PAGE_OBJECTS]],
            "more": len(names) > PAGE_OBJECTS,
            "at": self.revision,
        }
        # What is answered is the state now, not that at the time of writing it out.
        page = json.loads(json.dumps(page))
        if self.on_list is not None:
            self.on_list(kind, after, port)
        return 200, page

    async def _watch(self, kind: str, query: dict[str, str]) -> typing.Any:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [e for at, k, e in self.events if k == kind and at > since]
            left = until - time.monotonic()
            if found or left <= 0:
                return {"events": found, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def server_entry(service: str, port: int, **changes: typing.Any) -> dict[str, object]:
    """Return a server's entry in the store."""
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "1",
        "slots": 2,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_780_000_000_000,
    } | changes


def configuration(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: list[str],
    max_connections: int = 58,
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_connections": max_connections, "health_path": "/health"}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(name: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route, idempotent by default."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
    } | changes


class Front:
    """One process of the product, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        store_port: int,
        folder: pathlib.Path,
        changes: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        template = SETTINGS
        for before, after in (changes or {}).items():
            template = template.replace(before, after)
        self.ip = "127.0.0.1"
        self.log = folder / f"{name}.log"
        self._template = template
        self._store_port = store_port
        self._settings = folder / f"{name}.toml"
        self._choose_ports()
        self.process: asyncio.subprocess.Process | None = None

    def _choose_ports(self) -> None:
        self.port, self.ready_port = free_port(), free_port()
        peers = free_port()
        self._settings.write_text(
            self._template.format(
                name=self.name,
                ip=self.ip,
                zone="a",
                peers=peers,
                last=peers,
                front=self.port,
                ready=self.ready_port,
                store=f"127.0.0.1:{self._store_port}",
            )
        )

    async def start(self) -> None:
        """Start the process."""
        deps = ROOT / "target" / "deps"
        if not deps.is_dir():
            raise CannotRun("the build of the deploy file has not run")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(deps)
        environment["JACKDAWPASS_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "jackdawpass",
                "front",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def ready(self) -> bool:
        """Ask the readiness address once, as the balancer does."""
        try:
            answer = await call(self.ip, self.ready_port, "GET", "/ready", {}, b"", 1.0)
        except OSError:
            return False
        return answer is not None and answer.first[1] == "200"

    async def wait_ready(self, timeout: float = 30.0) -> None:
        """Wait until the process is ready."""
        until = time.monotonic() + timeout
        while not await self.ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} did not become ready")
            if self.process is not None and self.process.returncode is not None:
                # Another process has taken one of its ports meanwhile.
                self._choose_ports()
                await self.start()
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Kill the process if it runs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float,
) -> HttpMessage | None:
    """Send a request on a new connection; None if the answer is not whole."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                first = f"{method} {path} HTTP/1.1"
                writer.write(encode(first, {"Host": HOST, **headers}, body))
                return await read_message(reader)
            finally:
                writer.close()
    except (TimeoutError, ConnectionError):
        return None


Case = collections.abc.Callable[
    [Record, pathlib.Path, bool], collections.abc.Awaitable[bool]
]


def main(folder: str, case: Case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record.line(f"start, trouble={int(trouble)}")
    try:
        broken = asyncio.run(_limited(case, record, temporary, trouble))
    except CannotRun as reason:
        record.line(f"cannot run: {reason}")
        print(f"cannot run: {reason}")
        sys.exit(2)
    except Exception as reason:
        record.line(f"cannot run: {reason!r}")
        print(f"cannot run: {reason!r}")
        sys.exit(2)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = "the rule was broken" if broken else "the rule held"
    record.line(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)


async def _limited(
    case: Case, record: Record, folder: pathlib.Path, trouble: bool
) -> bool:
    async with asyncio.timeout(112):
        return await case(record, folder, trouble)
