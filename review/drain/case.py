"""Servers are scaled in while machines are added."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

# Requests go to the first index; the second is the next cut of it, not yet in use.
SHARDS = 120
NEXT_SHARDS = 250
SERVERS = 3
FIRST_MACHINES = 4
ADDED_MACHINES = 11
ADDED_GAP_SECONDS = 0.2
# Share of the first index's servers that leave, and the time between two of them.
LEAVING_SHARE = 0.145
LEAVING_GAP_SECONDS = 0.034
DRAIN_SECONDS = 3.0
# A leaving server goes on for drain_ms "and a little longer (at times many seconds)".
SERVES_ON_SECONDS = 9.0
STABLE_SECONDS = 4.0
REQUEST_SECONDS = 1.2


class Server:
    """A sound server, which may leave."""

    def __init__(self, name: str, service: str, record: standins.Record) -> None:
        self.name = name
        self.service = service
        self.port = standins.free_port()
        self.draining_at: float | None = None
        self.arrivals: list[tuple[float, str]] = []
        self._record = record
        self._writers: set[asyncio.StreamWriter] = set()
        self._listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, on another port if the first one was taken meanwhile."""
        while self._listening is None:
            try:
                self._listening = await asyncio.start_server(
                    self._serve, "127.0.0.1", self.port
                )
            except OSError:
                self.port = standins.free_port()

    def entry(self, **changes: object) -> dict[str, object]:
        """Return the server's entry."""
        return standins.server_entry(self.service, self.port, **changes)

    async def leave(self, store: standins.Store) -> None:
        """Report `draining`, serve on, and exit."""
        store.put("servers", self.name, self.entry(state="draining", sequence=2))
        self.draining_at = self._record.now()
        self._record.line(f"{self.name} is draining, acknowledged")
        await asyncio.sleep(SERVES_ON_SECONDS)
        assert self._listening is not None
        self._listening.close()
        for writer in list(self._writers):
            writer.close()
        store.remove("servers", self.name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await standins.read_message(reader)) is not None:
                attempt = request.headers.get("x-attempt-id", "")
                self.arrivals.append((self._record.now(), attempt))
                answer = {"X-Attempt-Id": attempt}
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(standins.encode("HTTP/1.1 421 No", answer, b""))
                    continue
                await asyncio.sleep(0.005)
                answer["X-Response-Stamp"] = f"{attempt}.1"
                if self.draining_at is not None:
                    answer["Connection"] = "close"
                writer.write(standins.encode("HTTP/1.1 200 OK", answer, bytes(32)))
                await writer.drain()
                if self.draining_at is not None:
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """Clients of one machine."""

    def __init__(
        self, number: int, front: standins.Front, record: standins.Record
    ) -> None:
        self.front = front
        self.number = number
        self.started_at = record.now()
        self.sent: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self._record = record

    async def run(self) -> None:
        """Send until cancelled, from the moment at which the machine is ready."""
        await self.front.wait_ready()
        self._record.line(f"{self.front.name} is ready")
        async with asyncio.TaskGroup() as group:
            while True:
                attempt = f"{self.number:04x}{len(self.sent):012x}"
                self.sent[attempt] = self._record.now()
                group.create_task(self._send(attempt))
                await asyncio.sleep(REQUEST_SECONDS)

    async def _send(self, attempt: str) -> None:
        headers = {"X-Attempt-Id": attempt, "X-Request-Deadline": "4000"}
        answer = await standins.call(
            self.front.ip,
            self.front.port,
            "GET",
            "/sweep/1",
            headers,
            b"",
            5.0,
        )
        status = "none" if answer is None else answer.first[1]
        self.answers[status] = self.answers.get(status, 0) + 1


def late_arrivals(
    servers: list[Server], clients: list[Client], record: standins.Record
) -> int:
    """Count requests that reached a server too long after it was draining."""
    count = 0
    for server in servers:
        if server.draining_at is None:
            continue
        late = []
        for at, attempt in server.arrivals:
            if at <= server.draining_at + DRAIN_SECONDS or not attempt:
                continue
            client = clients[int(attempt[:4], 16)]
            if client.sent[attempt] > client.started_at + STABLE_SECONDS:
                late.append((at, attempt, client))
        count += len(late)
        for at, attempt, client in late:
            record.line(
                f"{server.name} LATE {attempt} of {client.front.name} (started at "
                f"{client.started_at:.3f}), {at - server.draining_at:.3f} s after "
                "it was draining"
            )
    return count


async def case(record: standins.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Return whether requests reached servers that had long been draining."""
    store = standins.Store()
    store_port = await store.listen()
    generator = random.Random()
    names = [f"shard-{n}" for n in range(SHARDS + NEXT_SHARDS)]
    servers = [
        Server(f"i-{generator.getrandbits(32):08x}", name, record)
        for name in names
        for _ in range(SERVERS)
    ]
    for server in servers:
        await server.start()
        store.put("servers", server.name, server.entry())
    queried = names[:SHARDS]
    sweep = standins.route("sweep", fanout=queried, top_k=5, min_shard_ratio=0.75)
    store.put("config", "main", standins.configuration(1, [sweep], names))
    leaving = [
        next(server for server in servers if server.service == name)
        for name in generator.sample(queried, round(LEAVING_SHARE * SHARDS * SERVERS))
    ]
    clients: list[Client] = []
    tasks: list[asyncio.Task[None]] = []

    async def add_machine() -> None:
        number = len(clients)
        front = standins.Front(f"front-a-{number}", store_port, folder)
        await front.start()
        clients.append(Client(number, front, record))
        record.line(f"{front.name} is started")
        tasks.append(asyncio.create_task(clients[-1].run()))

    async def scale_in_later() -> None:
        # The added machines list the servers about two seconds after their start.
        await asyncio.sleep(1.8)
        for server in leaving:
            tasks.append(asyncio.create_task(server.leave(store)))
            await asyncio.sleep(LEAVING_GAP_SECONDS)

    try:
        for _ in range(FIRST_MACHINES):
            await add_machine()
        await asyncio.sleep(8)
        if trouble:
            tasks.append(asyncio.create_task(scale_in_later()))
        for _ in range(ADDED_MACHINES):
            await add_machine()
            await asyncio.sleep(ADDED_GAP_SECONDS)
        await asyncio.sleep(SERVES_ON_SECONDS + 4)
    finally:
        for task in tasks:
            task.cancel()
        for client in clients:
            await client.front.stop()
    late = late_arrivals(servers, clients, record)
    answers: dict[str, int] = {}
    for client in clients:
        for status, count in client.answers.items():
            answers[status] = answers.get(status, 0) + count
    summary = f"answers {answers}, servers left {len(leaving) if trouble else 0}"
    summary += f", late arrivals {late}"
    record.line(summary)
    print(summary)
    return late > 0


if __name__ == "__main__":
    standins.main(str(pathlib.Path(__file__).parent), case)
