"""How many instances share the targets, from what they leave in the store."""

import collections.abc
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass.process import logs
from jackdawpass.process.serving import mirror

_logger = logs.get_logger(__name__)

KIND = "jackdawpass-instances"
# All instances start within 0.3 s and have registered when they are first counted.
FIRST_COUNT_SECONDS = 3.0
# Instances are added rarely, and a count that is a little old errs by a few.
COUNT_SECONDS = 15.0
RETRY_SECONDS = 1.0


class Store(mirror.Store, typing.Protocol):
    """Calls to the platform's store, writes included."""

    def list(self, kind: str, stale: bool = False) -> defer.Deferred[mirror.ListResult]:
        """Read all objects; `stale` allows a cheap and older answer."""

    def check(
        self, kind: str, name: str
    ) -> defer.Deferred[result.Result[None, typing.Any]]:
        """Ask for one object, whether it exists or not, in the cheapest way."""

    def create(
        self, kind: str, name: str, content: object
    ) -> defer.Deferred[result.Result[bool, typing.Any]]:
        """Create an object; return whether it was new."""

    def close(self) -> None:
        """Close the connections."""


class Census:
    """Registers this instance once and counts the others.

    An instance that is gone stays counted; too high a count only makes the others more
    modest.

    Parameters
    ----------
    on_count : callable
        Called with each new count.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: Store,
        instance: str,
        on_count: collections.abc.Callable[[int], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._instance = instance
        self._on_count = on_count
        self._count = 0

    def start(self) -> None:
        """Register, then count again and again."""
        self._follow().addErrback(self._crashed)

    @defer.inlineCallbacks
    def _follow(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        while True:
            created = yield self._store.create(KIND, self._instance, {})
            if isinstance(created, result.Success):
                break
            yield self._wait(RETRY_SECONDS)
        yield self._wait(FIRST_COUNT_SECONDS)
        while True:
            listed = yield self._store.list(KIND, stale=True)
            self._take(listed)
            yield self._wait(COUNT_SECONDS)

    def _take(self, listed: mirror.ListResult) -> None:
        if not isinstance(listed, result.Success):
            return
        count = len(listed.unwrap().items)
        if count and count != self._count:
            self._count = count
            _logger.info("instances_counted", instances=count)
            self._on_count(count)

    def _wait(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds, lambda: None)

    def _crashed(self, reason: typing.Any) -> None:
        _logger.error("census_failed", reason=str(reason.value))
        self._reactor.callLater(RETRY_SECONDS, self.start)
