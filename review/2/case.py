"""Servers hand out bytes that are no answer, without end, in small chunks."""

import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

SERVICE = "report-export"
SERVERS = 4
MACHINES = 2
MEMORY_BYTES = 222 * 1024 * 1024
# Half of the servers spoil one in 20 of their answers, for 5 s at a time.
SPOILING_SHARE = 0.5
SPOILT_SHARE = 0.05
SPOILING_SECONDS = 5.0
PAUSE_SECONDS = 4.0
SECONDS = 90.0
REQUEST_SECONDS = 0.05
RESTART_SECONDS = 1.0
ENDS = 3
CHUNKS = b"2\r\nno\r\n" * 8_192


class Server:
    """A server, which spoils a share of its answers while `spoils` is set."""

    def __init__(self, name: str, record: standins.Record) -> None:
        self.name = name
        self.port = standins.free_port()
        self.spoils = False
        self.runs = self.spoilt = 0
        self._record = record
        self._random = random.Random(name)

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await standins.read_message(reader)) is not None:
                attempt = request.headers.get("x-attempt-id", "")
                self.runs += 1
                answer = {"X-Attempt-Id": attempt, "X-Response-Stamp": f"{attempt}.1"}
                await asyncio.sleep(0.02)
                if self.spoils and self._random.random() < SPOILT_SHARE:
                    await self._send_without_end(attempt, writer)
                    break
                writer.write(standins.encode("HTTP/1.1 200 OK", answer, b"done"))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _send_without_end(
        self, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        self.spoilt += 1
        self._record.line(f"{self.name} sends bytes without end for {attempt}")
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        sent = 0
        try:
            while True:
                writer.write(CHUNKS)
                sent += len(CHUNKS)
                await writer.drain()
        except ConnectionError:
            self._record.line(
                f"{self.name}: the caller closed after {sent} bytes for {attempt}"
            )


class Machine:
    """A machine, whose process the platform restarts and keeps to its memory."""

    def __init__(
        self,
        number: int,
        store_port: int,
        folder: pathlib.Path,
        record: standins.Record,
    ) -> None:
        self.front = standins.Front(f"front-a-{number}", store_port, folder)
        self.number = number
        self.ends = 0
        self.sent = 0
        self.highest = 0
        self.answers: dict[str, int] = {}
        self._record = record

    async def keep(self) -> None:
        """Start the process again whenever it ends; kill it over its memory."""
        while True:
            await self.front.start()
            self._record.line(f"{self.front.name} is started")
            process = self.front.process
            assert process is not None
            while process.returncode is None:
                await asyncio.sleep(0.05)
                used = resident_bytes(process.pid)
                self.highest = max(self.highest, used)
                if used > MEMORY_BYTES:
                    self._record.line(
                        f"{self.front.name} uses {used >> 20} MB and is killed"
                    )
                    self.front.signal(signal.SIGKILL)
                    break
            await process.wait()
            self.ends += 1
            self._record.line(f"{self.front.name} has ended, time {self.ends}")
            await asyncio.sleep(RESTART_SECONDS)

    async def use(self) -> None:
        """Send requests."""
        async with asyncio.TaskGroup() as group:
            while True:
                if await self.front.ready():
                    for _ in range(20):
                        self.sent += 1
                        attempt = f"{self.number:04x}{self.sent:012x}"
                        group.create_task(self._send(attempt))
                        await asyncio.sleep(REQUEST_SECONDS)
                await asyncio.sleep(0.05)

    async def _send(self, attempt: str) -> None:
        headers = {"X-Attempt-Id": attempt, "X-Request-Deadline": "8000"}
        try:
            answer = await standins.call(
                self.front.ip,
                self.front.port,
                "POST",
                "/report/new",
                headers,
                b"one",
                9.0,
            )
        except OSError:
            answer = None
        status = "none" if answer is None else answer.first[1]
        self.answers[status] = self.answers.get(status, 0) + 1
        if status != "200":
            self._record.line(f"{self.front.name} was sent {attempt}: {status}")


def resident_bytes(pid: int) -> int:
    """Return the memory that a process uses."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0
    pages = int(fields[1]) if len(fields) > 1 else 0
    return pages * os.sysconf("SC_PAGE_SIZE")


async def case(record: standins.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Return whether processes end by themselves three times on two machines."""
    store = standins.Store()
    store_port = await store.listen()
    servers = [Server(f"i-{n}", record) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        entry = standins.server_entry(SERVICE, server.port, slots=6)
        store.put("servers", server.name, entry)
    routes = [standins.route("report", service=SERVICE, type="non_idempotent")]
    store.put("config", "main", standins.configuration(1, routes, [SERVICE], 116))
    machines = [Machine(n, store_port, folder, record) for n in range(MACHINES)]
    tasks = [asyncio.create_task(machine.keep()) for machine in machines]
    try:
        for machine in machines:
            await machine.front.wait_ready()
            tasks.append(asyncio.create_task(machine.use()))
        await asyncio.sleep(4)
        spoiling = servers[: round(SPOILING_SHARE * SERVERS)]
        while record.now() < SECONDS:
            if trouble:
                for server in spoiling:
                    server.spoils = True
            await asyncio.sleep(SPOILING_SECONDS)
            for server in spoiling:
                server.spoils = False
            await asyncio.sleep(PAUSE_SECONDS)
            if all(machine.ends >= ENDS for machine in machines):
                break
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            await machine.front.stop()
    for machine in machines:
        summary = (
            f"{machine.front.name}: ended {machine.ends} times, highest memory "
            f"{machine.highest >> 20} MB, answers {machine.answers}"
        )
        record.line(summary)
        print(summary)
    return sum(machine.ends >= ENDS for machine in machines) >= 2


if __name__ == "__main__":
    standins.main(str(pathlib.Path(__file__).parent), case)
