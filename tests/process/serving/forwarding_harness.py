"""Forwarder whose aggregators a test plays."""

import random
import typing

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process.serving import aggregators, forwarding, peer_wire

PONG = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    b"jackdawpass-version: %d\r\njackdawpass-state: %s\r\n\r\n"
)
ANSWER = PONG.replace(b"Content-Length: 0", b"x-own: 1\r\nContent-Length: 2") + b"ok"


class Transport(StringTransport):
    """In-memory transport that only records an abort."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.disconnecting = True


class Harness:
    """A forwarder whose aggregators are simulated by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, names: str) -> None:
        self.reactor = MemoryReactorClock()
        monkeypatch.setattr(clock, "monotonic", self.reactor.seconds)
        generator = random.Random(1)
        self.forwarder = forwarding.Forwarder(self.reactor, generator, lambda *_: None)
        self.answers: list[ingress.OutgoingResponse] = []
        self.fallbacks = 0
        self.links: dict[int, list[tuple[typing.Any, Transport]]] = {}
        members = [
            aggregators.Member(name, "a", "127.0.0.1", port, 1.0)
            for port, name in enumerate(names)
        ]
        self.forwarder.apply(members)

    def connect(self) -> None:
        """Accept all pending connection attempts."""
        while self.reactor.tcpClients:
            _, port, factory, _, _ = self.reactor.tcpClients.pop(0)
            connection: typing.Any = factory.buildProtocol(None)
            transport = Transport()
            connection.makeConnection(transport)
            self.links.setdefault(port, []).append((connection, transport))

    def refuse(self) -> None:
        """Refuse all pending connection attempts."""
        while self.reactor.tcpClients:
            factory: typing.Any = self.reactor.tcpClients.pop(0)[2]
            factory.clientConnectionFailed(None, failure.Failure(error.ConnectError()))

    def reply(self, port: int, data: bytes, start: bytes = b"GET /x") -> bytes:
        """Answer the request written to an aggregator and return the request."""
        for connection, transport in self.links[port]:
            written = bytes(transport.value())
            if written.startswith(start):
                transport.clear()
                connection.dataReceived(data)
                return written
        raise AssertionError("no request was written")

    def make_ready(self, port: int, version: int = 1, state: bytes = b"ready") -> None:
        self.connect()
        self.reply(port, PONG % (version, state), peer_wire.PING)

    def forward(self) -> ingress.Exchange:
        return self.forwarder.forward_request(
            "r1",
            lambda timeout, version, is_repeat: (
                b"GET /x v%d%s\r\n\r\n" % (version, b" repeat" * is_repeat)
            ),
            1.0,
            self.answers.append,
            self.fall_back,
        )

    def fall_back(self) -> ingress.Exchange:
        self.fallbacks += 1
        return ingress.FinishedExchange()
