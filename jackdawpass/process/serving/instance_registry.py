"""Which instances there are, from what they leave in the store."""

import collections.abc
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, mirror

_logger = logs.get_logger(__name__)

KIND = "jackdawpass-instances"
# All instances start within 0.3 s and have registered by then.
FIRST_COUNT_SECONDS = 1.5
# Instances are added rarely, and an older count errs by a few.
COUNT_SECONDS = 15.0
RETRY_SECONDS = 0.5


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


OnMembers = collections.abc.Callable[[tuple[aggregators.Member, ...]], None]


class InstanceRegistry:
    """Registers this instance once and lists the others.

    An instance that is gone stays listed; too high a count only makes the others more
    modest, and an aggregator that is gone is noticed by those who ask it.

    Parameters
    ----------
    me : Member
        This instance.
    on_members : callable
        Called with each new list.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: Store,
        me: aggregators.Member,
        on_members: OnMembers,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._me = me
        self._on_members = on_members
        self._members: tuple[aggregators.Member, ...] = ()

    @property
    def members(self) -> tuple[aggregators.Member, ...]:
        """Instances as last listed; empty before the first list."""
        return self._members

    def start(self) -> None:
        """Register, then list again and again."""
        self._follow().addErrback(self._crashed)

    @defer.inlineCallbacks
    def _follow(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        while True:
            created = yield self._store.create(KIND, self._me.name, _content(self._me))
            if isinstance(created, result.Success):
                break
            yield self._wait(RETRY_SECONDS)
        if created.unwrap():
            # Others that start now register at the same time.
            yield self._wait(FIRST_COUNT_SECONDS)
        stale = False
        while True:
            listed = yield self._store.list(KIND, stale=stale)
            stale = self._take(listed)
            yield self._wait(COUNT_SECONDS if stale else RETRY_SECONDS)

    def _take(self, listed: mirror.ListResult) -> bool:
        if not isinstance(listed, result.Success):
            return False
        members = tuple(
            item.content
            for item in listed.unwrap().items
            if isinstance(item.content, aggregators.Member)
        )
        if members and members != self._members:
            self._members = members
            _logger.info("instances_listed", instances=len(members))
            self._on_members(members)
        return bool(members)

    def _wait(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds, lambda: None)

    def _crashed(self, reason: typing.Any) -> None:
        _logger.error("census_failed", reason=str(reason.value))
        self._reactor.callLater(RETRY_SECONDS, self.start)


def _content(me: aggregators.Member) -> dict[str, object]:
    return {
        "zone": me.zone,
        "host": me.host,
        "port": me.port,
        "capacity": me.capacity,
    }
