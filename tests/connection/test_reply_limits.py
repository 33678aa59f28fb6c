"""Replies without end, and replies cut at any byte."""

import itertools
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet import error
from twisted.internet.testing import StringTransport
from twisted.python import failure

from jackdawpass.connection import dialect, http_connection, reply_limits

LIMITS = reply_limits.ReplyLimits(
    max_head_bytes=2048, max_body_bytes=4096, max_skipped_replies=4
)
# More than all limits and one read of the transport together.
MAX_ACCEPTED_BYTES = 16 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "header lines": (HEAD, b"a: b\r\n"),
    "header value": (HEAD + b"a: ", b"x" * 40),
    "header name": (HEAD, b"x" * 40),
    "status line": (b"HTTP/1.1 200 ", b"O" * 40),
    "body with a length": (HEAD + b"Content-Length: 99999999\r\n\r\n", b"x" * 40),
    "body until close": (HEAD + b"\r\n", b"x" * 40),
    "chunks": (CHUNKED, b"20\r\n" + b"x" * 32 + b"\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x" * 40),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "trailer value": (CHUNKED + b"0\r\na: ", b"x" * 40),
    "interim replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "other replies": (b"", HEAD + b"x-other: 1\r\nContent-Length: 0\r\n\r\n"),
}


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Record the abort."""
        self.aborted = True


class Link:
    """A connection with one exchange, and its outcomes."""

    def __init__(
        self,
        memory: reply_limits.ReplyMemory | None = None,
        limits: reply_limits.ReplyLimits = LIMITS,
    ) -> None:
        self.outcomes: list[dialect.HttpReply | http_connection.ExchangeError] = []
        self.transport = Transport()
        self.connection = http_connection.HttpConnection(self, limits, memory)
        self.connection.makeConnection(self.transport)
        self.connection.send(b"GET", self.outcomes.append, self._matches)

    def receive(self, data: bytes) -> None:
        if not self.transport.aborted:
            self.connection.dataReceived(data)

    def lose(self, reason: type[Exception]) -> None:
        self.connection.connectionLost(failure.Failure(reason()))

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def on_closed(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def _matches(self, reply: dialect.HttpReply) -> bool:
        return reply.header(b"x-other") is None


def feed_until_closed(link: Link, prefix: bytes, repeated: bytes) -> int:
    """Send bytes without end; return how many the connection has accepted."""
    link.receive(prefix)
    sent = len(prefix)
    while not link.transport.aborted and sent < 100 * MAX_ACCEPTED_BYTES:
        link.receive(repeated)
        sent += len(repeated)
    return sent


@pytest.mark.parametrize("case", ENDLESS)
def test_reply_without_end_is_ended_early(case: str) -> None:
    """Guards against a target that fills the memory of the process."""
    link = Link()
    assert feed_until_closed(link, *ENDLESS[case]) <= MAX_ACCEPTED_BYTES
    assert link.outcomes == [http_connection.ExchangeError.TOO_LARGE]
    assert not link.connection.open


@pytest.mark.parametrize("case", ENDLESS)
def test_discarded_reply_without_end_is_ended_early(case: str) -> None:
    """Guards against reading on after the attempt was withdrawn."""
    link = Link()
    link.connection.discard_reply(link.outcomes.append)
    assert feed_until_closed(link, *ENDLESS[case]) <= MAX_ACCEPTED_BYTES
    assert link.transport.aborted


def test_reply_at_its_limits_is_complete() -> None:
    """Guards against refusing a large reply that is allowed."""
    body = b"x" * LIMITS.max_body_bytes
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    head = HEAD + b"a: " + b"y" * 1500 + b"\r\n"
    for data in (
        head + b"Content-Length: %d\r\n\r\n" % len(body) + body,
        head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
    ):
        link = Link()
        for start in range(0, len(data), 100):
            link.receive(data[start : start + 100])
        (reply,) = link.outcomes
        assert isinstance(reply, dialect.HttpReply) and reply.body == body


def test_largest_reply_ends_first_when_memory_runs_out() -> None:
    """Guards against many large replies that together fill the memory."""
    memory = reply_limits.ReplyMemory(limit=100)
    held: list[str] = []

    class Held:
        def __init__(self, name: str) -> None:
            self._name = name

        def on_reply_memory_exceeded(self) -> None:
            held.append(self._name)

    small, large = Held("small"), Held("large")
    memory.add(small, 30)
    memory.add(large, 60)
    assert held == []
    memory.add(small, 20)
    assert held == ["large"] and memory.total == 50
    memory.release(small)
    assert memory.total == 0


def test_ended_replies_release_their_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limit that is used up by replies that ended long ago."""
    monkeypatch.setattr(http_connection, "UNCOUNTED_BODY_BYTES", 100)
    memory = reply_limits.ReplyMemory(limit=1_000_000)
    head = HEAD + b"Content-Length: 1000\r\n\r\n"
    complete, lost, aborted, discarded = (Link(memory) for _ in range(4))
    for link in (complete, lost, aborted, discarded):
        link.receive(head + b"x" * 900)
    assert memory.total == 3600
    complete.receive(b"x" * 100)
    lost.lose(error.ConnectionLost)
    aborted.connection.abort()
    discarded.connection.discard_reply(lambda outcome: None)
    discarded.receive(b"x" * 50)
    assert memory.total == 0


