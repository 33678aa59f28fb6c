"""HTTP/1.1 client connection that carries one exchange at a time."""

import collections.abc
import enum
import functools
import re
import typing

import httptools
from twisted.internet import error, interfaces, protocol
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import (
    dialect,
    reply_limits,
    request_writer,
    socket_timeouts,
)

# Bodies up to this size are not counted in the memory of unfinished replies.
UNCOUNTED_BODY_BYTES = 16 * 1024
# Memory of the objects that hold one header, beside the bytes of its name and value.
HEADER_OVERHEAD_BYTES = 128
DEFAULT_LIMITS = reply_limits.ReplyLimits()


class ExchangeError(enum.Enum):
    """Reason why an exchange ended without a complete reply."""

    CONNECTION_LOST = "connection_lost"
    STALE = "stale"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


OnDone = collections.abc.Callable[[dialect.HttpReply | ExchangeError], None]
OnInterim = collections.abc.Callable[[dialect.HttpReply], None]
MatchesRequest = collections.abc.Callable[[dialect.HttpReply], bool | None]

# A target may close an idle connection when its idle timeout ends. The last part of
# the timeout is not used, because a request sent then could race with the close.
IDLE_MARGIN_SECONDS = 0.5
# Other three-digit statuses have no meaning in HTTP.
_STATUSES = range(100, 600)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class Owner(typing.Protocol):
    """Owner of a connection, which receives its events."""

    def on_open(self, connection: "HttpConnection") -> None:
        """Add a connection that can carry a request."""

    def on_closed(self, connection: "HttpConnection") -> None:
        """Remove a connection that is closed."""


