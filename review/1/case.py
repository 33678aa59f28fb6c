"""A server answers before it has read a long body, and reads on later."""

import asyncio
import pathlib
import random
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

SERVICE = "orders"
BODY_BYTES = 250_000
CLIENTS = 24
SERVERS = 5
SECONDS = 32.0
# Three of five servers reject one long request in 20 early, for 5 s at a time.
EARLY_SHARE = 0.05
SPOILING = 3
EARLY_SECONDS = 5.0
PAUSE_SECONDS = 4.0
READ_BYTES = 16_384
# Segments of an ordinary network, and a window as small as the pages say.
SEGMENT_BYTES = 1460
WINDOW_BYTES = 4_096
# One machine's share of a server is then two connections, as on the users' sites (58
# for 20 machines).
MAX_CONNECTIONS = 5
ANSWERS_PER_CONNECTION = 10


def body_of(attempt: str) -> bytes:
    """Return the body that a client sends with an attempt."""
    return (attempt.encode() * (BODY_BYTES // len(attempt) + 1))[:BODY_BYTES]


class Server:
    """A server that rejects a part of the long requests before they are in."""

    def __init__(self, name: str, record: standins.Record, sent: set[str]) -> None:
        self.name = name
        self.port = standins.free_port()
        self.faults: list[str] = []
        self.rejected = self.ran = 0
        self._record = record
        self._sent = sent
        self.rejects_early = False
        self._random = random.Random(name)

    async def start(self) -> None:
        """Listen."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listening.bind(("127.0.0.1", self.port))
        await asyncio.start_server(
            self._serve, sock=listening, limit=READ_BYTES, backlog=100
        )

    def _fault(self, text: str) -> None:
        self.faults.append(text)
        self._record.line(f"{self.name} FAULT {text}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.set_write_buffer_limits(0)
        try:
            while (head := await standins.read_head(reader)) is not None:
                if not await self._one(head, reader, writer):
                    break
        except asyncio.LimitOverrunError:
            self._fault("no request where the next one is due")
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _one(
        self,
        head: standins.HttpMessage,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = head.headers.get("x-attempt-id", "")
        if head.first[0] != "POST" or attempt not in self._sent:
            self._fault(f"request that no client sent: {head.first} id {attempt!r}")
            return False
        length = int(head.headers["content-length"])
        is_early = self.rejects_early and self._random.random() < EARLY_SHARE
        if is_early:
            self.rejected += 1
            answer = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            writer.write(standins.encode("HTTP/1.1 503 Full", answer, b""))
            self._record.line(f"{self.name} rejected {attempt} before it was in")
        received = bytearray()
        while len(received) < length:
            if is_early:
                # It reads on later.
                await asyncio.sleep(0.02)
            data = await reader.read(min(READ_BYTES, length - len(received)))
            if not data:
                return False
            received += data
        expected = body_of(attempt)
        if bytes(received) != expected:
            at = next(i for i in range(length) if received[i] != expected[i])
            found = bytes(received[at : at + 60])
            self._fault(f"other bytes in the body of {attempt} at {at}: {found!r}")
            return False
        if not is_early:
            self.ran += 1
            self._record.line(f"{self.name} ran {attempt}")
            answer = {"X-Attempt-Id": attempt, "X-Response-Stamp": f"{attempt}.1"}
            # "`Connection: close` appears (...) occasionally in other responses."
            is_last = self.ran % ANSWERS_PER_CONNECTION == 0
            if is_last:
                answer["Connection"] = "close"
            writer.write(standins.encode("HTTP/1.1 200 OK", answer, b"done"))
            await writer.drain()
            return not is_last
        await writer.drain()
        return True


async def client(
    number: int, front: standins.Front, record: standins.Record, sent: set[str]
) -> None:
    """Post long bodies one after the other."""
    count = 0
    while record.now() < SECONDS:
        count += 1
        attempt = f"{number:04x}{count:012x}"
        sent.add(attempt)
        headers = {"X-Attempt-Id": attempt, "X-Request-Deadline": "4000"}
        answer = await standins.call(
            front.ip, front.port, "POST", "/orders/new", headers, body_of(attempt), 5.0
        )
        status = "none" if answer is None else answer.first[1]
        record.line(f"client {number} sent {attempt}, answered {status}")
        await asyncio.sleep(0.01)


async def reject_early(servers: list[Server], record: standins.Record) -> None:
    """Let servers reject long requests early, again and again for a time."""
    while True:
        for server in servers:
            server.rejects_early = True
            record.line(f"{server.name} rejects a part of the long requests early")
        await asyncio.sleep(EARLY_SECONDS)
        for server in servers:
            server.rejects_early = False
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record: standins.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Return whether a server got other bytes where the rest of a body was due."""
    store = standins.Store()
    store_port = await store.listen()
    sent: set[str] = set()
    servers = [Server(f"i-{n}", record, sent) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        entry = standins.server_entry(SERVICE, server.port)
        store.put("servers", server.name, entry)
    routes = [standins.route("orders", service=SERVICE, type="non_idempotent")]
    configuration = standins.configuration(1, routes, [SERVICE], MAX_CONNECTIONS)
    store.put("config", "main", configuration)
    front = standins.Front("front-a-1", store_port, folder)
    try:
        await front.start()
        await front.wait_ready()
        if trouble:
            spoiling = asyncio.create_task(reject_early(servers[:SPOILING], record))
        await asyncio.gather(
            *(client(number, front, record, sent) for number in range(CLIENTS))
        )
        if trouble:
            spoiling.cancel()
    finally:
        await front.stop()
    ran = sum(server.ran for server in servers)
    rejected = sum(server.rejected for server in servers)
    faults = sum(len(server.faults) for server in servers)
    summary = f"sent {len(sent)}, ran {ran}, rejected early {rejected}, faults {faults}"
    record.line(summary)
    print(summary)
    if not ran:
        raise standins.CannotRun("no request ran")
    return faults > 0


if __name__ == "__main__":
    standins.main(str(pathlib.Path(__file__).parent), case)
