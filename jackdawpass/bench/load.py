"""Open-loop load generator; run as a process of its own.

The first line of the standard input is a `Task` as JSON; each later line replaces the
addresses. At the end a `Record` of all queries is written to the standard output.
"""

import os
import sys
import time
import typing

import msgspec
from twisted.internet import stdio
from twisted.protocols import basic

from jackdawpass import clock
from jackdawpass.bench import client, schedule

DRAIN_SECONDS = 2.0


class Task(msgspec.Struct):
    """What to send.

    Attributes
    ----------
    addresses : list of int
        Ports of the entry instances, used in turn.
    path : str
        Path of the query resource.
    body : str
        Body of each query.
    start_at : float
        Monotonic time of the start.
    timeout_ms : int
        Deadline of the queries; bounds the wait after the last arrival.
    """

    addresses: list[int]
    path: str
    body: str
    seed: int
    phases: list[schedule.Phase]
    start_at: float
    timeout_ms: int


class Record(msgspec.Struct):
    """Columns with one entry per query.

    Attributes
    ----------
    starts : list of float
        Intended start in seconds after the start of the load.
    latencies_ms : list of float
        From the intended start to the end.
    outcomes : list of str
        ``answer``, outcome and kind of a problem document, or ``broken``.
    covered, shards : list of int
        Coverage of the answer; 0 without one.
    lags_ms : list of float
        From the intended start to the actual one: the generator's own delay.
    """

    starts: list[float] = []
    latencies_ms: list[float] = []
    outcomes: list[str] = []
    covered: list[int] = []
    shards: list[int] = []
    lags_ms: list[float] = []


class Report(Record):
    """What one generator process writes at its end.

    Attributes
    ----------
    busy_share : float
        Processor time as a share of the length of the load, start-up excluded.
    """

    busy_share: float = 0.0


class _Coverage(msgspec.Struct):
    shards: int
    covered: int


class _Reply(msgspec.Struct):
    outcome: str = "answer"
    kind: str = ""
    coverage: _Coverage | None = None


class Generator:
    """Sends queries at their intended times, whatever happens to earlier ones."""

    def __init__(self, reactor: typing.Any, task: Task) -> None:
        self._reactor = reactor
        self._task = task
        self._arrivals = schedule.arrivals(task.seed, task.phases)
        self._record = Report()
        self._cpu_seconds = time.process_time()
        self._next = 0
        self._outstanding: set[int] = set()
        self._connections: dict[int, client.Connections] = {}
        self._lags_ms: dict[int, float] = {}
        body = task.body.encode()
        head = (
            f"POST {task.path} HTTP/1.1\r\nHost: entry\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._request = head.encode("ascii") + body

    @property
    def record(self) -> Report:
        """The queries that have ended."""
        return self._record

    def start(self) -> None:
        """Schedule the first query."""
        self._schedule()

    def set_addresses(self, addresses: list[int]) -> None:
        """Use other entry instances from the next query on."""
        self._task.addresses = addresses

    def _schedule(self) -> None:
        if self._next < len(self._arrivals):
            at = self._task.start_at + self._arrivals[self._next]
            delay = max(0.0, at - clock.monotonic())
            self._reactor.callLater(delay, self._send)
        elif self._outstanding:
            seconds = self._task.timeout_ms / 1000 + DRAIN_SECONDS
            self._reactor.callLater(seconds, self._give_up)
        else:
            self._finish()

    def _send(self) -> None:
        number = self._next
        self._next += 1
        self._outstanding.add(number)
        port = self._task.addresses[number % len(self._task.addresses)]
        if port not in self._connections:
            self._connections[port] = client.Connections(self._reactor, port)
        self._lags_ms[number] = self._age_ms(number)
        self._connections[port].send(
            self._request, lambda body: self._on_reply(number, body)
        )
        self._schedule()

    def _age_ms(self, number: int) -> float:
        intended = self._task.start_at + self._arrivals[number]
        return (clock.monotonic() - intended) * 1000

    def _on_reply(self, number: int, body: bytes | None) -> None:
        if number not in self._outstanding:
            return
        self._outstanding.discard(number)
        reply = _Reply("broken")
        if body is not None:
            reply = msgspec.json.decode(body, type=_Reply)
        coverage = reply.coverage or _Coverage(0, 0)
        self._record.starts.append(self._arrivals[number])
        self._record.latencies_ms.append(self._age_ms(number))
        self._record.outcomes.append(f"{reply.outcome} {reply.kind}".rstrip())
        self._record.covered.append(coverage.covered)
        self._record.shards.append(coverage.shards)
        self._record.lags_ms.append(self._lags_ms.pop(number))
        if not self._outstanding and self._next == len(self._arrivals):
            self._finish()

    def _give_up(self) -> None:
        for number in list(self._outstanding):
            self._on_reply(number, None)

    def _finish(self) -> None:
        seconds = sum(phase.seconds for phase in self._task.phases)
        used = time.process_time() - self._cpu_seconds
        self._record.busy_share = used / seconds
        if self._reactor.running:
            self._reactor.stop()


class _Commands(basic.LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 1_000_000

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._generator: Generator | None = None

    @property
    def record(self) -> Report:
        return Report() if self._generator is None else self._generator.record

    def lineReceived(self, line: bytes) -> None:
        if self._generator is None:
            task = msgspec.json.decode(line, type=Task)
            self._generator = Generator(self._reactor, task)
            self._generator.start()
        else:
            self._generator.set_addresses(msgspec.json.decode(line, type=list[int]))


def main() -> None:
    """Run the generator until all queries have ended."""
    from twisted.internet import reactor

    commands = _Commands(reactor)
    stdio.StandardIO(commands, reactor=reactor)
    reactor.run()
    # The reactor made the standard output non-blocking; a record exceeds a pipe.
    os.set_blocking(sys.stdout.fileno(), True)
    sys.stdout.buffer.write(msgspec.json.encode(commands.record) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
