"""Replies and interim replies on a client connection."""

import typing

import pytest
from twisted.internet.testing import StringTransport

from jackdawpass.connection import dialect, http_connection, ingress

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Accept the abort."""


class Link:
    """A connection that records its events."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.connection = http_connection.HttpConnection(self)
        self.connection.makeConnection(Transport())

    def send(self) -> None:
        self.connection.send(b"GET", self._on_done, None, self._on_interim)

    def receive(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def on_closed(self, closed: http_connection.HttpConnection) -> None:
        self.events.append("closed")

    def _on_interim(self) -> None:
        self.events.append("interim")

    def _on_done(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        is_reply = isinstance(outcome, dialect.HttpReply)
        self.events.append("reply" if is_reply else "loss")


@pytest.fixture
def link() -> Link:
    made = Link()
    made.send()
    return made


@pytest.mark.parametrize("cut", [0, 5, len(ingress.INTERIM_RESPONSE) + 9])
def test_interim_reply_comes_before_the_reply(link: Link, cut: int) -> None:
    """Guards against an acknowledgement that is ignored or mistaken for the reply."""
    data = ingress.INTERIM_RESPONSE + REPLY
    for part in (data[:cut], data[cut:]):
        if part:
            link.receive(part)
    assert link.events == ["interim", "reply"]
    assert link.connection.usable(0.0)


def test_interim_reply_of_a_discarded_exchange_is_ignored(link: Link) -> None:
    """Guards against counting an attempt as accepted after it has ended."""
    ended: list[typing.Any] = []
    link.connection.discard_reply(ended.append)
    link.receive(ingress.INTERIM_RESPONSE + REPLY)
    assert link.events == [] and len(ended) == 1
