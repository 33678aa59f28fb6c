"""Stand-ins for the store, servers and clients of the cases 6 to 10 of the review.

The driver process runs the store, the servers and the clients; the project's own
program runs as separate processes, started with the command of the deploy file.
"""

import asyncio
import collections.abc
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "panel.example"
RECORD_BYTES = 16
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Json = dict[str, typing.Any]


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Record of what was sent, answered and run; one line for each event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.line(f"trouble: {'yes' if TROUBLE else 'no'}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """An HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; None if the peer closes before its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store, with one address for each machine.

    The mode of a machine is ``""``, ``silent`` (its calls get no response, and the
    connections on which one was lost return nothing further), or a status with which
    every call is refused.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, Json]] = {}
        self._events: list[tuple[int, str, Json]] = []
        self._revision = 10
        self._changed = asyncio.Event()
        self.modes: dict[str, str] = {}

    async def listen(self, machine: str) -> int:
        """Listen for a machine and return the port."""
        self.modes[machine] = ""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def put(self, kind: str, name: str, spec: Json) -> int:
        """Write an object, as the operator and the servers do; return its revision."""
        self._revision += 1
        stored = {"meta": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects.setdefault(kind, {})[name] = stored
        self._add_event(kind, {"object": stored, "deleted": False})
        return self._revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects[kind].pop(name)
        self._revision += 1
        self._add_event(kind, {"object": stored, "deleted": True})

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def _add_event(self, kind: str, event: Json) -> None:
        self._events.append((self._revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lost = False
        try:
            while (request := await read_message(reader)) is not None:
                mode = self.modes[machine]
                if lost or mode == "silent":
                    lost = True
                    continue
                if mode:
                    writer.write(encode(int(mode), {}, b"{}"))
                    continue
                status, document = await self._answer(request)
                if self.modes[machine] == "silent":
                    lost = True
                    continue
                if self.modes[machine]:
                    status, document = int(self.modes[machine]), {}
                body = json.dumps(document).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(encode(status, fields, body))
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Json]:
        method, target, _ = request.start.split(" ")
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        path = urllib.parse.unquote(parsed.path).removeprefix("/objects/")
        kind, _, name = path.partition("/")
        objects = self._objects.setdefault(kind, {})
        if method == "POST":
            document = json.loads(request.body)
            name = document["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            self.put(kind, name, document["spec"])
            return 201, objects[name]
        if method != "GET":
            return 405, {}
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in query:
            return 200, await self._watch(kind, query)
        names = [each for each in sorted(objects) if each > query.get("after", "")]
        items = [objects[each] for each in names[:500]]
        return 200, {"items": items, "more": len(names) > 500, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> Json:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [e for at, k, e in self._events if at > since and k == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                return {"events": found, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


@dataclasses.dataclass
class Run:
    """A request that a server began to work on."""

    at: float
    request_id: str
    path: str


def records_of(service: str, path: str, count: int) -> list[bytes]:
    """Return the records with which every server of a service answers a path."""
    return [
        hashlib.blake2b(f"{service} {path} {n}".encode(), digest_size=16).digest()
        for n in range(count)
    ]


Behave = collections.abc.Callable[[Message], Json | None]


class Server:
    """A server of a service.

    Parameters
    ----------
    work_ms : float
        Running time of a request.
    behave : callable or None
        Returns how to answer instead: ``status`` and ``headers`` of a response that
        says the request was not run; None for the usual response.
    """

    def __init__(
        self,
        record: Record,
        service: str,
        name: str,
        zone: str,
        records: int = 20,
        work_ms: float = 2.0,
        behave: Behave | None = None,
    ) -> None:
        self._record = record
        self.service = service
        self.name = name
        self.zone = zone
        self._records = records
        self.work_ms = work_ms
        self.behave = behave
        self.extra_headers: dict[str, str] = {}
        self.arrivals: list[Run] = []
        self.runs: list[Run] = []
        self.port = 0

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(server.sockets[0].getsockname()[1])

    def entry(self, state: str = "ready") -> Json:
        """Return the entry with which the server registers itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 2,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-attempt-id", "")
        path = request.start.split(" ")[1]
        fields = {"X-Attempt-Id": request_id} | self.extra_headers
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return encode(421, fields | {"X-Not-Executed": "1"}, b"")
        arrival = Run(self._record.now(), request_id, path)
        self.arrivals.append(arrival)
        self._record.line(f"server {self.name}: arrived {request_id} {path}")
        other = self.behave(request) if self.behave is not None else None
        if other is not None:
            headers = fields | other["headers"]
            self._record.line(f"server {self.name}: {other['status']} {request_id}")
            return encode(other["status"], headers, b"")
        self.runs.append(arrival)
        await asyncio.sleep(self.work_ms / 1000)
        stamp = f"{self.service}.{self.name}.{request_id}.{len(self.runs)}"
        body = b"".join(records_of(self.service, path, self._records))
        return encode(200, fields | {"X-Response-Stamp": stamp}, body)


@dataclasses.dataclass
class Answer:
    """What a client got; status 0 for a connection that ended without an answer."""

    sent_at: float
    answered_at: float
    request_id: str
    path: str
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def stamps(self) -> list[str]:
        """Signatures of the parts."""
        value = self.headers.get("x-part-stamps", "")
        return [each.strip() for each in value.split(",") if each.strip()]


async def call(
    record: Record,
    port: int,
    host: str,
    path: str,
    request_id: str,
    deadline_ms: int = 2000,
    method: str = "GET",
    body: bytes = b"",
) -> Answer:
    """Send a request on a new connection and wait for its answer."""
    sent_at = record.now()
    answer = None
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {request_id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        sent_at = record.now()
        record.line(f"client: sent {request_id} {path}")
        answer = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
        writer.close()
    except (OSError, TimeoutError):
        pass
    if answer is None:
        record.line(f"client: no answer to {request_id}")
        return Answer(sent_at, record.now(), request_id, path, 0, {}, b"")
    status = int(answer.start.split(" ")[1])
    record.line(f"client: answered {request_id} {status}, {len(answer.body)} bytes")
    return Answer(
        sent_at,
        record.now(),
        request_id,
        path,
        status,
        answer.headers,
        answer.body,
    )


SETTINGS = """
node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "connacht"
internal_port_range = [{peers},{peers}]
bootstrap = true
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
stable_window_ms = 4000
drain_ms = {drain_ms}
grace_s = 6
config_apply_ms = 3000
rollback_slack_ms = 250
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = {slack}
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class Front:
    """One process of the project, on a loopback address of its own."""

    def __init__(self, name: str, ip: str, port: int, ready: int) -> None:
        self.name = name
        self.ip = ip
        self.port = port
        self.ready_port = ready
        self.settings = pathlib.Path()
        self.log = pathlib.Path()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["front"]["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment = kept | {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "JACKDAWPASS_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def logged(self, event: str) -> list[Json]:
        """Return the lines of the log about an event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"{event}"' in line:
                found.append(json.loads(line))
        return found


def free_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class World:
    """The store, servers and fronts of a case."""

    def __init__(self, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = Store(record)
        self.servers: dict[str, Server] = {}
        self.fronts: dict[str, Front] = {}
        self._directory = directory
        self._requests = 0

    async def add_server(self, service: str, zone: str, **options: typing.Any) -> None:
        """Start a server and register it."""
        name = f"i-{len(self.servers):04x}"
        server = Server(self.record, service, name, zone, **options)
        await server.listen()
        self.servers[name] = server
        self.store.put("servers", name, server.entry())

    def of(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return [each for each in self.servers.values() if each.service == service]

    def configure(
        self, version: int, routes: list[Json], max_body_bytes: int = 262144
    ) -> None:
        """Write a configuration, as the operator does; its return acknowledges it."""
        names = sorted({server.service for server in self.servers.values()})
        services = [
            {"name": name, "max_connections": 58, "health_path": "/health"}
            for name in names
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("config", "main", spec)
        self.record.line(f"operator: version {version} acknowledged")

    async def add_front(
        self, name: str, zone: str, slack: float = 129, drain_ms: int = 3000
    ) -> Front:
        """Start a process with settings like those of a small deployment."""
        ip = f"127.77.0.{len(self.fronts) + 1}"
        front = Front(name, ip, free_port(ip), free_port(ip))
        front.settings = self._directory / f"{name}.toml"
        front.log = self._directory / f"{name}.log"
        front.settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                front=front.port,
                ready=front.ready_port,
                peers=free_port(ip),
                store=await self.store.listen(name),
                slack=slack,
                drain_ms=drain_ms,
            )
        )
        self.fronts[name] = front
        front.start()
        return front

    async def wait_ready(self) -> None:
        """Wait until all processes report that they are ready."""
        for front in self.fronts.values():
            await self.wait(f"{front.name} is ready", lambda f=front: self.is_ready(f))
        self.record.line("all ready")

    async def is_ready(self, front: Front) -> bool:
        """Return whether a process reports that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(front.ip, front.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.start.split(" ")[1] == "200"

    async def wait(
        self,
        what: str,
        holds: collections.abc.Callable[[], typing.Awaitable[bool]],
        seconds: float = START_SECONDS,
    ) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > until:
                raise CannotRunError(f"waited in vain until {what}")
            await asyncio.sleep(0.05)

    async def call(
        self,
        front: Front,
        path: str,
        deadline_ms: int = 2000,
        method: str = "GET",
        body: bytes = b"",
    ) -> Answer:
        """Send a request to a process on a new connection."""
        self._requests += 1
        request_id = f"{self._requests:016x}"
        return await call(
            self.record,
            front.port,
            front.ip,
            path,
            request_id,
            deadline_ms,
            method,
            body,
        )

    def close(self) -> None:
        """End all processes that were started."""
        for front in self.fronts.values():
            front.stop()


Case = collections.abc.Callable[[World], typing.Awaitable[bool]]


def main(directory: pathlib.Path, case: Case) -> typing.NoReturn:
    """Run a case, which returns whether the rule held, and exit accordingly."""
    record = Record(directory / "record.txt")

    async def run() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            world = World(record, pathlib.Path(temporary))
            try:
                return HELD if await case(world) else BROKEN
            except (Exception, asyncio.CancelledError) as error:
                record.line(f"cannot run: {error!r}")
                return NOT_RUN
            finally:
                world.close()
                # The end of the loop cancels the stand-ins' open connections.
                loop.set_exception_handler(lambda *_: None)

    status = asyncio.run(run())
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status]
    record.line(f"rule: {verdict}")
    print(verdict)
    sys.exit(status)
