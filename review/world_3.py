"""Stand-ins for the users' platform, servers and clients, for cases 11 to 15.

Everything here follows the users' pages: the metadata store, servers, and clients run
in the process of the case, and the fronts are processes of the deploy file's command.
"""

import asyncio
import contextlib
import copy
import dataclasses
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
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "pupu76.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the users' small deployments, in seconds.
STABLE_WINDOW = 4.0
CONFIG_APPLY = 3.0
HEARTBEAT = 1.2
STATE_TIMEOUT = 20.0
_holders: list[socket.socket] = []

SETTINGS = """
node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "norte"
internal_port_range = [{peers},{peers}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
um = "norte"
dois = "norte"
tres = "norte"
[listen]
front = "127.0.0.1:{front}"
readiness_address = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 222
max_fds = 1535
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
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
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class CannotRun(Exception):
    """The case cannot run on this machine."""


def free_port() -> int:
    """Return a free port below those that the kernel gives to connections.

    The port stays bound, without listening, so that no other process takes it before
    the front listens there, as it may with SO_REUSEADDR.
    """
    while True:
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _holders.append(holder)
        port: int = holder.getsockname()[1]
        return port


class Record:
    """The file record.txt of a case, with seconds since its start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.at(time.monotonic()):8.3f} {text}\n")
        self._file.flush()

    def at(self, moment: float) -> float:
        """Return a monotonic time in seconds since the start."""
        return moment - self._started

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self(text)
        print(text, flush=True)


@dataclasses.dataclass(slots=True)
class Message:
    """An HTTP request or response."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Door:
    """A port of the store, for one machine; it may fall silent for this machine."""

    def __init__(self) -> None:
        self.port = 0
        self.silent = False
        # Calls of the machine that wait for a change.
        self.watches = 0


class Store:
    """The platform's metadata store, with linearizable and stale reads.

    Attributes
    ----------
    stale_seconds : float
        How far calls with allow_stale are behind.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.stale_seconds = 0.0
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[float, str, int, dict]] = []
        self._revision = 1
        self._era = 1
        self._changed = asyncio.Condition()
        self._doors: list[Door] = []
        self._history: list[tuple[float, int, dict[str, dict[str, dict]]]] = []

    async def open_door(self) -> Door:
        """Listen on a further port."""
        door = Door()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # The case cancels what still waits at its end.
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await self._serve(door, reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        door.port = server.sockets[0].getsockname()[1]
        self._doors.append(door)
        return door

    async def drill(self, away: float, age: float) -> None:
        """Be away for some seconds, and come back from a copy that is `age` old.

        While it is away, calls that arrive or wait get no answer.
        """
        restored_from = time.monotonic() - age
        copies = [each for each in self._history if each[0] <= restored_from]
        for door in self._doors:
            door.silent = True
        await asyncio.sleep(away)
        _, self._revision, objects = copies[-1]
        self._objects = copy.deepcopy(objects)
        self._events = [each for each in self._events if each[2] <= self._revision]
        self._history = copies
        self._era += 1
        for door in self._doors:
            door.silent = False
        self._record(f"store: back, era {self._era}, revision {self._revision}")

    async def put(self, kind: str, name: str, spec: object) -> float:
        """Write an object as the operator or a server; return the time of the ack."""
        if self.get(kind, name) == spec:
            return time.monotonic()
        self._revision += 1
        meta = {"name": name, "revision": self._revision, "created": 1}
        stored = {"meta": meta | {"finalizers": [], "deleting": False}, "spec": spec}
        self._objects.setdefault(kind, {})[name] = stored
        return await self._on_change(kind, stored, deleted=False)

    def get(self, kind: str, name: str) -> object:
        """Return the content of an object; None if there is none."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None else stored["spec"]

    async def delete(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the acknowledgement."""
        self._revision += 1
        stored = self._objects.get(kind, {}).pop(name)
        return await self._on_change(kind, stored, deleted=True)

    async def _on_change(self, kind: str, stored: dict, deleted: bool) -> float:
        event = {"object": stored, "deleted": deleted}
        now = time.monotonic()
        self._events.append((now, kind, self._revision, event))
        self._history.append((now, self._revision, copy.deepcopy(self._objects)))
        name = stored["meta"]["name"]
        self._record(f"store: revision {self._revision} is of {kind}/{name}")
        async with self._changed:
            self._changed.notify_all()
        return now

    async def _serve(
        self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            method, target, _ = request.first.split(" ")
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query))
            _, _, rest = parsed.path.partition("/objects/")
            kind, _, name = rest.partition("/")
            was_silent, era = door.silent, self._era
            is_watch = int(query.get("wait_ms", "0")) > 0
            door.watches += is_watch
            try:
                status, document = await self._answer(
                    method, kind, urllib.parse.unquote(name), query, request.body
                )
            finally:
                door.watches -= is_watch
            if was_silent or door.silent or era != self._era:
                # A connection on which a response is lost returns nothing further.
                self._record(f"store: no answer to {method} {target}")
                await reader.read()
                return
            headers = {"Content-Type": "application/json", "Store-Era": str(self._era)}
            writer.write(encode(status, headers, json.dumps(document).encode()))

    async def _answer(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        objects = self._objects.setdefault(kind, {})
        if method == "POST":
            document = json.loads(body)
            name = document["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            await self.put(kind, name, document["spec"])
            return 200, objects[name]
        if method != "GET":
            return 400, {}
        if "watch" in query:
            return await self._watch(kind, query)
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        after = query.get("after", "")
        names = sorted(each for each in objects if each > after)
        items = [objects[each] for each in names[:50]]
        return 200, {"items": items, "more": len(names) > 50, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        since = int(query["watch"])
        if since > self._revision:
            return 410, {}
        is_stale = query.get("allow_stale") == "1"
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            now = time.monotonic()
            behind = self.stale_seconds if is_stale else 0.0
            known = [each for each in self._events if each[0] <= now - behind]
            found = [e for _, k, revision, e in known if k == kind and revision > since]
            at = self._revision if not is_stale else max([1, *(e[2] for e in known)])
            if found or now >= deadline:
                return 200, {"events": found, "at": max(at, since)}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), deadline - now)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server has run."""

    server: str
    service: str
    attempt: str
    at: float


class Server:
    """A server of the platform; it checks the instance that a request expects."""

    def __init__(
        self, record: Record, name: str, service: str, zone: str, work: float = 0.003
    ) -> None:
        self._record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.port = 0
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the server's entry in the store."""
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
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
        writer.close()

    async def answer(self, request: Message) -> bytes:
        """Run a request and return the response."""
        attempt = request.headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        self.arrivals.append((time.monotonic(), attempt))
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return encode(421, echo | {"X-Not-Executed": "1"}, b"")
        refusal = self.refuse(request)
        if refusal is not None:
            self._record(f"{self.name}: refuses {attempt} {refusal}")
            return encode(503, echo | {"X-Not-Executed": "1"} | refusal, b"")
        self.runs.append(Run(self.name, self.service, attempt, time.monotonic()))
        self._record(f"{self.name}: runs {attempt}")
        await asyncio.sleep(self.work)
        stamp = {"X-Response-Stamp": f"{self.service}.{self.name}.{attempt}"}
        return encode(200, echo | stamp, f"{self.service} {attempt}".encode())

    def refuse(self, request: Message) -> dict[str, str] | None:
        """Return further headers of a refusal; None to run the request."""
        return None


class Front:
    """A front process, started with the command of the deploy file."""

    def __init__(self, folder: pathlib.Path, name: str, zone: str, store: Door) -> None:
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        self.door = store
        self._path = folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                peers=free_port(),
                front=self.port,
                ready=self.ready_port,
                store=store.port,
            )
        )
        self._log = open(folder / f"{name}.log", "ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["front"]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["JACKDAWPASS_NODE_FILE"] = str(self._path)
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    async def wait_ready(self) -> None:
        """Wait until the front reports that it is ready."""
        ends = time.monotonic() + STATE_TIMEOUT
        while time.monotonic() < ends:
            assert self.process is not None
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended")
            with contextlib.suppress(OSError):
                answer = await call(self.ready_port, "/ready", "", 1000)
                if answer is not None and answer.first.split(" ")[1] == "200":
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self._log.close()


async def call(
    port: int, path: str, attempt: str, timeout_ms: int, method: str = "GET"
) -> Message | None:
    """Send a request on a new connection; return the answer, None without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Attempt-Id: {attempt}", f"X-Request-Deadline: {timeout_ms}"]
    if method == "POST":
        lines.append("Content-Length: 0")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    try:
        return await asyncio.wait_for(read_message(reader), timeout_ms / 1000 + 1)
    except TimeoutError:
        return None
    finally:
        writer.close()


def check_served(sent: int, answered: int) -> None:
    """Raise unless most requests were answered, so that silence proves nothing."""
    if answered < 0.9 * sent or not sent:
        raise CannotRun(f"{answered} of {sent} requests were answered with success")


def route(name: str, **changes: object) -> dict[str, object]:
    """Return a route of a configuration, which is idempotent by default."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 2500,
        "target_latency_ms": 289,
        "priority": 2,
        "max_attempts": 2,
    } | changes


