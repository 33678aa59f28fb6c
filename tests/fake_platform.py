"""In-memory platform store whose calls can lose replies, drop writes or fail."""

import collections
import collections.abc
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api

# Expected version in a write that creates the object.
ABSENT = 0


def uncertain(reason: str) -> "result.Result[typing.Any, errors.PlatformError]":
    """Return the result of a write that may have taken effect."""
    return result.Failure(errors.PlatformUnavailable(reason, uncertain=True))


class Objects:
    """Objects whose versions count the writes to each key, from 1."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, typing.Any]] = {}
        self._writes: collections.Counter[str] = collections.Counter()

    def read(self, key: str) -> platform_api.ReadResult:
        """Read an object."""
        if key not in self.objects:
            return result.Failure(errors.ObjectMissing(key))
        return result.Success(platform_api.StoredObject(key, *self.objects[key]))

    def write(self, key: str, expected: int, value: object) -> platform_api.WriteResult:
        """Write an object if its version matches; the value passes through JSON."""
        refusal = self._refusal(key, expected)
        if refusal is not None:
            return result.Failure(refusal)
        self._writes[key] += 1
        plain = msgspec.json.decode(msgspec.json.encode(value))
        self.objects[key] = (self._writes[key], plain)
        return result.Success(self._writes[key])

    def delete(self, key: str, expected: int) -> platform_api.WriteResult:
        """Delete an object if its version matches."""
        refusal = self._refusal(key, expected)
        if refusal is not None:
            return result.Failure(refusal)
        self._writes[key] += 1
        del self.objects[key]
        return result.Success(self._writes[key])

    def _refusal(self, key: str, expected: int) -> errors.PlatformError | None:
        version = self.objects[key][0] if key in self.objects else ABSENT
        if version == expected:
            return None
        if version == ABSENT:
            return errors.ObjectMissing(key)
        return errors.VersionConflict(key)


class FakePlatform:
    """A `PlatformApi` that answers at once.

    `script` holds the results of the next calls: "ok" (also when it is empty), "lost"
    (a write takes effect but its reply is lost), "dropped" (no effect) or "down".
    """

    def __init__(self) -> None:
        self.script: collections.deque[str] = collections.deque()
        self.calls: collections.Counter[str] = collections.Counter()
        self.listed: tuple[platform_api.ListedInstance, ...] = ()
        self._store = Objects()

    @property
    def objects(self) -> dict[str, tuple[int, typing.Any]]:
        """Version and value of each object."""
        return self._store.objects

    def read(self, key: str) -> defer.Deferred[platform_api.ReadResult]:
        return defer.succeed(self._read(key))

    def watch(
        self, key: str, version: int, timeout: float
    ) -> defer.Deferred[platform_api.WatchResult]:
        read = self._read(key)
        stored = read.value_or(None)
        if stored is not None and stored.version <= version:
            return defer.succeed(result.Success(None))
        return defer.succeed(read)

    def create(
        self, key: str, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self._write("create", lambda: self._store.write(key, ABSENT, value))

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self._write("update", lambda: self._store.write(key, version, value))

    def delete(
        self, key: str, version: int
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self._write("delete", lambda: self._store.delete(key, version))

    def instances(self) -> defer.Deferred[platform_api.ListResult]:
        self.calls["list"] += 1
        return defer.succeed(result.Success(self.listed))

    def _read(self, key: str) -> platform_api.ReadResult:
        self.calls["read"] += 1
        if self._next_result() != "ok":
            return result.Failure(errors.PlatformUnavailable("down"))
        return self._store.read(key)

    def _write(
        self,
        kind: str,
        apply: collections.abc.Callable[[], platform_api.WriteResult],
    ) -> defer.Deferred[platform_api.WriteResult]:
        self.calls[kind] += 1
        outcome = self._next_result()
        if outcome in ("down", "dropped"):
            return defer.succeed(uncertain(outcome))
        written = apply()
        return defer.succeed(uncertain(outcome) if outcome == "lost" else written)

    def _next_result(self) -> str:
        return self.script.popleft() if self.script else "ok"
