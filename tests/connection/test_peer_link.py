"""Websocket link between two instances, in memory."""

import collections.abc

import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet import task, testing

from jackdawpass import clock
from jackdawpass.connection import frames, peer_link


class Owner:
    """Owner that records the events of a link."""

    def __init__(self) -> None:
        self.opened = 0
        self.closed = 0
        self.frames: list[frames.Frame] = []

    def on_open(self, link: peer_link.PeerLink) -> None:
        self.opened += 1

    def on_frame(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        self.frames.append(frame)

    def on_closed(self, link: peer_link.PeerLink) -> None:
        self.closed += 1


class Transport(testing.StringTransport):
    """Memory transport with a buffer of unsent bytes."""

    dataBuffer = b""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


class End:
    """One end of a link with its owner and transport."""

    def __init__(self, reactor: task.Clock, dialled_address: str | None) -> None:
        self.owner = Owner()
        self.counters = peer_link.LinkCounters()
        self.transport = Transport()
        self.link = peer_link.PeerLink(
            reactor, self.owner, self.counters, dialled_address
        )
        self.link.makeConnection(self.transport)

    def take(self) -> bytes:
        data: bytes = self.transport.value()
        self.transport.clear()
        return data


@pytest.fixture
def reactor(monkeypatch: pytest.MonkeyPatch) -> collections.abc.Iterator[task.Clock]:
    reactor = task.Clock()
    monkeypatch.setattr(clock, "monotonic", reactor.seconds)
    yield reactor


def _exchange(first: End, second: End) -> None:
    while True:
        there, back = first.take(), second.take()
        if not there and not back:
            return
        if there:
            second.link.dataReceived(there)
        if back:
            first.link.dataReceived(back)


def _connect(reactor: task.Clock) -> tuple[End, End]:
    ends = End(reactor, "127.0.0.1:1"), End(reactor, None)
    _exchange(*ends)
    assert [end.owner.opened for end in ends] == [1, 1]
    return ends


def test_frames_are_sent_both_ways(reactor: task.Clock) -> None:
    """Guards against a handshake or masking that works at one end only."""
    first, second = _connect(reactor)
    first.link.send(frames.Have(1))
    second.link.send(frames.Have(2))
    _exchange(first, second)
    assert second.owner.frames == [frames.Have(1)]
    assert first.owner.frames == [frames.Have(2)]


def test_silent_link_is_closed(reactor: task.Clock) -> None:
    """Guards against a stopped peer that counts as linked forever."""
    first, second = _connect(reactor)
    reactor.advance(0.75 * peer_link.HEARTBEAT_TIMEOUT_SECONDS)
    second.link.send(frames.Have(1))
    _exchange(first, second)
    reactor.advance(0.75 * peer_link.HEARTBEAT_TIMEOUT_SECONDS)
    assert (first.owner.closed, second.owner.closed) == (0, 1)
    reactor.advance(0.75 * peer_link.HEARTBEAT_TIMEOUT_SECONDS)
    assert first.owner.closed == 1


def test_link_without_handshake_is_closed(reactor: task.Clock) -> None:
    """Guards against connections that are held open without a handshake."""
    end = End(reactor, None)
    reactor.advance(peer_link.HANDSHAKE_TIMEOUT_SECONDS)
    assert end.owner.closed == 1


def test_link_to_a_peer_that_does_not_read_is_closed(reactor: task.Clock) -> None:
    """Guards against unbounded memory for a slow peer."""
    first, _ = _connect(reactor)
    first.transport.dataBuffer = bytes(peer_link.MAX_BUFFERED_BYTES + 1)
    first.link.send(frames.Have(1))
    assert first.owner.closed == 1


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=80), max_size=5),
    strategies.booleans(),
    strategies.booleans(),
)
def test_hostile_bytes_raise_nothing(
    pieces: list[bytes], after_handshake: bool, binary_frame: bool
) -> None:
    """Guards against an exception in the event loop for arbitrary bytes."""
    reactor = task.Clock()
    first, second = End(reactor, "127.0.0.1:1"), End(reactor, None)
    if after_handshake:
        _exchange(first, second)
    for piece in pieces:
        # The server of a link sends unmasked frames, so the dialling end reads this.
        head = bytes((0x82, len(piece))) if binary_frame else b""
        first.link.dataReceived(head + piece)
        second.link.dataReceived(piece)
    if after_handshake and binary_frame and pieces:
        assert first.owner.closed == 1
