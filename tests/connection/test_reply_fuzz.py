"""Replies of arbitrary bytes: one outcome, bounded memory, no success without its end.

The seed is fixed; `--hypothesis-seed` plays other ones.
"""

import hypothesis
from hypothesis import strategies
from twisted.internet import error
from twisted.internet.testing import StringTransport
from twisted.python import failure

from jackdawpass.connection import dialect, http_connection, reply_limits

LIMITS = reply_limits.ReplyLimits(
    max_head_bytes=512, max_body_bytes=512, max_skipped_replies=3
)
FRAGMENTS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 503 Full\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Upgrade: h2c\r\nConnection: upgrade\r\n",
    b"Connection: close\r\n",
    b"id: own\r\n",
    b"id: other\r\n",
    b"\r\n",
    b"\n",
    b"4\r\nbody\r\n",
    b"0\r\n\r\n",
    b"body",
    b"\x00",
]
CHUNKS = strategies.lists(
    strategies.one_of(strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=9))
)


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Record the abort."""
        self.aborted = True


class Owner:
    """Owner that ignores the events of its connection."""

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""

    def on_closed(self, connection: http_connection.HttpConnection) -> None:
        """Accept the event."""


def _matches(reply: dialect.HttpReply) -> bool | None:
    request_id = reply.header(b"id")
    return None if request_id is None else request_id == b"own"


@hypothesis.seed(11)
@hypothesis.given(CHUNKS, strategies.booleans(), strategies.booleans())
def test_arbitrary_bytes_end_in_one_outcome(
    chunks: list[bytes], is_reset: bool, is_reused: bool
) -> None:
    """Guards against crashes, second outcomes and replies taken from broken bytes."""
    outcomes: list[dialect.HttpReply | http_connection.ExchangeError] = []
    memory = reply_limits.ReplyMemory(limit=1_000_000)
    transport = Transport()
    connection = http_connection.HttpConnection(Owner(), LIMITS, memory)
    connection.makeConnection(transport)
    if is_reused:
        connection.send(b"GET", lambda _: None, _matches)
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 0\r\n\r\n"
        )
    connection.send(b"GET", outcomes.append, _matches)
    for chunk in chunks:
        if not transport.aborted:
            connection.dataReceived(chunk)
    reason = error.ConnectionLost() if is_reset else error.ConnectionDone()
    connection.connectionLost(failure.Failure(reason))
    assert len(outcomes) == 1 and memory.total == 0
    (outcome,) = outcomes
    if isinstance(outcome, dialect.HttpReply):
        assert outcome.status >= 200 and len(outcome.body) <= LIMITS.max_body_bytes
        assert _matches(outcome) or (_matches(outcome) is None and not is_reused)
        length = outcome.header(b"content-length")
        assert length is None or len(outcome.body) == int(length)
