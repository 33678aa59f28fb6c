"""Kept HTTP connections of the load generator, apart from the product's client."""

import collections
import collections.abc
import typing

import httptools
from twisted.internet import endpoints, protocol
from twisted.python import failure

CONNECT_TIMEOUT_SECONDS = 2.0

OnReply = collections.abc.Callable[[bytes | None], None]


class Connection(protocol.Protocol):
    """One connection that carries one exchange at a time."""

    def __init__(self, owner: "Connections") -> None:
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._on_reply: OnReply | None = None
        self._body = b""

    def send(self, request: bytes, on_reply: OnReply) -> None:
        """Send a request; the reply is None when the connection is lost."""
        self._on_reply = on_reply
        self._body = b""
        assert self.transport is not None
        self.transport.write(request)

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Report the loss to the outstanding exchange."""
        self._owner.on_closed(self)
        self._end(None)

    def on_body(self, body: bytes) -> None:
        """Collect body bytes (called by the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Give back the connection and report the reply (called by the parser)."""
        if self._parser.should_keep_alive():
            self._owner.on_idle(self)
        self._end(self._body)

    def _end(self, body: bytes | None) -> None:
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is not None:
            on_reply(body)


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, owner: "Connections") -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> Connection:
        return Connection(self._owner)


class Connections:
    """Connections to one entry instance; opens another when none is idle."""

    def __init__(self, reactor: typing.Any, port: int) -> None:
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, "127.0.0.1", port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._idle: collections.deque[Connection] = collections.deque()

    def send(self, request: bytes, on_reply: OnReply) -> None:
        """Send a request at once."""
        if self._idle:
            self._idle.pop().send(request, on_reply)
            return
        connecting = self._endpoint.connect(_Factory(self))
        connecting.addCallbacks(
            lambda connection: connection.send(request, on_reply),
            lambda _: on_reply(None),
        )

    def on_idle(self, connection: Connection) -> None:
        """Keep a connection whose reply is complete."""
        self._idle.append(connection)

    def on_closed(self, connection: Connection) -> None:
        """Forget a closed connection."""
        if connection in self._idle:
            self._idle.remove(connection)
