"""HTTP/1.1 client connection that carries one exchange at a time."""

import collections.abc
import contextlib
import enum
import functools
import re
import socket
import typing

import httptools
from twisted.internet import error, interfaces, protocol
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import dialect

MAX_REPLY_BYTES = 16 * 1024 * 1024


class ExchangeError(enum.Enum):
    """Reason why an exchange ended without a complete reply."""

    CONNECTION_LOST = "connection_lost"
    STALE = "stale"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


OnDone = collections.abc.Callable[[dialect.HttpReply | ExchangeError], None]
OnInterim = collections.abc.Callable[[], None]
MatchesRequest = collections.abc.Callable[[dialect.HttpReply], bool]

# A target may close an idle connection when its idle timeout ends. The last part of
# the timeout is not used, because a request sent then could race with the close.
IDLE_MARGIN_SECONDS = 0.5
# TCP keep-alive probes detect idle connections whose peer no longer responds. Probes
# start after KEEP_ALIVE_IDLE_SECONDS of silence, then follow once a second, twice.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# The connection is closed if sent data stays unacknowledged for this time.
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 2000
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class Owner(typing.Protocol):
    """Owner of a connection, which receives its events."""

    def on_closed(self, connection: "HttpConnection") -> None:
        """Remove a connection that is closed."""


class HttpConnection(protocol.Protocol):
    """Persistent connection; a second request may start only after the reply.

    Bytes that arrive while no exchange is outstanding belong to no request, so they
    close the connection.
    """

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._on_done: OnDone | None = None
        self._matches: MatchesRequest | None = None
        self._on_interim: OnInterim | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reply_started = False
        self._body_ends_at_close = False
        self._complete = False
        self._exchange_count = 0
        self._expires_at: float | None = None
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

    def usable(self, now: float) -> bool:
        """Return whether a request may still be sent on the idle connection."""
        return self.open and (self._expires_at is None or now < self._expires_at)

    @property
    def aborted(self) -> bool:
        """True when this side closed the connection."""
        return self._aborted

    def send(
        self,
        request: bytes,
        on_done: OnDone,
        matches: MatchesRequest | None = None,
        on_interim: OnInterim | None = None,
    ) -> None:
        """Write a request; `on_done` is called exactly once unless aborted.

        `on_interim` is called for each interim (1xx) reply before `on_done`.

        Complete replies for which `matches` returns False belong to another request;
        they are discarded and the reply to this request is awaited.

        When `on_done` is called, the connection is open only if it can be reused. The
        sender of the request then returns it to the pool or aborts it.
        """
        if self._on_done is not None or self._closed:
            raise RuntimeError("the connection is not idle; use another one")
        self._on_done = on_done
        self._matches = matches
        self._on_interim = on_interim
        self._exchange_count += 1
        self._write(request)

    def discard_reply(self, on_done: OnDone) -> None:
        """Discard the outstanding reply; `on_done` is called once it has ended."""
        if self._on_done is None:
            raise RuntimeError("no reply is outstanding")
        self._on_done = on_done
        self._on_interim = None

    def abort(self) -> None:
        """Close the connection at once and abandon its outstanding exchange."""
        self._on_done = None
        self._close()

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and detect a peer that no longer responds."""
        transport: typing.Any = self.transport
        transport.setTcpNoDelay(True)
        if not interfaces.ISystemHandle.providedBy(transport):
            return
        handle: typing.Any = transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser; close on malformed or unexpected bytes."""
        if self._on_done is None:
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(ExchangeError.MALFORMED)
            return
        if self._complete:
            self._finish()

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Report the loss to the outstanding exchange and to the owner."""
        self._closed = True
        if self._body_ends_at_close and _is_clean_close(reason):
            self.on_message_complete()
        on_done, self._on_done = self._on_done, None
        self._owner.on_closed(self)
        if on_done is None:
            return
        if self._complete:
            on_done(self._reply())
        elif self._exchange_count > 1 and not self._reply_started:
            on_done(ExchangeError.STALE)
        else:
            on_done(ExchangeError.CONNECTION_LOST)

    def on_message_begin(self) -> None:
        """Record the start of a reply; a second reply closes the connection."""
        self._reply_started = True
        if self._complete:
            self._closed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        if not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends (called by the parser)."""
        if self._complete:
            return
        names = {name for name, _ in self._headers}
        self._body_ends_at_close = self._parser.get_status_code() not in (
            204,
            304,
        ) and not names & {b"content-length", b"transfer-encoding"}

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
        self._status = self._parser.get_status_code()
        # The parser resets this value as soon as the callback returns.
        self._keep_alive = (
            self._parser.should_keep_alive() and not self._body_ends_at_close
        )
        if self._status < 200 or not self._is_expected():
            self._clear_reply()
            if self._status < 200 and self._on_interim is not None:
                self._on_interim()
            return
        self._complete = True

    def _write(self, data: bytes) -> None:
        # An idle connection has no buffered bytes, so the socket can be written to at
        # once; the transport would wait for the next iteration of the reactor.
        assert self.transport is not None
        sent = 0
        if interfaces.ISystemHandle.providedBy(self.transport):
            with contextlib.suppress(OSError):
                handle: typing.Any = self.transport.getHandle()
                sent = handle.send(data)
        if sent < len(data):
            self.transport.write(data[sent:])

    def _finish(self) -> None:
        on_done, self._on_done = self._on_done, None
        assert on_done is not None
        reply = self._reply()
        too_large = self._body_bytes > MAX_REPLY_BYTES
        reusable = self._keep_alive and not self._closed
        self._update_expiry(reply)
        self._reset_parser()
        if not reusable or too_large:
            self._close()
        on_done(ExchangeError.TOO_LARGE if too_large else reply)

    def _reply(self) -> dialect.HttpReply:
        return dialect.HttpReply(
            self._status, b"".join(self._body), tuple(self._headers)
        )

    def _is_expected(self) -> bool:
        return self._matches is None or self._matches(self._reply())

    def _update_expiry(self, reply: dialect.HttpReply) -> None:
        idle_seconds = _idle_seconds(reply.header(b"keep-alive") or b"")
        if idle_seconds is not None:
            self._expires_at = clock.monotonic() + idle_seconds

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._clear_reply()
        self._complete = False
        self._keep_alive = False

    def _clear_reply(self) -> None:
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._reply_started = False
        self._body_ends_at_close = False

    def _fail(self, error_kind: ExchangeError) -> None:
        on_done, self._on_done = self._on_done, None
        self._close()
        if on_done is not None:
            on_done(error_kind)

    def _close(self) -> None:
        self._closed = True
        self._aborted = True
        if self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]


@functools.lru_cache(maxsize=64)
def _idle_seconds(keep_alive: bytes) -> float | None:
    """Return how long a connection may be idle; None if its peer sets no limit.

    The result is cached, since targets send the same few values in every reply.
    """
    found = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return None if found is None else max(0.0, int(found[1]) - IDLE_MARGIN_SECONDS)


def _is_clean_close(reason: failure.Failure | None) -> bool:
    """Return whether the peer closed the connection without an error."""
    return reason is not None and reason.check(error.ConnectionDone) is not None
