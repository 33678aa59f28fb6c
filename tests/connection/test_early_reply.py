"""Replies that arrive before their request is sent, over real sockets."""

import collections.abc
import select
import socket
import typing

import pytest
from twisted.internet import task, tcp

from jackdawpass.connection import dialect, http_connection

HEAD = b"POST /a HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n"
# More than the send and receive buffers of a loopback connection hold together.
BODY = b"x" * 4_000_000
REPLY = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
READ_TIMEOUT_SECONDS = 5.0


class Reactor(task.Clock):
    """Reactor that notes which transports wait to write."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: set[tcp.Connection] = set()

    def addWriter(self, writer: tcp.Connection) -> None:
        self.writers.add(writer)

    def removeWriter(self, writer: tcp.Connection) -> None:
        self.writers.discard(writer)

    def addReader(self, reader: tcp.Connection) -> None:
        """Accept the reader; the test reads."""

    def removeReader(self, reader: tcp.Connection) -> None:
        """Accept the event."""


class Exchange:
    """A connection over real sockets; the test plays the reactor and the target."""

    def __init__(self, target: socket.socket, own: socket.socket) -> None:
        self.outcomes: list[dialect.HttpReply | http_connection.ExchangeError] = []
        self.connection = http_connection.HttpConnection(self)
        self._target = target
        self._reactor = Reactor()
        self._transport = tcp.Connection(
            own, self.connection, typing.cast(typing.Any, self._reactor)
        )
        self._transport.connected = True
        self.connection.makeConnection(self._transport)

    @property
    def writing(self) -> bool:
        """True while a part of the request waits to be written."""
        return self._transport in self._reactor.writers

    def send(self, request: bytes) -> None:
        self.connection.send(request, self.outcomes.append)

    def receive(self, count: int) -> bytes:
        """Let the target read `count` bytes while the reactor writes."""
        received = bytearray()
        self._target.settimeout(READ_TIMEOUT_SECONDS)
        while len(received) < count:
            if self.writing:
                self._transport.doWrite()
            received += self._target.recv(1 << 20)
        return bytes(received)

    def reply(self) -> None:
        """Let the target reply; wait until the reply has arrived."""
        self._target.sendall(REPLY)
        select.select([self._transport], [], [], READ_TIMEOUT_SECONDS)
        self._transport.doRead()
        assert self.outcomes

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def on_closed(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""


@pytest.fixture
def exchange() -> collections.abc.Iterator[Exchange]:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        own = socket.create_connection(listening.getsockname())
        target, _ = listening.accept()
    own.setblocking(False)
    with target, own:
        yield Exchange(target, own)


def test_connection_with_an_unsent_request_is_not_reused(exchange: Exchange) -> None:
    """Guards against a request written into the middle of an unfinished body."""
    exchange.send(HEAD + BODY)
    assert exchange.writing
    exchange.reply()
    assert isinstance(exchange.outcomes[0], dialect.HttpReply)
    assert not exchange.connection.open


def test_connection_is_reused_once_the_long_request_is_sent(
    exchange: Exchange,
) -> None:
    """Guards against a new connection after each long request."""
    for _ in range(2):
        exchange.outcomes.clear()
        exchange.send(HEAD + BODY)
        assert exchange.receive(len(HEAD + BODY)) == HEAD + BODY
        exchange.reply()
        assert exchange.connection.open


def test_short_request_is_written_at_once(exchange: Exchange) -> None:
    """Guards against a wait for the next iteration of the event loop."""
    exchange.send(b"GET /a HTTP/1.1\r\n\r\n")
    assert not exchange.writing
    exchange.reply()
    assert exchange.connection.open
