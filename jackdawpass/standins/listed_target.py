"""Stand-in for a target listed by the platform: a shard or a server of a service."""

import collections.abc
import dataclasses
import functools
import hashlib
import typing

import msgspec

from jackdawpass import clock
from jackdawpass.standins import http_server

RECORD_BYTES = 16


class ListedOptions(msgspec.Struct):
    """Initial behaviour of a target; ``POST /control/faults`` replaces the faults.

    Attributes
    ----------
    name : str
        Id of the target in the platform's list.
    group : str
        Service of the target; all targets of a service return the same records.
    records : int
        Number of records in an answer.
    work_ms : float
        Running time of a request.
    """

    name: str
    group: str
    records: int = 4
    work_ms: float = 1.0
    faults: "TargetFaults" = msgspec.field(default_factory=lambda: TargetFaults())


class TargetFaults(msgspec.Struct):
    """Faults that tests inject through ``POST /control/faults``.

    Attributes
    ----------
    mode : str
        ``""``, ``error`` (status 500), ``shed``, ``hang``, ``reset`` (after the
        request has run), ``unframed`` (no ``Content-Length``), ``cut`` (half of the
        body), ``cut_head`` (half of the head, then a close), ``extra`` (a second
        response follows shortly after), ``copy`` (a copy of the previous response of
        the connection precedes the response), ``anonymous_copy`` (the same without
        the request's id) or ``status_`` with the three digits of a status.
    slow_ms : float
        Added to the running time of each request.
    leaving : bool
        Every response says that the target leaves.
    retry_after : str
        ``Retry-After`` of the mode ``shed``; empty for none.
    """

    mode: str = ""
    slow_ms: float = 0.0
    leaving: bool = False
    retry_after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the target has run, and its start in monotonic seconds."""

    request_id: str
    method: str
    path: str
    body: str
    at: float


@functools.lru_cache(maxsize=16)
def group_records(group: str, path: str, count: int) -> tuple[bytes, ...]:
    """Return the records that each target of a group returns for a path.

    The result is cached, since some tests request large answers repeatedly.
    """
    return tuple(
        hashlib.blake2b(
            f"{group} {path} {number}".encode(), digest_size=RECORD_BYTES
        ).digest()
        for number in range(count)
    )


class ListedTarget:
    """A target that records the requests it runs.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor of the process.
    options : ListedOptions
        Initial behaviour.
    """

    def __init__(self, reactor: typing.Any, options: ListedOptions) -> None:
        self._reactor = reactor
        self._options = options
        self._faults = options.faults
        self._runs: list[Run] = []
        self._reply_timers: dict[http_server.ServerConnection, typing.Any] = {}
        self._last_responses: dict[http_server.ServerConnection, bytes] = {}
        self._cancelled = 0
        self._refused_at: list[float] = []

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(
            port, http_server.ServerFactory(self), interface=host
        )

    def on_open(self, connection: http_server.ServerConnection) -> None:
        """Do nothing, as connections are not limited."""

    def on_closed(self, connection: http_server.ServerConnection) -> None:
        """Cancel the pending response of a closed connection."""
        self._last_responses.pop(connection, None)
        timer = self._reply_timers.pop(connection, None)
        if timer is not None and timer.active():
            timer.cancel()
            self._cancelled += 1

    def handle(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        """Run or refuse a request, subject to the injected faults."""
        if request.path.startswith("/control/"):
            self._handle_control(connection, request)
            return
        request_id = request.headers.get("x-attempt-id", "")
        identity = {"X-Attempt-Id": request_id} | self._notices()
        expected_instance = request.headers.get("x-expect-instance", self._options.name)
        if expected_instance != self._options.name:
            connection.write(_encode_response(421, identity, b""))
            return
        if self._faults.mode == "shed":
            refusal = identity | {"X-Not-Executed": "1"}
            self._refused_at.append(clock.monotonic())
            if self._faults.retry_after:
                refusal["Retry-After"] = self._faults.retry_after
            connection.write(_encode_response(503, refusal, b""))
            return
        if self._faults.mode.endswith("copy"):
            connection.write(self._last_responses.get(connection, b""))
        body = request.body.decode("latin-1")
        self._runs.append(
            Run(request_id, request.method, request.path, body, clock.monotonic())
        )
        if self._faults.mode == "hang":
            return
        seconds = (self._options.work_ms + self._faults.slow_ms) / 1000
        self._reply_timers[connection] = self._reactor.callLater(
            seconds, self._send_response, connection, request, request_id
        )

    def _send_response(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        request_id: str,
    ) -> None:
        self._reply_timers.pop(connection, None)
        headers = {
            "X-Attempt-Id": request_id,
            "X-Response-Stamp": f"{self._options.group}:{request_id}:{len(self._runs)}",
        } | self._notices()
        options = self._options
        body = b"".join(group_records(options.group, request.path, options.records))
        mode = self._faults.mode
        if mode == "reset":
            connection.reset()
        elif mode == "error":
            connection.write(_encode_response(500, headers, b"failed"))
        elif mode.startswith("status_"):
            status = mode.removeprefix("status_")
            connection.write(_encode_response(status, headers, body))
        elif mode == "cut":
            response = _encode_response(200, headers, body)
            connection.write(response[: len(response) - len(body) // 2])
            self._reactor.callLater(0.01, connection.reset)
        elif mode == "cut_head":
            head, _, _ = _encode_response(200, headers, body).partition(b"\r\n\r\n")
            connection.write(head[: len(head) // 2])
            if connection.transport is not None:
                connection.transport.loseConnection()
        elif mode == "unframed":
            connection.write(_encode_response(200, headers, body, framed=False))
            if connection.transport is not None:
                connection.transport.loseConnection()
        else:
            connection.write(_encode_response(200, headers, body))
            if mode == "anonymous_copy":
                del headers["X-Attempt-Id"]
            self._last_responses[connection] = _encode_response(200, headers, body)
            if mode == "extra":
                second_response = _encode_response(200, headers, body)
                self._reactor.callLater(0.005, connection.write, second_response)

    def _notices(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self._faults.leaving else {}

    def _handle_control(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        if request.path == "/control/faults":
            self._faults = msgspec.convert(request.document(), TargetFaults)
        runs = [dataclasses.asdict(run) for run in self._runs]
        connection.reply(
            200,
            {
                "runs": runs,
                "withdrawn": self._cancelled,
                "refused_at": self._refused_at,
            },
        )


def _encode_response(
    status: int | str,
    headers: collections.abc.Mapping[str, str],
    body: bytes,
    framed: bool = True,
) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
