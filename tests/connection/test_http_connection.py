"""Replies and interim replies on a client connection."""

import typing

import pytest
from twisted.internet.testing import StringTransport

from jackdawpass.connection import dialect, http_connection, ingress

INTERIM = ingress.INTERIM_RESPONSE % b""
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
        self.bodies: list[bytes] = []
        self.connection = http_connection.HttpConnection(self)
        self.connection.makeConnection(Transport())

    def send(self, request_id: bytes | None = None) -> None:
        def matches(reply: dialect.HttpReply) -> bool | None:
            replied = reply.header(b"id")
            return None if replied is None else replied == request_id

        checked = None if request_id is None else matches
        self.connection.send(b"GET", self._on_done, checked, self._on_interim)

    def receive(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def on_closed(self, closed: http_connection.HttpConnection) -> None:
        self.events.append("closed")

    def _on_interim(self, interim: dialect.HttpReply) -> None:
        self.events.append("interim")

    def _on_done(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        is_reply = isinstance(outcome, dialect.HttpReply)
        self.events.append("reply" if is_reply else "loss")
        if isinstance(outcome, dialect.HttpReply):
            self.bodies.append(outcome.body)


@pytest.fixture
def link() -> Link:
    made = Link()
    made.send()
    return made


@pytest.mark.parametrize("cut", [0, 5, len(INTERIM) + 9])
def test_interim_reply_comes_before_the_reply(link: Link, cut: int) -> None:
    """Guards against an acknowledgement that is ignored or mistaken for the reply."""
    data = INTERIM + REPLY
    for part in (data[:cut], data[cut:]):
        if part:
            link.receive(part)
    assert link.events == ["interim", "reply"]
    assert link.connection.usable(0.0)


def test_interim_reply_of_a_discarded_exchange_is_ignored(link: Link) -> None:
    """Guards against counting an attempt as accepted after it has ended."""
    ended: list[typing.Any] = []
    link.connection.discard_reply(ended.append)
    link.receive(INTERIM + REPLY)
    assert link.events == [] and len(ended) == 1


def _reply(body: bytes, request_id: bytes | None = None) -> bytes:
    identity = b"" if request_id is None else b"id: " + request_id + b"\r\n"
    head = b"HTTP/1.1 200 OK\r\n" + identity
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize("copy_id", [None, b"1"])
@pytest.mark.parametrize("moment", ["before", "together", "after"])
def test_late_copy_never_answers_the_next_request(
    copy_id: bytes | None, moment: str
) -> None:
    """Guards against a caller that gets the answer to another request."""
    link = Link()
    copy, own = _reply(b"first", copy_id), _reply(b"second", b"2")
    link.send(b"1")
    link.receive(_reply(b"first", b"1"))
    if moment == "before":
        link.receive(copy)
        assert not link.connection.open
        return
    link.send(b"2")
    for data in (copy + own,) if moment == "together" else (copy, own):
        link.receive(data)
    assert link.bodies == [b"first", b"second"]


def test_unidentified_reply_is_taken_only_on_a_new_connection() -> None:
    """Guards against reuse after a reply that may be repeated without notice."""
    link = Link()
    link.send(b"1")
    link.receive(_reply(b"first"))
    assert link.bodies == [b"first"] and not link.connection.open


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
def test_impossible_status_ends_the_exchange(link: Link, status: bytes) -> None:
    """Guards against a status without meaning that is taken for a reply."""
    link.receive(b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\n{}")
    assert link.events == ["loss"] and not link.connection.open


@pytest.mark.parametrize("status", [b"101 Switching Protocols", b"200 OK"])
def test_protocol_change_ends_the_exchange(link: Link, status: bytes) -> None:
    """Guards against bytes of another protocol that are taken for a reply."""
    head = b"HTTP/1.1 " + status + b"\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"
    link.receive(head + b"PRI * HTTP/2.0")
    assert "interim" not in link.events and "reply" not in link.events
