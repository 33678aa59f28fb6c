"""The platform's object API: its Protocol type and an HTTP client."""

import dataclasses
import typing
import urllib.parse

import msgspec
from returns import result
from twisted.internet import defer
from twisted.web import client, http_headers, iweb
from zope.interface import implementer

from jackdawpass import errors

CALL_TIMEOUT_SECONDS = 2.0
WATCH_GRACE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's store with its version."""

    key: str
    version: int
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's list of instances."""

    instance: str
    role: str
    zone: str
    address: str
    leaving: bool


ReadResult = result.Result[StoredObject, errors.PlatformError]
WatchResult = result.Result[StoredObject | None, errors.PlatformError]
WriteResult = result.Result[int, errors.PlatformError]
ListResult = result.Result[tuple[ListedInstance, ...], errors.PlatformError]


class PlatformApi(typing.Protocol):
    """Calls of the platform's object API; each counts towards its rate limits."""

    def read(self, key: str) -> defer.Deferred[ReadResult]:
        """Read an object."""

    def watch(
        self, key: str, version: int, timeout: float
    ) -> defer.Deferred[WatchResult]:
        """Wait up to `timeout` seconds for a newer version; None when unchanged."""

    def create(self, key: str, value: object) -> defer.Deferred[WriteResult]:
        """Create an object unless it exists; return its version."""

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[WriteResult]:
        """Replace an object if it still has `version`; return its new version."""

    def delete(self, key: str, version: int) -> defer.Deferred[WriteResult]:
        """Delete an object if it still has `version`."""

    def instances(self) -> defer.Deferred[ListResult]:
        """Read the list of live and leaving instances."""


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Producer of a request body from memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: typing.Any) -> defer.Deferred[None]:
        """Write the complete body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing, since the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing, since the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing, since the body is written at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes


class HttpPlatformClient:
    """Client of the object API over HTTP.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    base_url : str
        Base URL of the API, such as ``http://127.0.0.1:8500``.
    """

    def __init__(self, reactor: typing.Any, base_url: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=CALL_TIMEOUT_SECONDS, pool=self._pool
        )
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made since the start."""
        return self._calls

    def close(self) -> defer.Deferred[object]:
        """Close the persistent connections."""
        return self._pool.closeCachedConnections()

    @defer.inlineCallbacks
    def read(
        self, key: str
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, ReadResult]:
        """Read an object."""
        reply = yield self._call("GET", _object_path(key), CALL_TIMEOUT_SECONDS)
        return reply.bind(lambda received: _decode_object(key, received))

    @defer.inlineCallbacks
    def watch(
        self, key: str, version: int, timeout: float
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, WatchResult]:
        """Wait up to `timeout` seconds for a newer version; None when unchanged."""
        path = f"{_object_path(key)}?watch={version}&timeout_ms={round(timeout * 1000)}"
        reply = yield self._call("GET", path, timeout + WATCH_GRACE_SECONDS)
        return reply.bind(lambda received: _decode_watch(key, received))

    def create(self, key: str, value: object) -> defer.Deferred[WriteResult]:
        """Create an object unless it exists; return its version."""
        return self._write("PUT", key, {"If-None-Match": "*"}, value)

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[WriteResult]:
        """Replace an object if it still has `version`; return its new version."""
        return self._write("PUT", key, {"If-Match": str(version)}, value)

    def delete(self, key: str, version: int) -> defer.Deferred[WriteResult]:
        """Delete an object if it still has `version`."""
        return self._write("DELETE", key, {"If-Match": str(version)}, None)

    @defer.inlineCallbacks
    def instances(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, ListResult]:
        """Read the list of live and leaving instances."""
        reply = yield self._call("GET", "/v1/instances", CALL_TIMEOUT_SECONDS)
        return reply.bind(_decode_instances)

    @defer.inlineCallbacks
    def _write(
        self, method: str, key: str, headers: dict[str, str], value: object
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, WriteResult]:
        body = b"" if method == "DELETE" else msgspec.json.encode(value)
        path = _object_path(key)
        reply = yield self._call(method, path, CALL_TIMEOUT_SECONDS, headers, body)
        return reply.bind(lambda received: _decode_write(key, received))

    @defer.inlineCallbacks
    def _call(
        self,
        method: str,
        path: str,
        timeout: float,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> typing.Generator[
        defer.Deferred[typing.Any],
        typing.Any,
        result.Result[_Reply, errors.PlatformError],
    ]:
        self._calls += 1
        uncertain = method != "GET"
        fields = http_headers.Headers({k: [v] for k, v in (headers or {}).items()})
        producer = BytesProducer(body) if body else None
        url = (self._base_url + path).encode("ascii")
        try:
            pending = self._agent.request(method.encode(), url, fields, producer)
            pending.addCallback(_read_reply)
            reply = yield pending.addTimeout(timeout, self._reactor)
        except Exception as error:
            reason = type(error).__name__
            return result.Failure(errors.PlatformUnavailable(reason, uncertain))
        if reply.status >= 500:
            reason = f"status {reply.status}"
            return result.Failure(errors.PlatformUnavailable(reason, uncertain))
        return result.Success(reply)


@defer.inlineCallbacks
def _read_reply(
    response: typing.Any,
) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, _Reply]:
    body = yield client.readBody(response)
    return _Reply(response.code, body)


def _object_path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key)


def _decode_object(key: str, reply: _Reply) -> ReadResult:
    if reply.status == 404:
        return result.Failure(errors.ObjectMissing(key))
    if reply.status != 200:
        return result.Failure(errors.PlatformUnavailable(f"status {reply.status}"))
    try:
        document = msgspec.json.decode(reply.body)
        stored = StoredObject(key, int(document["version"]), document["value"])
    except errors.DECODE_ERRORS as error:
        return result.Failure(errors.CorruptObject(key, str(error)))
    return result.Success(stored)


def _decode_watch(key: str, reply: _Reply) -> WatchResult:
    if reply.status == 304:
        return result.Success(None)
    return _decode_object(key, reply).map(_as_optional)


def _as_optional(stored: StoredObject) -> StoredObject | None:
    return stored


def _decode_write(key: str, reply: _Reply) -> WriteResult:
    if reply.status == 412:
        return result.Failure(errors.VersionConflict(key))
    if reply.status == 404:
        return result.Failure(errors.ObjectMissing(key))
    if reply.status not in (200, 201):
        reason = f"status {reply.status}"
        return result.Failure(errors.PlatformUnavailable(reason, uncertain=True))
    try:
        return result.Success(int(msgspec.json.decode(reply.body)["version"]))
    except errors.DECODE_ERRORS as error:
        return result.Failure(errors.PlatformUnavailable(str(error), uncertain=True))


def _decode_instances(reply: _Reply) -> ListResult:
    try:
        document = msgspec.json.decode(reply.body)
        listed = tuple(_listed_instance(entry) for entry in document["instances"])
    except errors.DECODE_ERRORS as error:
        return result.Failure(errors.CorruptObject("instances", str(error)))
    return result.Success(listed)


def _listed_instance(entry: dict[str, typing.Any]) -> ListedInstance:
    return ListedInstance(
        instance=str(entry["id"]),
        role=str(entry["role"]),
        zone=str(entry["zone"]),
        address=str(entry["address"]),
        leaving=entry["state"] == "leaving",
    )
