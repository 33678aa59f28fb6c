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
    """Why an exchange ended without a complete reply."""

    CONNECTION_LOST = "connection_lost"
    STALE = "stale"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


OnDone = collections.abc.Callable[[dialect.HttpReply | ExchangeError], None]
OnInterim = collections.abc.Callable[[], None]
MatchesRequest = collections.abc.Callable[[dialect.HttpReply], bool]

# A target may close an idle connection as its timeout ends, so the last part of that
# time is left unused: a request sent then would cross the close.
IDLE_MARGIN_SECONDS = 0.5
# Idle connections that fall silent are found by the system's keep-alive probes: after
# this time, then once a second, twice.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Data that a silent peer does not acknowledge for so long ends the connection.
UNACKNOWLEDGED_MILLISECONDS = 2000
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class Owner(typing.Protocol):
    """Receives a connection's changes of state."""

    def on_closed(self, connection: "HttpConnection") -> None:
        """Forget a connection that is closed."""


class HttpConnection(protocol.Protocol):
    """One kept connection; a second request may start only after the reply.

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
        self._started = False
        self._ends_with_connection = False
        self._complete = False
        self._exchanges = 0
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

        `on_interim` is called at each interim (1xx) reply before it.

        Complete replies that do not belong to the request, as `matches` says, are
        dropped; its own one follows them.

        When `on_done` is called the connection is open only if it can be reused; who
        sent the request then returns it to the pool or aborts it.
        """
        if self._on_done is not None or self._closed:
            raise RuntimeError("the connection is not idle; take another one")
        self._on_done = on_done
        self._matches = matches
        self._on_interim = on_interim
        self._exchanges += 1
        self._write(request)

    def drop_reply(self, on_done: OnDone) -> None:
        """Let the outstanding reply arrive for nobody; `on_done` hears of its end."""
        if self._on_done is None:
            raise RuntimeError("no reply is outstanding")
        self._on_done = on_done
        self._on_interim = None

    def abort(self) -> None:
        """Close the connection at once and drop its outstanding exchange."""
        self._on_done = None
        self._close()

    def connectionMade(self) -> None:
        """Send small requests at once, and notice a peer that falls silent."""
        transport: typing.Any = self.transport
        transport.setTcpNoDelay(True)
        if not interfaces.ISystemHandle.providedBy(transport):
            return
        handle: typing.Any = transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
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
        if self._ends_with_connection and _is_clean(reason):
            self.on_message_complete()
        on_done, self._on_done = self._on_done, None
        self._owner.on_closed(self)
        if on_done is None:
            return
        if self._complete:
            on_done(self._reply())
        elif self._exchanges > 1 and not self._started:
            on_done(ExchangeError.STALE)
        else:
            on_done(ExchangeError.CONNECTION_LOST)

    def on_message_begin(self) -> None:
        """Note bytes after a complete reply, which answer no request of ours."""
        self._started = True
        if self._complete:
            self._closed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        if not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends (called by the parser)."""
        if self._complete:
            return
        names = {name for name, _ in self._headers}
        self._ends_with_connection = self._parser.get_status_code() not in (
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
        # The parser forgets the answer as soon as this callback returns.
        self._keep_alive = (
            self._parser.should_keep_alive() and not self._ends_with_connection
        )
        if self._status < 200 or not self._is_expected():
            self._clear()
            if self._status < 200 and self._on_interim is not None:
                self._on_interim()
            return
        self._complete = True

    def _write(self, data: bytes) -> None:
        # An idle connection has nothing buffered, so the bytes can go out at once; the
        # transport would register for writing and wait for a turn of the reactor.
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
        self._note_idle_timeout(reply)
        self._reset()
        if not reusable or too_large:
            self._close()
        on_done(ExchangeError.TOO_LARGE if too_large else reply)

    def _reply(self) -> dialect.HttpReply:
        return dialect.HttpReply(
            self._status, b"".join(self._body), tuple(self._headers)
        )

    def _is_expected(self) -> bool:
        return self._matches is None or self._matches(self._reply())

    def _note_idle_timeout(self, reply: dialect.HttpReply) -> None:
        usable = _idle_seconds(reply.header(b"keep-alive") or b"")
        if usable is not None:
            self._expires_at = clock.monotonic() + usable

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._clear()
        self._complete = False
        self._keep_alive = False

    def _clear(self) -> None:
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._started = False
        self._ends_with_connection = False

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
    """Return how long a connection may be idle, as its peer says; None if it does not.

    Targets repeat the same few values in every reply.
    """
    found = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return None if found is None else max(0.0, int(found[1]) - IDLE_MARGIN_SECONDS)


def _is_clean(reason: failure.Failure | None) -> bool:
    """Return whether the peer ended the connection after all of its bytes."""
    return reason is not None and reason.check(error.ConnectionDone) is not None
