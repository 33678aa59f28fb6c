"""Object store in memory whose calls a test answers one by one."""

import collections.abc
import dataclasses
import typing

from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.process import pace
from jackdawpass.version import parts

LOST = errors.PlatformUnavailable("lost", uncertain=True)


@dataclasses.dataclass(eq=False)
class Call:
    """A call that has not been answered yet."""

    client: str
    key: str
    is_write: bool
    apply: collections.abc.Callable[[], typing.Any]
    reply: defer.Deferred[typing.Any] = dataclasses.field(
        default_factory=defer.Deferred
    )

    def answer(self) -> None:
        """Perform the call and reply."""
        self.reply.callback(self.apply())

    def lose_reply(self) -> None:
        """Perform the call, but report an uncertain outcome."""
        self.apply()
        self.reply.callback(result.Failure(LOST))

    def drop(self) -> None:
        """Report an uncertain outcome without performing the call."""
        self.reply.callback(result.Failure(LOST))


class Store:
    """Objects with versions, the calls under way and every accepted head."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, typing.Any]] = {}
        self.calls: list[Call] = []
        self.accepted: list[tuple[str, parts.Head]] = []
        self.on_call: collections.abc.Callable[[Call], None] = self.calls.append
        self.first_seen: dict[str, int] = {}
        self._writes = 0

    def write(
        self, client: str, key: str, expected: int, value: typing.Any
    ) -> typing.Any:
        """Write conditionally; version 0 stands for an absent object."""
        if self.objects.get(key, (0, None))[0] != expected:
            return result.Failure(errors.VersionConflict(key))
        self._writes += 1
        self.objects[key] = (self._writes, value)
        if key == parts.HEAD_KEY:
            head = parts.parse_head(value)
            assert head is not None
            self.accepted.append((client, head))
        return result.Success(self._writes)

    def read(self, client: str, key: str) -> typing.Any:
        """Read an object, and note the head version that a client saw first."""
        if key == parts.HEAD_KEY:
            self.first_seen.setdefault(client, len(self.accepted))
        if key not in self.objects:
            return result.Failure(errors.ObjectMissing(key))
        version, value = self.objects[key]
        return result.Success(platform_api.StoredObject(key, version, value))


class Client:
    """A `PlatformApi` of one operator; other calls than it needs are refused."""

    def __init__(self, store: Store, name: str) -> None:
        self._store = store
        self._name = name

    def read(self, key: str) -> defer.Deferred[typing.Any]:
        return self._call(key, False, lambda: self._store.read(self._name, key))

    def create(self, key: str, value: object) -> defer.Deferred[typing.Any]:
        return self.update(key, 0, value)

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[typing.Any]:
        return self._call(
            key, True, lambda: self._store.write(self._name, key, version, value)
        )

    def watch(
        self, key: str, version: int, timeout: float
    ) -> defer.Deferred[typing.Any]:
        raise NotImplementedError

    def delete(self, key: str, version: int) -> defer.Deferred[typing.Any]:
        raise NotImplementedError

    def instances(self) -> defer.Deferred[typing.Any]:
        raise NotImplementedError

    def _call(
        self,
        key: str,
        is_write: bool,
        apply: collections.abc.Callable[[], typing.Any],
    ) -> defer.Deferred[typing.Any]:
        call = Call(self._name, key, is_write, apply)
        self._store.on_call(call)
        return call.reply


def no_wait(max_tries: int = pace.MAX_TRIES) -> pace.Pace:
    """Return a pace whose time stands still and whose pauses end at once."""
    return pace.Pace(
        now=lambda: 0.0,
        pause=lambda _: defer.succeed(None),
        jitter=lambda: 0.5,
        max_tries=max_tries,
    )