def test_reply_ends_when_the_shared_memory_is_exceeded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that ignores that the memory has run out."""
    monkeypatch.setattr(http_connection, "UNCOUNTED_BODY_BYTES", 100)
    memory = reply_limits.ReplyMemory(limit=1500)
    head = HEAD + b"Content-Length: 1000\r\n\r\n"
    first, second = Link(memory), Link(memory)
    first.receive(head + b"x" * 900)
    second.receive(head + b"x" * 800)
    assert first.outcomes == [http_connection.ExchangeError.TOO_LARGE]
    second.receive(b"x" * 200)
    assert isinstance(second.outcomes[0], dialect.HttpReply)


def test_body_in_tiny_chunks_holds_no_more_than_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against chunk objects that fill the memory while only payload counts."""
    monkeypatch.setattr(http_connection, "UNCOUNTED_BODY_BYTES", 0)
    memory = reply_limits.ReplyMemory(limit=1_000_000)
    limits = reply_limits.ReplyLimits(max_body_bytes=1_000_000)
    link = Link(memory, limits)
    link.receive(CHUNKED)
    chunks = b"2\r\nno\r\n" * 8192
    tracemalloc.start()
    try:
        for _ in range(16):
            link.receive(chunks)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert link.outcomes == [] and memory.total == 16 * 8192 * 2
    # A buffer that grows may have some spare capacity.
    assert held_bytes <= 2 * memory.total


def test_head_of_short_lines_holds_no_more_than_its_limit() -> None:
    """Guards against header objects that need many times the limit of a head."""
    limits = reply_limits.ReplyLimits(max_head_bytes=64 * 1024)
    link = Link(limits=limits)
    link.receive(HEAD)
    held_bytes = 0
    tracemalloc.start()
    try:
        for _ in range(limits.max_head_bytes // 1000):
            link.receive(b"a:b\r\n" * 200)
            held_bytes = max(held_bytes, tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()
    # One read may go beyond the limit before it is noticed.
    assert held_bytes <= 2 * limits.max_head_bytes
    assert link.outcomes == [http_connection.ExchangeError.TOO_LARGE]


BODY = b"0123456789abcdef"
WHOLE = {
    "length": HEAD + b"X-Stamp: s\r\nContent-Length: 16\r\n\r\n" + BODY,
    "chunked": CHUNKED + b"8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n"
    + HEAD
    + b"Content-Length: 16\r\n\r\n"
    + BODY,
    "other first": HEAD
    + b"x-other: 1\r\nContent-Length: 2\r\n\r\nno"
    + HEAD
    + b"Content-Length: 16\r\n\r\n"
    + BODY,
}
CLOSES = (error.ConnectionDone, error.ConnectionLost)


@pytest.mark.parametrize(
    "framing, reason", list(itertools.product(WHOLE, CLOSES)), ids=str
)
def test_cut_reply_is_never_complete(framing: str, reason: type[Exception]) -> None:
    """Guards against a success from a head or body that ended early."""
    data = WHOLE[framing]
    for cut in range(len(data)):
        link = Link()
        if cut:
            link.receive(data[:cut])
        link.lose(reason)
        assert link.outcomes == [http_connection.ExchangeError.CONNECTION_LOST], cut
    link = Link()
    link.receive(data)
    (reply,) = link.outcomes
    assert isinstance(reply, dialect.HttpReply) and reply.body == BODY


def test_head_cut_before_a_body_until_close_is_never_complete() -> None:
    """Guards against an empty answer from a head without an end."""
    head = HEAD + b"X-Stamp: s\r\n\r\n"
    for cut in range(len(head)):
        link = Link()
        if cut:
            link.receive(head[:cut])
        link.lose(error.ConnectionDone)
        assert link.outcomes == [http_connection.ExchangeError.CONNECTION_LOST], cut


PIECES = strategies.sampled_from(
    [HEAD, b"a: b\r\n", b"\r\n", b"Content-Length: 3\r\n", b"xyz", CHUNKED]
    + [b"1\r\n", b"0\r\n\r\n", b"HTTP/1.1 102 P\r\n\r\n", b"\n", b"\x00", b":"]
)


@hypothesis.given(
    strategies.lists(PIECES | strategies.binary(max_size=20), max_size=30),
    strategies.sampled_from(CLOSES),
)
def test_arbitrary_bytes_end_the_exchange_once(
    pieces: list[bytes], reason: type[Exception]
) -> None:
    """Guards against an exception or an exchange without an outcome."""
    link = Link()
    for piece in pieces:
        if piece and link.connection.busy:
            link.receive(piece)
    if not link.outcomes:
        link.lose(reason)
    assert len(link.outcomes) == 1
