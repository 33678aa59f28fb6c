"""HTTP/1.1 connection of a caller: one request at a time, answered in order."""

import collections
import collections.abc
import dataclasses
import typing

import httptools
from twisted.internet import protocol
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import reply_limits
from jackdawpass.version import routes

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Requests that a connection may send before it has received the responses.
MAX_PIPELINED_REQUESTS = 16
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\n%s\r\n"

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request.

    Attributes
    ----------
    target : bytes
        Path and query as received.
    headers : tuple of (bytes, bytes)
        Names as received, with their values.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case; None if absent."""
        return next((v for key, v in self.headers if key.lower() == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingResponse:
    """A response; the length and connection headers are added when it is sent."""

    status: int
    headers: Headers
    body: bytes


class Exchange(typing.Protocol):
    """A request that is being served."""

    def caller_gone(self) -> None:
        """Stop the work for a caller that has disconnected."""

    def expire(self) -> None:
        """Answer at once, as at the deadline."""


class FinishedExchange:
    """A request that was answered immediately."""

    def caller_gone(self) -> None:
        """Do nothing."""

    def expire(self) -> None:
        """Do nothing."""


OnResponse = collections.abc.Callable[[OutgoingResponse], None]


class Handler(typing.Protocol):
    """Handler of complete requests."""

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Current limits for callers."""

    @property
    def closing(self) -> bool:
        """True when connections close after their next response."""

    def handle(self, request: IncomingRequest, on_response: OnResponse) -> Exchange:
        """Serve a request; `on_response` is called once, possibly before returning."""

    def interim_headers(self, request: IncomingRequest) -> Headers | None:
        """Return the headers of an interim response to an accepted request.

        Returns None for no interim response.
        """

    def on_open(self, connection: "CallerConnection") -> None:
        """Add a new connection."""

    def on_closed(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(protocol.Protocol):
    """One connection of a caller."""

    def __init__(self, reactor: typing.Any, handler: Handler) -> None:
        self._reactor = reactor
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._limits = handler.caller_limits
        self._head_bytes = 0
        self._receiving = False
        self._in_head = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # One buffer, since an object for each small chunk would need more memory.
        self._body = bytearray()
        self._body_bytes = 0
        self._framed_bytes = 0
        self._write_paused = False
        self._pending: collections.deque[tuple[IncomingRequest, bool]] = (
            collections.deque()
        )
        self._current: Exchange | None = None
        self._serving = False
        self._closed = False
        self._timer: typing.Any = None
        self._idle_since = clock.monotonic()

    @property
    def idle_since(self) -> float:
        """Monotonic time at which the connection was opened or last answered."""
        return self._idle_since

    @property
    def idle(self) -> bool:
        """True when no request is received or served, and no response being sent."""
        return not (
            self._serving
            or self._pending
            or self._receiving
            or self._write_paused
            # It remains in use until the rest of its last response is sent.
            or self._closed
        )

    def connectionMade(self) -> None:
        """Wait for the first request."""
        transport: typing.Any = self.transport
        transport.setTcpNoDelay(True)
        # The transport calls pauseProducing while the caller does not read.
        transport.registerProducer(self, True)
        self._handler.on_open(self)
        self._set_timer(self._limits.idle_timeout, self.close)

    def pauseProducing(self) -> None:
        """Serve no further request until the caller has read the responses."""
        self._write_paused = True

    def resumeProducing(self) -> None:
        """Serve further requests."""
        self._write_paused = False
        if not self._closed:
            self._serve_next()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` follows."""

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser and serve complete requests."""
        if self._closed:
            return
        if self._in_head or not self._receiving:
            self._head_bytes += len(data)
        self._framed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
            return
        except httptools.HttpParserError:
            self._reject(400)
            return
        if self._in_head and self._head_bytes > self._limits.max_header_bytes:
            self._reject(431)
            return
        if self._receiving and not self._in_head and self._has_endless_framing():
            self._reject(400)
            return
        self._serve_next()

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Stop the request of a caller that has disconnected."""
        self._closed = True
        self._stop_timer()
        self._pending.clear()
        current, self._current = self._current, None
        if current is not None:
            current.caller_gone()
        self._handler.on_closed(self)

    def expire(self) -> None:
        """Answer the current request at once, as at its deadline."""
        if self._current is not None:
            self._current.expire()

    def close(self) -> None:
        """Close the connection once the buffered data is sent."""
        if not self._closed:
            self._closed = True
            self._stop_timer()
            transport: typing.Any = self.transport
            transport.unregisterProducer()
            transport.loseConnection()

    def on_message_begin(self) -> None:
        """Begin a request, by the limits in force now (called by the parser)."""
        self._limits = self._handler.caller_limits
        self._receiving = self._in_head = True
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._set_timer(self._limits.header_timeout, self._on_header_timeout)

    def on_url(self, url: bytes) -> None:
        """Collect the path and query (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        # Headers after the body are trailers, which are not used.
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Process the end of the head (called by the parser)."""
        self._in_head = False
        self._head_bytes = 0
        self._framed_bytes = 0
        self._set_timer(self._limits.idle_timeout, self.close)
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect body bytes (called by the parser)."""
        self._body_bytes += len(body)
        if self._body_bytes <= self._limits.max_body_bytes:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue a complete request (called by the parser)."""
        self._receiving = False
        self._stop_timer()
        if self._is_too_large():
            return
        request = IncomingRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
        )
        self._body = bytearray()
        self._pending.append((request, self._parser.should_keep_alive()))

    def _has_endless_framing(self) -> bool:
        framing_bytes = self._framed_bytes - self._body_bytes
        return not reply_limits.allows_framing(
            framing_bytes, self._body_bytes, self._limits.max_header_bytes
        )

    def _is_too_large(self) -> bool:
        return self._body_bytes > self._limits.max_body_bytes

    def _serve_next(self) -> None:
        if self._is_too_large():
            self._reject(413)
            return
        if len(self._pending) > MAX_PIPELINED_REQUESTS:
            self._reject(400)
            return
        if self._serving or not self._pending or self._closed or self._write_paused:
            return
        request, keep_alive = self._pending.popleft()
        self._serving = True
        self._stop_timer()

        def on_response(response: OutgoingResponse) -> None:
            self._current = None
            self._serving = False
            self._respond(response, keep_alive)

        current = self._handler.handle(request, on_response)
        if self._serving:
            self._current = current
            interim_headers = self._handler.interim_headers(request)
            if interim_headers is not None:
                lines = [b"%s: %s\r\n" % header for header in interim_headers]
                self._write(INTERIM_RESPONSE % b"".join(lines))

    def _respond(self, response: OutgoingResponse, keep_alive: bool) -> None:
        if self._closed:
            return
        is_last = self._handler.closing or not keep_alive
        self._write(encode_response(response, is_last))
        if is_last:
            self.close()
            return
        self._limits = self._handler.caller_limits
        self._idle_since = clock.monotonic()
        if self._pending:
            self._reactor.callLater(0, self._serve_next)
        elif not self._receiving:
            self._set_timer(self._limits.idle_timeout, self.close)

    def _reject(self, status: int) -> None:
        if not self._serving and not self._pending:
            self._write(encode_response(OutgoingResponse(status, (), b""), True))
        self.close()

    def _on_header_timeout(self) -> None:
        self._timer = None
        self._reject(408)

    def _write(self, data: bytes) -> None:
        transport: typing.Any = self.transport
        transport.write(data)

    def _set_timer(
        self, seconds: float, action: collections.abc.Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self._reactor.callLater(seconds, action)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class CallerFactory(protocol.Factory):
    """Factory of the connections of callers."""

    noisy = False

    def __init__(self, reactor: typing.Any, handler: Handler) -> None:
        self._reactor = reactor
        self._handler = handler

    def buildProtocol(self, addr: object) -> CallerConnection:
        """Return a new connection."""
        return CallerConnection(self._reactor, self._handler)


def encode_response(response: OutgoingResponse, is_last: bool) -> bytes:
    """Encode a response; `is_last` says that the connection closes after it."""
    reason = REASONS.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}".encode()]
    lines += [name + b": " + value for name, value in response.headers]
    lines.append(b"Content-Length: %d" % len(response.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body
