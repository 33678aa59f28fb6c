"""Client of the platform's store."""

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
from jackdawpass.platform import decoding
from jackdawpass.process.serving import mirror

# Calls under way at once: two watches, a list and a write.
MAX_CONNECTIONS = 6
# The store answers in 4 ms, when slow in some 250 ms.
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 1.0
# Twice what the store takes when it is slow.
CHECK_TIMEOUT_SECONDS = 0.5
# What a watch may take beyond its wait.
WATCH_GRACE_SECONDS = 1.5

_GONE = 410
_EXISTS = 409


class _Meta(msgspec.Struct):
    """Fields of an object that the store itself keeps."""

    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    # What the object's writer put there.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _List(msgspec.Struct):
    items: list[_Object]
    # The store's revision that the list shows.
    at: int
    # Whether the list goes on after its last name.
    more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    # Revision to watch from next.
    at: int


CheckResult = result.Result[None, errors.PlatformUnavailable]
CreateResult = result.Result[bool, errors.PlatformUnavailable]
_Reply = result.Result[dialect.HttpReply, errors.PlatformUnavailable]
_Calls = typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]


@dataclasses.dataclass(slots=True)
class _Call:
    """One call under way."""

    done: defer.Deferred[_Reply]
    connection: http_connection.HttpConnection | None = None
    ended: bool = False


class StoreClient:
    """Lists, watches and creates objects.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    host, port : str, int
        Address of the store.
    decoders : mapping of str to callable
        Decodes the content of each kind; returns None for what it cannot read.
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
        self._pool = self._open(host, port)

    @property
    def calls(self) -> int:
        """Number of calls made since the start."""
        return self._calls

    def set_address(self, host: str, port: int) -> None:
        """Make further calls to another address."""
        self._pool.close()
        self._pool = self._open(host, port)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    @defer.inlineCallbacks
    def list(self, kind: str, stale: bool = False) -> _Calls:
        """Read all objects of a kind; `stale` allows a cheap and older answer."""
        items: list[mirror.Item] = []
        after = ""
        while True:
            query = {"after": after} if after else {}
            if stale:
                query["allow_stale"] = "1"
            path = _path(kind, query)
            reply = yield self._call("GET", path, CALL_TIMEOUT_SECONDS)
            page = reply.bind(functools.partial(_decode, _List, (200,)))
            if isinstance(page, result.Failure):
                return page
            got = page.unwrap()
            items += [self._item(kind, each) for each in got.items]
            if not got.more or not got.items:
                return result.Success(mirror.Listing(tuple(items), got.at))
            after = got.items[-1].meta.name

    @defer.inlineCallbacks
    def watch(self, kind: str, revision: int, wait: float) -> _Calls:
        """Wait up to `wait` seconds for changes after a revision."""
        query = {"watch": str(revision), "wait_ms": str(int(wait * 1000))}
        timeout = wait + WATCH_GRACE_SECONDS
        reply = yield self._call("GET", _path(kind, query), timeout)
        if reply.map(_is_gone).value_or(False):
            return result.Failure(mirror.HistoryGone())
        events = reply.bind(functools.partial(_decode, _Events, (200,)))
        return events.map(functools.partial(self._changes, kind))

    @defer.inlineCallbacks
    def check(self, kind: str, name: str) -> _Calls:
        """Ask for one object, whether it exists or not, in the cheapest way."""
        path = f"{_path(kind, {})}/{urllib.parse.quote(name)}?allow_stale=1"
        reply = yield self._call("GET", path, CHECK_TIMEOUT_SECONDS)
        return reply.bind(_decode_check)

    @defer.inlineCallbacks
    def create(self, kind: str, name: str, content: object) -> _Calls:
        """Create an object; return whether it was new."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": content})
        reply = yield self._call("POST", _path(kind, {}), CALL_TIMEOUT_SECONDS, body)
        return reply.bind(_decode_creation)

    def _open(self, host: str, port: int) -> pool.Pool:
        self._host_header = f"{host}:{port}"
        return pool.Pool(
            self._reactor,
            host,
            port,
            MAX_CONNECTIONS,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _changes(self, kind: str, got: _Events) -> mirror.Changes:
        # The last event of an object decides.
        latest = {event.object.meta.name: event for event in got.events}
        changed = tuple(
            self._item(kind, event.object)
            for event in latest.values()
            if not event.deleted
        )
        deleted = tuple(name for name, event in latest.items() if event.deleted)
        return mirror.Changes(changed, deleted, got.at)

    def _item(self, kind: str, stored: _Object) -> mirror.Item:
        decode = self._decoders.get(kind)
        content = None if decode is None else decode(stored.meta.name, stored.spec)
        return mirror.Item(stored.meta.name, content)

    def _call(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> defer.Deferred[_Reply]:
        self._calls += 1
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host_header}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"

        def give_up(_: defer.Deferred[_Reply]) -> None:
            if timer.active():
                timer.cancel()
            self._end(call, "given up")

        connections = self._pool
        call = _Call(defer.Deferred(give_up))
        timer = self._reactor.callLater(timeout, self._end, call, "no answer in time")

        def on_connection(connection: http_connection.HttpConnection | None) -> None:
            if call.ended:
                if connection is not None:
                    connections.release(connection)
                return
            if connection is None:
                timer.cancel()
                self._end(call, "cannot connect")
                return
            call.connection = connection
            connection.send(head.encode() + b"\r\n" + body, on_done)

        def on_done(outcome: dialect.HttpReply | http_connection.ExchangeError) -> None:
            if call.ended:
                return
            timer.cancel()
            if isinstance(outcome, http_connection.ExchangeError):
                self._end(call, outcome.value)
                return
            call.ended = True
            assert call.connection is not None
            connections.release(call.connection)
            call.done.callback(result.Success(outcome))

        connections.acquire(on_connection)
        return call.done

    def _end(self, call: _Call, reason: str) -> None:
        call.ended = True
        if call.connection is not None:
            call.connection.abort()
        call.done.callback(result.Failure(errors.PlatformUnavailable(reason)))


def _path(kind: str, query: collections.abc.Mapping[str, str]) -> str:
    path = "/objects/" + urllib.parse.quote(kind)
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _is_gone(reply: dialect.HttpReply) -> bool:
    return reply.status == _GONE


def _decode(
    shape: type, statuses: tuple[int, ...], reply: dialect.HttpReply
) -> result.Result[typing.Any, errors.PlatformUnavailable]:
    if reply.status not in statuses:
        return result.Failure(errors.PlatformUnavailable(f"status {reply.status}"))
    try:
        return result.Success(msgspec.json.decode(reply.body, type=shape))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(errors.PlatformUnavailable(str(error)))


def _decode_check(reply: dialect.HttpReply) -> CheckResult:
    if reply.status not in (200, 404):
        return result.Failure(errors.PlatformUnavailable(f"status {reply.status}"))
    return result.Success(None)


def _decode_creation(reply: dialect.HttpReply) -> CreateResult:
    if reply.status == _EXISTS:
        return result.Success(False)
    if reply.status not in (200, 201):
        reason = f"status {reply.status}"
        return result.Failure(errors.PlatformUnavailable(reason, uncertain=True))
    return result.Success(True)
