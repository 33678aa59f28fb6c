"""Tests of the pool of connections to one target."""

import typing

import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from jackdawpass.connection import dialect, http_connection, pool

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Transport(StringTransport):
    """Memory transport that reports an abort on `closed`."""

    closed = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Record the abort; the test reports the loss, as a reactor would."""
        self.closed = True


class Network:
    """Network that answers the connects of a pool."""

    def __init__(self, limit: int, linger_seconds: float = 0.0) -> None:
        self.reactor = MemoryReactorClock()
        self.pool = pool.Pool(self.reactor, "127.0.0.1", 1, limit, linger_seconds)
        self.links: list[tuple[typing.Any, Transport]] = []
        self.taken: list[http_connection.HttpConnection | None] = []

    @property
    def pending(self) -> list[typing.Any]:
        """Connects that are not answered."""
        return self.reactor.tcpClients

    def connect(self) -> Transport:
        """Answer the oldest connect."""
        protocol = self.pending.pop(0)[2].buildProtocol(None)
        transport = Transport()
        self.links.append((protocol, transport))
        protocol.makeConnection(transport)
        return transport

    def refuse(self) -> None:
        """Refuse the oldest connect."""
        factory = self.pending.pop(0)[2]
        factory.clientConnectionFailed(None, failure.Failure(error.ConnectError()))

    def lose(self, position: int) -> None:
        """Report the loss of a connection."""
        protocol, transport = self.links.pop(position)
        transport.closed = True
        protocol.connectionLost(failure.Failure(error.ConnectionLost()))

    def reap(self) -> None:
        """Report the loss of aborted connections, as the reactor does later."""
        for position in reversed(range(len(self.links))):
            if self.links[position][1].closed:
                self.lose(position)

    def acquire(self) -> None:
        """Ask for a connection."""
        self.pool.acquire(self.taken.append)


def test_opens_a_spare_for_concurrent_requests_only() -> None:
    """Guards against bursts that wait for a connect, and against needless connects."""
    network = Network(limit=3)
    network.acquire()
    network.connect()
    for _ in range(3):
        first = network.taken.pop()
        assert first is not None
        network.pool.release(first)
        network.acquire()
    assert not network.pending
    network.acquire()
    network.connect()
    assert network.pool.size == 2
    second = network.taken.pop()
    assert second is not None
    network.pool.release(second)
    network.acquire()
    assert network.taken[-1] is second
    assert len(network.pending) == 1


def test_reopens_after_the_loss_of_a_busy_connection_only() -> None:
    """Guards against a loop of connects to a target that closes idle connections."""
    network = Network(limit=1)
    network.acquire()
    network.connect()
    network.lose(0)
    assert len(network.pending) == 1
    network.connect()
    assert network.pool.idle == 1
    network.lose(0)
    assert not network.pending


def test_reply_to_an_abandoned_exchange_is_reported_without_body() -> None:
    """Guards against headers about a target that are lost with an unwanted reply."""
    network = Network(limit=1, linger_seconds=0.25)
    network.acquire()
    network.connect()
    connection = network.taken.pop()
    assert connection is not None
    connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda _: None)
    replies: list[dialect.HttpReply] = []
    network.pool.abandon(connection, on_reply=replies.append)
    connection.dataReceived(REPLY.replace(b"\r\n\r\n", b"\r\nx-a: 1\r\n\r\n"))
    assert [(reply.header(b"x-a"), reply.body) for reply in replies] == [(b"1", b"")]
    assert network.pool.idle == 1


def test_failed_connect_refuses_all_waiting_requests() -> None:
    """Guards against requests that wait for a dead target until their deadline."""
    network = Network(limit=1)
    for _ in range(3):
        network.acquire()
    network.refuse()
    assert network.taken == [None, None, None]
    assert network.pool.size == 0


def test_requests_that_ended_while_waiting_are_passed_over() -> None:
    """Guards against a recursion as deep as the number of ended requests."""
    network = Network(limit=1)
    ended = 5000
    for _ in range(ended):
        network.pool.acquire(
            lambda connection: (
                None if connection is None else network.pool.release(connection)
            )
        )
    network.acquire()
    network.connect()
    assert len(network.taken) == 1 and network.taken[0] is not None


def test_busy_connection_never_returns_to_the_pool() -> None:
    """Guards against a late reply that reaches the next request."""
    network = Network(limit=1)
    network.acquire()
    network.connect()
    connection = network.taken[0]
    assert connection is not None
    connection.send(b"request", lambda outcome: None)
    with pytest.raises(RuntimeError):
        network.pool.release(connection)
    connection.abort()
    network.pool.release(connection)
    assert network.pool.idle == 0


@pytest.mark.parametrize("extra", [REPLY, b"HTTP/1.1 200", REPLY[:40]])
def test_reply_followed_by_more_bytes_is_used_and_closes(extra: bytes) -> None:
    """Guards against a second reply that alters the first or reaches a new request."""
    network = Network(limit=1)
    network.acquire()
    transport = network.connect()
    connection = network.taken[0]
    assert connection is not None
    outcomes: list[object] = []
    connection.send(b"request", outcomes.append)
    connection.dataReceived(REPLY + extra)
    headers = ((b"content-length", b"2"),)
    assert outcomes == [dialect.HttpReply(200, b"{}", headers)]
    assert transport.closed
    network.pool.release(connection)
    assert network.pool.idle == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ("acquire", "connect", "refuse", "release", "abort", "lose", "limit")
            ),
            strategies.integers(0, 5),
        ),
        max_size=60,
    )
)
def test_limit_holds_for_any_history(history: list[tuple[str, int]]) -> None:
    """Guards against more open connections than the share of the target's limit."""
    network = Network(limit=3)
    allowed = 3
    for event, number in history:
        held = [c for c in network.taken if c is not None and c.open]
        before = network.pool.size
        if event == "acquire":
            network.acquire()
        elif event == "connect" and network.pending:
            network.connect()
        elif event == "refuse" and network.pending:
            network.refuse()
        elif event == "release" and held:
            network.taken.remove(held[0])
            network.pool.release(held[0])
        elif event == "abort" and held:
            held[0].abort()
        elif event == "lose" and number < len(network.links):
            network.lose(number)
        elif event == "limit":
            allowed = number
            network.pool.set_limit(number)
        network.reap()
        assert len(network.links) + len(network.pending) <= network.pool.size
        assert network.pool.size <= max(allowed, before)
        network.reactor.advance(number * pool.ABORT_GRACE_SECONDS / 4)
    network.reactor.advance(1.0)
    assert len(network.links) + len(network.pending) == network.pool.size
