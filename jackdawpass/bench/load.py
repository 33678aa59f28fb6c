"""Open-loop load generator, run as a separate process.

The first line of standard input is a `Task` as JSON; each later line is a JSON list of
ports that replaces its addresses. When all queries have ended, a `Report` is written to
standard output.
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
    """The load that one generator process sends.

    Attributes
    ----------
    addresses : list of int
        Ports of the entry instances, used in round-robin order.
    path : str
        Path of the query resource.
    body : str
        Body of each query.
    start_at : float
        Monotonic time at which the load starts.
    timeout_ms : int
        Timeout of each query; also bounds the wait after the last arrival.
    """

    addresses: list[int]
    path: str
    body: str
    seed: int
    phases: list[schedule.Phase]
    start_at: float
    timeout_ms: int


class Record(msgspec.Struct):
    """Results of the ended queries, as columns with one entry per query.

    Attributes
    ----------
    starts : list of float
        Intended start in seconds after the start of the load.
    latencies_ms : list of float
        Time from the intended start to the end.
    outcomes : list of str
        ``answer``, the outcome and kind of a problem document, or ``broken`` without a
        reply.
    covered, shards : list of int
        Coverage of the answer; 0 without an answer.
    lags_ms : list of float
        Time from the intended start to the actual one, which is the delay of the
        generator itself.
    """

    starts: list[float] = []
    latencies_ms: list[float] = []
    outcomes: list[str] = []
    covered: list[int] = []
    shards: list[int] = []
    lags_ms: list[float] = []


class Report(Record):
    """The output of one generator process.

    Attributes
    ----------
    busy_share : float
        Processor time as a share of the duration of the load, without start-up.
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
    """Sender of queries at scheduled times, regardless of outstanding ones."""

    def __init__(self, reactor: typing.Any, task: Task) -> None:
        self._reactor = reactor
        self._task = task
        self._arrivals = schedule.arrivals(task.seed, task.phases)
        self._record = Report()
        self._cpu_seconds = time.process_time()
        self._next_number = 0
        self._outstanding: set[int] = set()
        self._pools: dict[int, client.ConnectionPool] = {}
        self._lags_ms: dict[int, float] = {}
        body = task.body.encode()
        head = (
            f"POST {task.path} HTTP/1.1\r\nHost: entry\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._request = head.encode("ascii") + body

    @property
    def record(self) -> Report:
        """Results of the queries that have ended."""
        return self._record

    def start(self) -> None:
        """Schedule the first query."""
        self._schedule()

    def set_addresses(self, addresses: list[int]) -> None:
        """Replace the ports of the entry instances, from the next query on."""
        self._task.addresses = addresses

    def _schedule(self) -> None:
        if self._next_number < len(self._arrivals):
            at = self._task.start_at + self._arrivals[self._next_number]
            delay = max(0.0, at - clock.monotonic())
            self._reactor.callLater(delay, self._send)
        elif self._outstanding:
            seconds = self._task.timeout_ms / 1000 + DRAIN_SECONDS
            self._reactor.callLater(seconds, self._expire_outstanding)
        else:
            self._finish()

    def _send(self) -> None:
        number = self._next_number
        self._next_number += 1
        self._outstanding.add(number)
        port = self._task.addresses[number % len(self._task.addresses)]
        if port not in self._pools:
            self._pools[port] = client.ConnectionPool(self._reactor, port)
        self._lags_ms[number] = self._elapsed_ms(number)
        self._pools[port].send(self._request, lambda body: self._on_reply(number, body))
        self._schedule()

    def _elapsed_ms(self, number: int) -> float:
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
        self._record.latencies_ms.append(self._elapsed_ms(number))
        self._record.outcomes.append(f"{reply.outcome} {reply.kind}".rstrip())
        self._record.covered.append(coverage.covered)
        self._record.shards.append(coverage.shards)
        self._record.lags_ms.append(self._lags_ms.pop(number))
        if not self._outstanding and self._next_number == len(self._arrivals):
            self._finish()

    def _expire_outstanding(self) -> None:
        for number in list(self._outstanding):
            self._on_reply(number, None)

    def _finish(self) -> None:
        seconds = sum(phase.seconds for phase in self._task.phases)
        cpu_seconds = time.process_time() - self._cpu_seconds
        self._record.busy_share = cpu_seconds / seconds
        if self._reactor.running:
            self._reactor.stop()


class _CommandReceiver(basic.LineOnlyReceiver):
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
    """Run the generator until all queries have ended, then write its report."""
    from twisted.internet import reactor

    commands = _CommandReceiver(reactor)
    stdio.StandardIO(commands, reactor=reactor)
    reactor.run()
    # The reactor made standard output non-blocking, and a report can exceed the
    # capacity of a pipe.
    os.set_blocking(sys.stdout.fileno(), True)
    sys.stdout.buffer.write(msgspec.json.encode(commands.record) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