class HttpConnection(protocol.Protocol):
    """Persistent connection; a second request may start only after the reply.

    Bytes that arrive while no exchange is outstanding belong to no request, so they
    close the connection. So does a reply that exceeds its limits.

    Parameters
    ----------
    owner : Owner
        Receives the events of the connection.
    limits : ReplyLimits
        Limits on each reply.
    memory : ReplyMemory or None
        Memory that the replies of all connections share; None for no shared limit.
    """

    def __init__(
        self,
        owner: Owner,
        limits: reply_limits.ReplyLimits = DEFAULT_LIMITS,
        memory: reply_limits.ReplyMemory | None = None,
    ) -> None:
        self._owner = owner
        self._limits = limits
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        self._on_done: OnDone | None = None
        self._matches: MatchesRequest | None = None
        self._on_interim: OnInterim | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        # One buffer, since an object for each small chunk would need more memory.
        self._body = bytearray()
        self._body_bytes = 0
        self._counted_bytes = 0
        self._raw_bytes = 0
        self._header_bytes = 0
        self._skipped_replies = 0
        self._received_bytes = 0
        self._in_body = False
        self._discarding = False
        self._reply_started = False
        self._body_ends_at_close = False
        self._complete = False
        self._exchange_count = 0
        self._expires_at: float | None = None
        self._status = 0
        self._keep_alive = False
        self._closed = False
        self._aborted = False
        self._writer: request_writer.RequestWriter | None = None

    @property
    def busy(self) -> bool:
        """True while a reply is outstanding."""
        return self._on_done is not None

    @property
    def open(self) -> bool:
        """True until the connection is closed or about to close."""
        return not self._closed

    @property
    def received_bytes(self) -> int:
        """Number of bytes received in the current or last exchange."""
        return self._received_bytes

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
        they are discarded and the reply to this request is awaited. `matches` returns
        None for a reply that does not identify its request. Such a reply is accepted
        only if the connection has carried no other request, and it closes the
        connection: a late copy of it could not be told from the next reply.

        When `on_done` is called, the connection is open only if it can be reused. The
        sender of the request then returns it to the pool or aborts it.
        """
        if self._on_done is not None or self._closed:
            raise RuntimeError("the connection is not idle; use another one")
        self._on_done = on_done
        self._matches = matches
        self._on_interim = on_interim
        self._exchange_count += 1
        self._skipped_replies = 0
        self._received_bytes = 0
        self._discarding = False
        assert self._writer is not None
        self._writer.write(request)

    def discard_reply(self, on_done: OnDone) -> None:
        """Discard the outstanding reply; `on_done` is called once it has ended."""
        if self._on_done is None:
            raise RuntimeError("no reply is outstanding")
        self._on_done = on_done
        self._on_interim = None
        self._discarding = True
        self._body = bytearray()
        self._release_memory()

    def abort(self) -> None:
        """Close the connection at once and abandon its outstanding exchange."""
        self._on_done = None
        self._close()

    def on_reply_memory_exceeded(self) -> None:
        """End the exchange: unfinished replies need too much memory together."""
        self._fail(ExchangeError.TOO_LARGE)

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and detect a peer that no longer responds."""
        transport: typing.Any = self.transport
        transport.setTcpNoDelay(True)
        self._writer = request_writer.RequestWriter(transport)
        if interfaces.ISystemHandle.providedBy(transport):
            handle: typing.Any = transport.getHandle()
            socket_timeouts.apply(handle)
        self._owner.on_open(self)

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser; close on malformed or unexpected bytes."""
        if self._on_done is None:
            self._close()
            return
        self._received_bytes += len(data)
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ExchangeError.MALFORMED)
            return
        # The parser's callbacks may have ended the exchange.
        if self._on_done is None:
            return
        if self._exceeds_limits():
            self._fail(ExchangeError.TOO_LARGE)
        elif self._complete:
            self._finish()

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Report the loss to the outstanding exchange and to the owner."""
        self._closed = True
        self._release_memory()
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
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        # Headers after the body are trailers, which are not used.
        if not self._complete and not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status, determine how the body ends (called by the parser).

        The parser reports an exception as an error, which ends the exchange.
        """
        if self._complete:
            return
        if self._parser.get_status_code() not in _STATUSES:
            raise ValueError("the status of the reply is not an HTTP status")
        self._in_body = True
        self._raw_bytes = 0
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
        if self._discarding or self._body_bytes > self._limits.max_body_bytes:
            return
        self._body += body
        if self._memory is not None and self._body_bytes > UNCOUNTED_BODY_BYTES:
            self._memory.add(self, self._body_bytes - self._counted_bytes)
            self._counted_bytes = self._body_bytes

    def on_message_complete(self) -> None:
        """Mark the reply as complete (called by the parser)."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        # The parser resets this value as soon as the callback returns.
        self._keep_alive = (
            self._parser.should_keep_alive() and not self._body_ends_at_close
        )
        if self._status < 200:
            interim = self._reply()
            self._skip_reply()
            # A protocol change ends the exchange; it acknowledges nothing.
            if self._status != 101 and self._on_interim is not None:
                self._on_interim(interim)
            return
        is_own = self._matches is None or self._matches(self._reply())
        if is_own is None:
            self._keep_alive = False
            is_own = self._exchange_count == 1
        if is_own:
            self._complete = True
        else:
            self._skip_reply()

    def _skip_reply(self) -> None:
        self._clear_reply()
        self._skipped_replies += 1

    def _exceeds_limits(self) -> bool:
        limits = self._limits
        if (
            self._body_bytes > limits.max_body_bytes
            or self._header_bytes > limits.max_head_bytes
            or self._skipped_replies > limits.max_skipped_replies
        ):
            return True
        if self._complete:
            return False
        if not self._in_body:
            return self._raw_bytes > limits.max_head_bytes
        framing_bytes = self._raw_bytes - self._body_bytes
        return not reply_limits.allows_framing(
            framing_bytes, self._body_bytes, limits.max_head_bytes
        )

    def _finish(self) -> None:
        on_done, self._on_done = self._on_done, None
        assert on_done is not None
        reply = self._reply()
        # A peer may reply before it has read the request; the next request must not
        # be written into the middle of an unfinished one.
        assert self._writer is not None
        reusable = self._keep_alive and not self._closed and self._writer.idle
        self._update_expiry(reply)
        self._reset_parser()
        if not reusable:
            self._close()
        on_done(reply)

    def _reply(self) -> dialect.HttpReply:
        return dialect.HttpReply(self._status, bytes(self._body), tuple(self._headers))

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
        self._release_memory()
        self._headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._raw_bytes = 0
        self._header_bytes = 0
        self._in_body = False
        self._reply_started = False
        self._body_ends_at_close = False

    def _release_memory(self) -> None:
        if self._counted_bytes:
            assert self._memory is not None
            self._memory.release(self)
            self._counted_bytes = 0

    def _fail(self, error_kind: ExchangeError) -> None:
        on_done, self._on_done = self._on_done, None
        self._close()
        if on_done is not None:
            on_done(error_kind)

    def _close(self) -> None:
        self._closed = True
        self._aborted = True
        self._release_memory()
        self._body = bytearray()
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
