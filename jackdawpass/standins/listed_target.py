"""Stand-in for a target of the platform: one shard, or one server of a service."""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

from jackdawpass import clock
from jackdawpass.standins import wire

RECORD_BYTES = 16


class ListedOptions(msgspec.Struct):
    """How a target behaves from its start; ``POST /control/faults`` changes it.

    Attributes
    ----------
    name : str
        Id under which the target is listed.
    group : str
        Service; all targets of one answer alike.
    records : int
        Number of records in an answer.
    work_ms : float
        Time that a request takes.
    """

    name: str
    group: str
    records: int = 4
    work_ms: float = 1.0
    faults: "TargetFaults" = msgspec.field(default_factory=lambda: TargetFaults())


class TargetFaults(msgspec.Struct):
    """Faults of a target.

    Attributes
    ----------
    mode : str
        ``""``, ``error`` (500), ``shed``, ``hang``, ``reset`` (after running),
        ``unframed`` (no length), ``cut`` (half of the body) or ``extra`` (a second
        answer follows late).
    slow_ms : float
        Added to the work of each request.
    """

    mode: str = ""
    slow_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the target ran, `at` monotonic seconds of the machine."""

    request_id: str
    method: str
    path: str
    body: str
    at: float


def group_records(group: str, path: str, count: int) -> list[bytes]:
    """Return the records that each target of a group answers to a path."""
    return [
        hashlib.blake2b(
            f"{group} {path} {number}".encode(), digest_size=RECORD_BYTES
        ).digest()
        for number in range(count)
    ]


class ListedTarget:
    """A target that runs requests, and remembers which.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    options : ListedOptions
        How it behaves.
    """

    def __init__(self, reactor: typing.Any, options: ListedOptions) -> None:
        self._reactor = reactor
        self._options = options
        self._faults = options.faults
        self._runs: list[Run] = []
        self._working: dict[wire.ServerConnection, typing.Any] = {}
        self._withdrawn = 0

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(port, wire.ServerFactory(self), interface=host)

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Stop the work for a closed connection."""
        timer = self._working.pop(connection, None)
        if timer is not None and timer.active():
            timer.cancel()
            self._withdrawn += 1

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Run, refuse or spoil a request."""
        if request.path.startswith("/control/"):
            self._control(connection, request)
            return
        expected = request.headers.get("x-expect-instance", self._options.name)
        if expected != self._options.name:
            connection.write(_encode(421, {}, b""))
            return
        if self._faults.mode == "shed":
            connection.write(_encode(503, {"X-Not-Executed": "1"}, b""))
            return
        request_id = request.headers.get("x-attempt-id", "")
        body = request.body.decode("latin-1")
        self._runs.append(
            Run(request_id, request.method, request.path, body, clock.monotonic())
        )
        if self._faults.mode == "hang":
            return
        seconds = (self._options.work_ms + self._faults.slow_ms) / 1000
        self._working[connection] = self._reactor.callLater(
            seconds, self._answer, connection, request, request_id
        )

    def _answer(
        self, connection: wire.ServerConnection, request: wire.Request, request_id: str
    ) -> None:
        self._working.pop(connection, None)
        fields = {
            "X-Attempt-Id": request_id,
            "X-Response-Stamp": f"{self._options.group}:{request_id}:{len(self._runs)}",
        }
        options = self._options
        body = b"".join(group_records(options.group, request.path, options.records))
        mode = self._faults.mode
        if mode == "reset":
            connection.reset()
        elif mode == "error":
            connection.write(_encode(500, fields, b"failed"))
        elif mode == "cut":
            whole = _encode(200, fields, body)
            connection.write(whole[: len(whole) - len(body) // 2])
            self._reactor.callLater(0.01, connection.reset)
        elif mode == "unframed":
            connection.write(_encode(200, fields, body, framed=False))
            if connection.transport is not None:
                connection.transport.loseConnection()
        else:
            connection.write(_encode(200, fields, body))
            if mode == "extra":
                late = _encode(200, fields, body)
                self._reactor.callLater(0.005, connection.write, late)

    def _control(
        self, connection: wire.ServerConnection, request: wire.Request
    ) -> None:
        if request.path == "/control/faults":
            self._faults = msgspec.convert(request.document(), TargetFaults)
        runs = [dataclasses.asdict(run) for run in self._runs]
        connection.reply(200, {"runs": runs, "withdrawn": self._withdrawn})


def _encode(
    status: int,
    fields: collections.abc.Mapping[str, str],
    body: bytes,
    framed: bool = True,
) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
