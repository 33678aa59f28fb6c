"""HTTP client of the platform's store."""

import collections.abc
import dataclasses
import functools
import typing
import urllib.parse

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import dialect, http_connection, pool
from jackdawpass.platform import decoding, store_messages
from jackdawpass.process.serving import mirror, object_cache

# Concurrent calls are two watches, a list and a write.
MAX_CONNECTIONS = 6
# The store answers in 4 ms, or in about 250 ms when it is slow.
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 1.0
# Twice the response time of a slow store.
CHECK_TIMEOUT_SECONDS = 0.5
# Time that a watch may take beyond its requested wait.
WATCH_GRACE_SECONDS = 1.5

_GONE_STATUS = 410
_EXISTS_STATUS = 409


CheckResult = result.Result[None, errors.PlatformUnavailable]
CreateResult = result.Result[bool, errors.PlatformUnavailable]
_Reply = result.Result[dialect.HttpReply, errors.PlatformUnavailable]
_CallGenerator = typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]


@dataclasses.dataclass(slots=True)
class _Call:
    """A call in progress."""

    deferred: defer.Deferred[_Reply]
    connection: http_connection.HttpConnection | None = None
    ended: bool = False


class StoreClient:
    """Client that lists, watches, checks and creates objects.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor of the process.
    host, port : str, int
        Address of the store.
    decoders : mapping of str to callable
        Decoder of each kind of object; returns None for content that it cannot decode.
    """

    def __init__(
        self,
        reactor: typing.Any,
        host: str,
        port: int,
        decoders: collections.abc.Mapping[str, decoding.Decoder],
    ) -> None:
        self._reactor = reactor
        self._decoders = decoders
        self._calls = 0
        self._host_header = ""
        self._pool = self._open_pool(host, port)

    @property
    def calls(self) -> int:
        """Number of calls since the start."""
        return self._calls

    def set_address(self, host: str, port: int) -> None:
        """Send further calls to another address."""
        self._pool.close()
        self._pool = self._open_pool(host, port)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    @defer.inlineCallbacks
    def list(self, kind: str, stale: bool = False) -> _CallGenerator:
        """Read all objects of a kind; `stale` allows a cheaper, older answer.

        The pages are read one after the other, so the list is complete only up to the
        revision of the oldest one. A watch from there repeats the later changes.
        """
        items: list[object_cache.Item] = []
        revisions: list[int] = []
        after = ""
        while True:
            query = {"after": after} if after else {}
            if stale:
                query["allow_stale"] = "1"
            path = _path(kind, query)
            reply = yield self._call("GET", path, CALL_TIMEOUT_SECONDS)
            page = reply.bind(functools.partial(_decode, store_messages.decode_page))
            if isinstance(page, result.Failure):
                return page
            listing = page.unwrap()
            revisions.append(listing.at)
            items += [self._decode_item(kind, stored) for stored in listing.items]
            if not listing.more or not listing.items:
                return result.Success(
                    object_cache.Listing(tuple(items), min(revisions))
                )
            after = listing.items[-1].meta.name

    def watch(
        self, kind: str, revision: int, wait: float
    ) -> defer.Deferred[mirror.WatchResult]:
        """Wait up to `wait` seconds for changes after a revision."""
        query = {"watch": str(revision), "wait_ms": str(int(wait * 1000))}
        return self._watch(kind, query, wait + WATCH_GRACE_SECONDS)

    @defer.inlineCallbacks
    def _watch(
        self, kind: str, query: collections.abc.Mapping[str, str], timeout: float
    ) -> _CallGenerator:
        reply = yield self._call("GET", _path(kind, query), timeout)
        if reply.map(_is_gone).value_or(False):
            return result.Failure(mirror.HistoryGone())
        events = reply.bind(functools.partial(_decode, store_messages.decode_events))
        return events.map(functools.partial(self._decode_changes, kind))

    def poll(self, kind: str, revision: int) -> defer.Deferred[mirror.WatchResult]:
        """Read the changes after a revision; the latest seconds may be missing.

        Such a call costs a tenth of others.
        """
        query = {"watch": str(revision), "wait_ms": "0", "allow_stale": "1"}
        return self._watch(kind, query, CHECK_TIMEOUT_SECONDS)

    @defer.inlineCallbacks
    def check(self, kind: str, name: str) -> _CallGenerator:
        """Check that the store answers the read of an object, which may be missing."""
        path = f"{_path(kind, {})}/{urllib.parse.quote(name)}?allow_stale=1"
        reply = yield self._call("GET", path, CHECK_TIMEOUT_SECONDS)
        return reply.bind(_decode_check)

    @defer.inlineCallbacks
    def create(self, kind: str, name: str, content: object) -> _CallGenerator:
        """Create an object; return whether it was new."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": content})
        reply = yield self._call("POST", _path(kind, {}), CALL_TIMEOUT_SECONDS, body)
        return reply.bind(_decode_creation)

    def _open_pool(self, host: str, port: int) -> pool.Pool:
        self._host_header = f"{host}:{port}"
        return pool.Pool(
            self._reactor,
            host,
            port,
            MAX_CONNECTIONS,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _decode_changes(
        self, kind: str, message: store_messages.Events
    ) -> object_cache.Changes:
        # Only the last event of each object counts.
        latest = {event.object.meta.name: event for event in message.events}
        changed = tuple(
            self._decode_item(kind, event.object)
            for event in latest.values()
            if not event.deleted
        )
        deleted = tuple(name for name, event in latest.items() if event.deleted)
        return object_cache.Changes(changed, deleted, message.at)

    def _decode_item(
        self, kind: str, stored: store_messages.StoredObject
    ) -> object_cache.Item:
        decode = self._decoders.get(kind)
        content = None if decode is None else decode(stored.meta.name, stored.spec)
        return object_cache.Item(stored.meta.name, content, stored.meta.revision)

    def _call(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> defer.Deferred[_Reply]:
        self._calls += 1
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host_header}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"

        def on_cancel(_: defer.Deferred[_Reply]) -> None:
            if timer.active():
                timer.cancel()
            self._fail(call, "call cancelled")

        connections = self._pool
        call = _Call(defer.Deferred(on_cancel))
        timer = self._reactor.callLater(timeout, self._fail, call, "timed out")

        def on_connection(connection: http_connection.HttpConnection | None) -> None:
            if call.ended:
                if connection is not None:
                    connections.release(connection)
                return
            if connection is None:
                timer.cancel()
                self._fail(call, "connect failed")
                return
            call.connection = connection
            connection.send(head.encode() + b"\r\n" + body, on_done)

        def on_done(outcome: dialect.HttpReply | http_connection.ExchangeError) -> None:
            if call.ended:
                return
            timer.cancel()
            if isinstance(outcome, http_connection.ExchangeError):
                self._fail(call, outcome.value)
                return
            call.ended = True
            assert call.connection is not None
            connections.release(call.connection)
            call.deferred.callback(result.Success(outcome))

        connections.acquire(on_connection)
        return call.deferred

    def _fail(self, call: _Call, reason: str) -> None:
        call.ended = True
        if call.connection is not None:
            call.connection.abort()
        call.deferred.callback(result.Failure(errors.PlatformUnavailable(reason)))


def _path(kind: str, query: collections.abc.Mapping[str, str]) -> str:
    path = "/objects/" + urllib.parse.quote(kind)
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _is_gone(reply: dialect.HttpReply) -> bool:
    return reply.status == _GONE_STATUS


def _decode(
    decode_message: collections.abc.Callable[[bytes], typing.Any],
    reply: dialect.HttpReply,
) -> result.Result[typing.Any, errors.PlatformUnavailable]:
    if reply.status != 200:
        return result.Failure(errors.PlatformUnavailable(f"status {reply.status}"))
    try:
        return result.Success(decode_message(reply.body))
    except errors.DECODE_ERRORS as error:
        return result.Failure(errors.PlatformUnavailable(str(error)))


def _decode_check(reply: dialect.HttpReply) -> CheckResult:
    if reply.status not in (200, 404):
        return result.Failure(errors.PlatformUnavailable(f"status {reply.status}"))
    return result.Success(None)


def _decode_creation(reply: dialect.HttpReply) -> CreateResult:
    if reply.status == _EXISTS_STATUS:
        return result.Success(False)
    if reply.status not in (200, 201):
        reason = f"status {reply.status}"
        return result.Failure(errors.PlatformUnavailable(reason, uncertain=True))
    return result.Success(True)
