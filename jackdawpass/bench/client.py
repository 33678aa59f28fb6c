"""HTTP client of the load generator, independent of the product's client."""

import collections
import collections.abc
import typing

import httptools
from twisted.internet import endpoints, protocol
from twisted.python import failure

CONNECT_TIMEOUT_SECONDS = 2.0

OnReply = collections.abc.Callable[[bytes | None], None]


class Connection(protocol.Protocol):
    """A persistent connection that carries one exchange at a time."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._on_reply: OnReply | None = None
        self._body = b""

    def send(self, request: bytes, on_reply: OnReply) -> None:
        """Send a request; `on_reply` gets None if the connection is lost."""
        self._on_reply = on_reply
        self._body = b""
        assert self.transport is not None
        self.transport.write(request)

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]

    def dataReceived(self, data: bytes) -> None:
        """Pass received data to the parser."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Fail the outstanding exchange."""
        self._pool.on_closed(self)
        self._complete(None)

    def on_body(self, body: bytes) -> None:
        """Append body bytes (called by the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Make the connection idle and pass on the reply (called by the parser)."""
        if self._parser.should_keep_alive():
            self._pool.on_idle(self)
        self._complete(self._body)

    def _complete(self, body: bytes | None) -> None:
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is not None:
            on_reply(body)


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, pool: "ConnectionPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: object) -> Connection:
        return Connection(self._pool)


class ConnectionPool:
    """Pool of connections to one entry instance, which grows when none is idle."""

    def __init__(self, reactor: typing.Any, port: int) -> None:
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, "127.0.0.1", port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._idle: collections.deque[Connection] = collections.deque()

    def send(self, request: bytes, on_reply: OnReply) -> None:
        """Send a request on an idle connection or on a new one, without queueing."""
        if self._idle:
            self._idle.pop().send(request, on_reply)
            return
        connecting = self._endpoint.connect(_Factory(self))
        connecting.addCallbacks(
            lambda connection: connection.send(request, on_reply),
            lambda _: on_reply(None),
        )

    def on_idle(self, connection: Connection) -> None:
        """Make a connection available again after its reply is complete."""
        self._idle.append(connection)

    def on_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        if connection in self._idle:
            self._idle.remove(connection)
