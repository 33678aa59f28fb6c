"""Connections of callers: framing, limits, order of responses and closing."""

import tracemalloc
import typing

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from jackdawpass.connection import ingress
from jackdawpass.version import routes

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Served:
    """A request that the test answers at a chosen time."""

    def __init__(
        self, request: ingress.IncomingRequest, answer: ingress.OnResponse
    ) -> None:
        self.request = request
        self.answer = answer
        self.gone = False

    def caller_gone(self) -> None:
        self.gone = True

    def expire(self) -> None:
        self.answer(ingress.OutgoingResponse(504, (), b""))


class Handler:
    """Handler that records requests."""

    def __init__(self) -> None:
        self.caller_limits = routes.CallerLimits(100, 10, 3.0, 15.0)
        self.closing = False
        self.interim: ingress.Headers | None = None
        self.served: list[Served] = []
        self.open: set[ingress.CallerConnection] = set()

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> Served:
        self.served.append(Served(request, on_response))
        return self.served[-1]

    def interim_headers(
        self, request: ingress.IncomingRequest
    ) -> ingress.Headers | None:
        return self.interim

    def on_open(self, connection: ingress.CallerConnection) -> None:
        self.open.add(connection)

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        self.open.discard(connection)


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


class Caller:
    """One connection to a handler."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.handler = Handler()
        self.transport = Transport()
        self.connection = ingress.CallerConnection(self.clock, self.handler)
        self.connection.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def answer(self, position: int, body: bytes = b"ok") -> None:
        self.handler.served[position].answer(ingress.OutgoingResponse(200, (), body))
        self.clock.advance(0)

    @property
    def written(self) -> bytes:
        return self.transport.value()

    @property
    def status(self) -> bytes:
        return self.written.split(b" ", 2)[1]


@pytest.fixture
def caller() -> Caller:
    return Caller()


def test_response_has_a_length_and_keeps_the_connection(caller: Caller) -> None:
    """Guards against a response whose end a caller cannot detect."""
    caller.send(GET)
    caller.answer(0)
    assert caller.written == b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    assert not caller.transport.disconnecting


def test_request_in_pieces_with_chunked_body(caller: Caller) -> None:
    """Guards against a body that depends on how it was split."""
    head = b"POST /a?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    for byte in head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n":
        caller.send(bytes((byte,)))
    request = caller.handler.served[0].request
    assert (request.method, request.target) == (b"POST", b"/a?x=1")
    assert request.body == b"abc"


def test_upload_in_tiny_chunks_holds_little_more_than_its_payload(
    caller: Caller,
) -> None:
    """Guards against uploads that hold many times the bytes of their bodies."""
    caller.handler.caller_limits = routes.CallerLimits(100, 262_144, 3.0, 15.0)
    upload = ingress.CallerConnection(caller.clock, caller.handler)
    upload.makeConnection(Transport())
    upload.dataReceived(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    payload_bytes = 240 * 1024
    chunks = b"2\r\nab\r\n" * (payload_bytes // 2 // 16)
    tracemalloc.start()
    try:
        for _ in range(16):
            upload.dataReceived(chunks)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # A buffer that grows may have some spare capacity.
    assert held_bytes <= 2 * payload_bytes
    upload.dataReceived(b"0\r\n\r\n")
    assert caller.handler.served[0].request.body == b"ab" * (payload_bytes // 2)


def test_kept_connection_follows_changed_limits(caller: Caller) -> None:
    """Guards against a proper body refused by the limits of an older version."""
    caller.send(GET)
    caller.answer(0)
    caller.handler.caller_limits = routes.CallerLimits(100, 20, 3.0, 15.0)
    caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n")
    caller.send(b"x" * 20)
    assert len(caller.handler.served) == 2
    caller.handler.caller_limits = routes.CallerLimits(100, 10, 3.0, 15.0)
    caller.answer(1)
    caller.transport.clear()
    caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n")
    caller.send(b"x" * 20)
    assert caller.status == b"413"


def test_connection_is_busy_until_its_response_is_sent(caller: Caller) -> None:
    """Guards against an exit while a caller still reads its answer."""
    caller.send(GET)
    assert not caller.connection.idle
    caller.answer(0)
    assert caller.connection.idle
    caller.connection.pauseProducing()
    assert not caller.connection.idle
    caller.connection.resumeProducing()
    assert caller.connection.idle
    # The transport sends what it holds before the connection is lost.
    caller.connection.close()
    assert not caller.connection.idle


def test_request_that_expires_is_answered(caller: Caller) -> None:
    """Guards against a stop that closes a connection in the place of an answer."""
    caller.connection.expire()
    caller.send(GET)
    caller.handler.closing = True
    caller.connection.expire()
    assert caller.status == b"504" and caller.transport.disconnecting


def test_pipelined_requests_are_answered_in_order(caller: Caller) -> None:
    """Guards against a response that reaches another request."""
    caller.send(GET + GET.replace(b"/a", b"/b"))
    assert len(caller.handler.served) == 1
    caller.answer(0, b"one")
    assert caller.handler.served[1].request.target == b"/b"
    caller.answer(1, b"two")
    assert caller.written.index(b"one") < caller.written.index(b"two")


def test_close_by_the_caller_stops_the_request(caller: Caller) -> None:
    """Guards against targets that work for a caller that disconnected."""
    caller.send(GET)
    caller.connection.connectionLost()
    assert caller.handler.served[0].gone
    assert not caller.handler.open
    caller.answer(0)
    assert caller.written == b""


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nX: " + b"x" * 200, b"431"),
        (b"POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n" + b"x" * 11, b"413"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_improper_request_is_refused_and_the_connection_closed(
    caller: Caller, data: bytes, status: bytes
) -> None:
    """Guards against smuggled requests and against unbounded memory."""
    caller.send(data)
    assert caller.status == status
    assert caller.transport.disconnecting
    assert not caller.handler.served


def test_slow_head_times_out(caller: Caller) -> None:
    """Guards against connections that hold memory forever."""
    caller.send(b"GET /a")
    caller.clock.advance(3.0)
    assert caller.status == b"408"


def test_idle_connection_closes_after_its_limit(caller: Caller) -> None:
    """Guards against closing an idle connection that its caller may still use."""
    caller.send(GET)
    caller.answer(0)
    caller.clock.advance(14.9)
    assert not caller.transport.disconnecting
    caller.clock.advance(0.2)
    assert caller.transport.disconnecting


def test_idle_limit_does_not_apply_while_serving(caller: Caller) -> None:
    """Guards against closing while a request is being served."""
    caller.send(GET)
    caller.clock.advance(60)
    caller.answer(0)
    assert caller.written.startswith(b"HTTP/1.1 200")


def test_planned_stop_announces_the_close_with_the_response(caller: Caller) -> None:
    """Guards against callers that send more on a connection that will close."""
    caller.send(GET)
    assert not caller.connection.idle
    caller.handler.closing = True
    caller.answer(0)
    assert b"Connection: close" in caller.written
    assert caller.transport.disconnecting


def test_immediate_response_is_sent_once(caller: Caller) -> None:
    """Guards against a response sent twice if the handler answers before it returns."""
    plain: typing.Any = caller.handler
    answer = ingress.OutgoingResponse(503, ((b"Retry-After", b"0.1"),), b"")
    plain.handle = lambda request, on_response: on_response(answer)
    caller.send(GET)
    assert caller.written.count(b"HTTP/1.1 503 Service Unavailable") == 1
    assert caller.connection.idle


@pytest.mark.parametrize(
    ("headers", "lines"),
    [((), b""), (((b"a", b"1"), (b"b", b"2")), b"a: 1\r\nb: 2\r\n")],
)
def test_accepted_request_is_acknowledged_before_its_response(
    caller: Caller, headers: ingress.Headers, lines: bytes
) -> None:
    """Guards against sending a request elsewhere while an instance works on it."""
    caller.handler.interim = headers
    caller.send(GET)
    interim = ingress.INTERIM_RESPONSE % lines
    assert caller.written == interim
    caller.answer(0)
    assert caller.written.startswith(interim + b"HTTP/1.1 200 OK")


@pytest.mark.parametrize(
    "repeated", [b"a: b\r\n", b"1;" + b"x" * 30, b"a:" + b"x" * 30]
)
def test_framing_without_end_is_refused(caller: Caller, repeated: bytes) -> None:
    """Guards against trailers or chunk extensions that fill the memory."""
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller.send(head + (b"" if repeated.startswith(b"1;") else b"0\r\n"))
    for _ in range(20):
        caller.send(repeated)
    assert caller.status == b"400"
    assert caller.transport.disconnecting
    assert not caller.handler.served


def test_caller_that_does_not_read_is_not_served_further(caller: Caller) -> None:
    """Guards against responses that pile up for a caller that only sends."""
    caller.send(GET)
    caller.connection.pauseProducing()
    caller.answer(0)
    caller.send(GET)
    assert len(caller.handler.served) == 1
    caller.connection.resumeProducing()
    assert len(caller.handler.served) == 2


def test_connection_closes_while_its_caller_does_not_read(caller: Caller) -> None:
    """Guards against a producer that keeps a closing connection open."""
    caller.connection.pauseProducing()
    caller.connection.close()
    assert caller.transport.producer is None
    assert caller.transport.disconnecting
