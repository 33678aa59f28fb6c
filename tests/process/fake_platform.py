"""In-memory object store in which a test answers each call."""

import collections.abc
import dataclasses
import typing

from returns import result
from twisted.internet import defer

from jackdawpass.connection import platform_api
from jackdawpass.process import retry
from jackdawpass.version import parts
from tests import fake_platform

LOST = fake_platform.uncertain("lost")


@dataclasses.dataclass(eq=False)
class Call:
    """A pending call.

    Attributes
    ----------
    expected : int or None
        Object version that a write requires, 0 to create the object; None for a read.
    """

    client: str
    key: str
    expected: int | None
    value: typing.Any
    apply: collections.abc.Callable[[], typing.Any]
    reply: defer.Deferred[typing.Any] = dataclasses.field(
        default_factory=defer.Deferred
    )

    @property
    def is_write(self) -> bool:
        """True if the call is a write."""
        return self.expected is not None

    def answer(self) -> None:
        """Perform the call and reply."""
        self.reply.callback(self.apply())

    def lose_reply(self) -> None:
        """Perform the call but report an uncertain outcome."""
        self.apply()
        self.drop()

    def drop(self) -> None:
        """Report an uncertain outcome without performing the call."""
        self.reply.callback(LOST)


class Store(fake_platform.Objects):
    """Versioned objects, the pending calls and all accepted heads."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[Call] = []
        self.accepted: list[tuple[str, parts.Head]] = []
        self.on_call: collections.abc.Callable[[Call], None] = self.calls.append
        self.first_read_version: dict[str, int] = {}

    def write_by(
        self, client: str, key: str, expected: int, value: object
    ) -> platform_api.WriteResult:
        """Write conditionally and record an accepted head with its client."""
        written = self.write(key, expected, value)
        if key == parts.HEAD_KEY and isinstance(written, result.Success):
            head = parts.parse_head(value)
            assert head is not None
            self.accepted.append((client, head))
        return written

    def read_by(self, client: str, key: str) -> platform_api.ReadResult:
        """Read an object and record the first head version that each client read."""
        if key == parts.HEAD_KEY:
            self.first_read_version.setdefault(client, len(self.accepted))
        return self.read(key)


class Client:
    """The `PlatformApi` of one operator; calls that a commit does not need fail."""

    def __init__(self, store: Store, name: str) -> None:
        self._store = store
        self._name = name

    def read(self, key: str) -> defer.Deferred[platform_api.ReadResult]:
        return self._call(key, None, None, lambda: self._store.read_by(self._name, key))

    def create(
        self, key: str, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self.update(key, fake_platform.ABSENT, value)

    def update(
        self, key: str, version: int, value: object
    ) -> defer.Deferred[platform_api.WriteResult]:
        return self._call(
            key,
            version,
            value,
            lambda: self._store.write_by(self._name, key, version, value),
        )

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

    def begin(self, call: Call) -> None:
        """Pass a new call to the store, which decides when it is answered."""
        self._store.on_call(call)

    def _call(
        self,
        key: str,
        expected: int | None,
        value: typing.Any,
        apply: collections.abc.Callable[[], typing.Any],
    ) -> defer.Deferred[typing.Any]:
        call = Call(self._name, key, expected, value, apply)
        self.begin(call)
        return call.reply


def no_wait(max_tries: int = retry.MAX_TRIES) -> retry.RetryPolicy:
    """Return a retry policy whose clock stands still and whose sleeps end at once."""
    return retry.RetryPolicy(
        now=lambda: 0.0,
        sleep=lambda _: defer.succeed(None),
        jitter=lambda: 0.5,
        max_tries=max_tries,
    )
