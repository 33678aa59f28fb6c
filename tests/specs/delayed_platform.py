"""Platform store in which a test decides when each call takes effect and answers."""

import dataclasses
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api


class SharedStore:
    """Objects with versions that count the writes of each object from 1."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, typing.Any]] = {}

    def read(self, key: str) -> platform_api.ReadResult:
        if key not in self.objects:
            return result.Failure(errors.ObjectMissing(key))
        return result.Success(platform_api.StoredObject(key, *self.objects[key]))

    def apply(self, write: "Write") -> platform_api.WriteResult:
        version = self.objects[write.key][0] if write.key in self.objects else 0
        if version != write.expected:
            return result.Failure(errors.VersionConflict(write.key))
        self.objects[write.key] = (version + 1, write.value)
        return result.Success(version + 1)


@dataclasses.dataclass(eq=False)
class Write:
    """A write on its way; `expected` 0 creates."""

    key: str
    expected: int
    value: typing.Any
    reply: "defer.Deferred[platform_api.WriteResult]"


class DelayedPlatform:
    """The platform as one process sees it; at most one call waits for a reply."""

    def __init__(self, store: SharedStore) -> None:
        self._store = store
        self.flying: list[Write] = []
        self.writing: Write | None = None
        self.reading: tuple[str, defer.Deferred[platform_api.ReadResult]] | None = None

    def create(
        self, key: str, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self.update(key, 0, value)

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        plain = msgspec.json.decode(msgspec.json.encode(value))
        self.writing = Write(key, version, plain, defer.Deferred())
        self.flying.append(self.writing)
        return self.writing.reply

    def read(self, key: str) -> defer.Deferred[platform_api.ReadResult]:
        self.reading = (key, defer.Deferred())
        return self.reading[1]

    def watch(
        self, key: str, version: int, timeout: float
    ) -> defer.Deferred[platform_api.WatchResult]:
        raise NotImplementedError

    def delete(
        self, key: str, version: int
    ) -> defer.Deferred[platform_api.WriteResult]:
        raise NotImplementedError

    def instances(self) -> defer.Deferred[platform_api.ListResult]:
        raise NotImplementedError

    def land(self, write: Write, reply: bool) -> None:
        """Let a write reach the store, and its reply reach the process."""
        self.flying.remove(write)
        outcome = self._store.apply(write)
        if reply:
            assert write is self.writing
            self.writing = None
            write.reply.callback(outcome)

    def drop(self, write: Write) -> None:
        """Lose a write on its way."""
        self.flying.remove(write)

    def lose_reply(self) -> None:
        """Tell the process that its write has an unknown effect."""
        write, self.writing = self.writing, None
        assert write is not None
        lost = errors.PlatformUnavailable("lost", uncertain=True)
        write.reply.callback(result.Failure(lost))

    def answer_read(self, ok: bool = True) -> None:
        """Answer the read that waits."""
        assert self.reading is not None
        (key, reply), self.reading = self.reading, None
        failed = result.Failure(errors.PlatformUnavailable("down"))
        reply.callback(self._store.read(key) if ok else failed)
