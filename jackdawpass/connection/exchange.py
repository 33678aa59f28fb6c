"""HTTP/1.1 client connection that carries one exchange at a time."""

import collections.abc
import enum
import typing

import httptools
from twisted.internet import protocol
from twisted.python import failure

from jackdawpass.connection import dialect

MAX_REPLY_BYTES = 16 * 1024 * 1024


class Loss(enum.Enum):
    """Why an exchange ended without a complete reply."""

    CONNECTION_LOST = "connection_lost"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


OnDone = collections.abc.Callable[[dialect.HttpReply | Loss], None]


class Owner(typing.Protocol):
    """Receives a connection's changes of state."""

    def on_closed(self, exchange: "Exchange") -> None:
        """Forget a connection that is closed."""


class Exchange(protocol.Protocol):
    """One kept connection; a second request may start only after the reply.

    Bytes that arrive while no exchange is outstanding belong to no request, so they
    close the connection.
    """

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._on_done: OnDone | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._complete = False
        self._status = 0
        self._keep_alive = False
        self._closed = False
        self._aborted = False

    @property
    def busy(self) -> bool:
        """True while a reply is outstanding."""
        return self._on_done is not None

    @property
    def open(self) -> bool:
        """True until the connection is closed or about to close."""
        return not self._closed

    @property
    def aborted(self) -> bool:
        """True when this side closed the connection."""
        return self._aborted

    def send(self, request: bytes, on_done: OnDone) -> None:
        """Write a request; `on_done` is called exactly once unless aborted.

        When `on_done` is called the connection is open only if it can be reused; who
        sent the request then returns it to the pool or aborts it.
        """
        if self._on_done is not None or self._closed:
            raise RuntimeError("the connection is not idle; take another one")
        self._on_done = on_done
        assert self.transport is not None
        self.transport.write(request)

    def abort(self) -> None:
        """Close the connection at once and drop its outstanding exchange."""
        self._on_done = None
        self._close()

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, since requests are small."""
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser; close on malformed or unexpected bytes."""
        if self._on_done is None:
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(Loss.MALFORMED)
            return
        if self._complete:
            self._finish()

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Report the loss to the outstanding exchange and to the owner."""
        self._closed = True
        on_done, self._on_done = self._on_done, None
        self._owner.on_closed(self)
        if on_done is not None:
            on_done(Loss.CONNECTION_LOST)

    def on_message_begin(self) -> None:
        """Note bytes after a complete reply, which answer no request of ours."""
        if self._complete:
            self._closed = True

    def on_body(self, body: bytes) -> None:
        """Collect body bytes (called by the parser)."""
        if self._complete:
            return
        self._body_bytes += len(body)
        if self._body_bytes <= MAX_REPLY_BYTES:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the reply as complete (called by the parser)."""
        if self._complete:
            return
        self._complete = True
        self._status = self._parser.get_status_code()
        # The parser forgets the answer as soon as this callback returns.
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self) -> None:
        on_done, self._on_done = self._on_done, None
        assert on_done is not None
        reply = dialect.HttpReply(self._status, b"".join(self._body))
        too_large = self._body_bytes > MAX_REPLY_BYTES
        reusable = self._keep_alive and not self._closed
        self._reset()
        if not reusable or too_large:
            self._close()
        on_done(Loss.TOO_LARGE if too_large else reply)

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._body_bytes = 0
        self._complete = False

    def _fail(self, loss: Loss) -> None:
        on_done, self._on_done = self._on_done, None
        self._close()
        if on_done is not None:
            on_done(loss)

    def _close(self) -> None:
        self._closed = True
        self._aborted = True
        if self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]