def configuration(
    version: int, routes: list[dict[str, object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": each, "max_connections": 244, "health_path": "/health"}
            for each in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def beat(store: Store, server: Server) -> None:
    """Write a server's entry at each heartbeat; it is a change if it differs."""
    await asyncio.sleep(random.uniform(0, HEARTBEAT))
    while True:
        await store.put("servers", server.name, server.entry())
        await asyncio.sleep(HEARTBEAT)


class World:
    """Store, servers and fronts of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.fronts: list[Front] = []
        self.servers: dict[str, Server] = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case"))

    async def add_server(self, server: Server) -> None:
        """Start a server and write its entry."""
        await server.start()
        self.servers[server.name] = server
        await self.store.put("servers", server.name, server.entry())

    async def add_fronts(self, count: int, zone: str = "um") -> None:
        """Start fronts and wait until they are ready."""
        added = []
        for number in range(count):
            door = await self.store.open_door()
            name = f"front-{zone}-{number + 1}"
            added.append(Front(self._folder, name, zone, door))
        self.fronts += added
        for each in added:
            # Machines that have run for long do nothing in step.
            await asyncio.sleep(random.uniform(0, 0.3))
            await each.start()
        await asyncio.gather(*(each.wait_ready() for each in added))

    async def close(self) -> None:
        """End all processes."""
        await asyncio.gather(*(each.stop() for each in self.fronts))
        shutil.rmtree(self._folder, ignore_errors=True)


def main(folder: pathlib.Path, play) -> None:
    """Play a case and exit with its result; `play` returns whether the rule held."""

    async def run() -> bool:
        # A case that is stopped ends its processes too.
        playing = asyncio.current_task()
        assert playing is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        world = World(folder)
        try:
            held: bool = await asyncio.wait_for(play(world), 110)
        finally:
            await world.close()
        world.record.say("the rule held" if held else "the rule is broken")
        return held

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # It says why.
        print(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    sys.exit(HELD if held else BROKEN)
