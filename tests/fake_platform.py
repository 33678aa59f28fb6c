"""In-memory platform store whose calls can lose replies, drop writes or fail."""

import collections
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api


class FakePlatform:
    """A `PlatformApi` that answers at once.

    `script` holds the fate of the coming calls: "ok" (also when it is empty), "lost" (a
    write takes effect, its reply is lost), "dropped" (no effect) or "down".
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, typing.Any]] = {}
        self.script: collections.deque[str] = collections.deque()
        self.calls: collections.Counter[str] = collections.Counter()
        self.listed: tuple[platform_api.ListedInstance, ...] = ()
        self._version = 0

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
        return defer.succeed(self._write("create", key, None, value))

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return defer.succeed(self._write("update", key, version, value))

    def delete(
        self, key: str, version: int
    ) -> defer.Deferred[platform_api.WriteResult]:
        return defer.succeed(self._write("delete", key, version, None))

    def instances(self) -> defer.Deferred[platform_api.ListResult]:
        self.calls["list"] += 1
        return defer.succeed(result.Success(self.listed))

    def _read(self, key: str) -> platform_api.ReadResult:
        self.calls["read"] += 1
        if self._fate() != "ok":
            return result.Failure(errors.PlatformUnavailable("down"))
        if key not in self.objects:
            return result.Failure(errors.ObjectMissing(key))
        return result.Success(platform_api.StoredObject(key, *self.objects[key]))

    def _write(
        self, kind: str, key: str, version: int | None, value: object
    ) -> platform_api.WriteResult:
        self.calls[kind] += 1
        fate = self._fate()
        if fate in ("down", "dropped"):
            return result.Failure(errors.PlatformUnavailable(fate, uncertain=True))
        written = self._apply(kind, key, version, value)
        if fate == "lost":
            return result.Failure(errors.PlatformUnavailable("lost", uncertain=True))
        return written

    def _apply(
        self, kind: str, key: str, version: int | None, value: object
    ) -> platform_api.WriteResult:
        current = self.objects.get(key)
        if kind == "create" and current is not None:
            return result.Failure(errors.VersionConflict(key))
        if kind != "create" and current is None:
            return result.Failure(errors.ObjectMissing(key))
        if kind != "create" and current is not None and current[0] != version:
            return result.Failure(errors.VersionConflict(key))
        self._version += 1
        if kind == "delete":
            del self.objects[key]
        else:
            plain = msgspec.json.decode(msgspec.json.encode(value))
            self.objects[key] = (self._version, plain)
        return result.Success(self._version)

    def _fate(self) -> str:
        return self.script.popleft() if self.script else "ok"
