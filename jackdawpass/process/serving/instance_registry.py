"""Registration of this instance in the platform's store, and list of all instances."""

import collections.abc
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, mirror

_logger = logs.get_logger(__name__)

KIND = "jackdawpass-instances"
# Delay of the first list. Instances that are started together begin within 0.3 s, and
# have registered after this time.
FIRST_LIST_DELAY_SECONDS = 1.5
# Instances are added rarely, and an older list misses only a few.
LIST_SECONDS = 15.0
RETRY_SECONDS = 0.5


class Store(mirror.Store, typing.Protocol):
    """Calls to the platform's store, including writes."""

    def list(self, kind: str, stale: bool = False) -> defer.Deferred[mirror.ListResult]:
        """Read all objects; `stale` allows a cheaper, possibly outdated answer."""

    def check(
        self, kind: str, name: str
    ) -> defer.Deferred[result.Result[None, typing.Any]]:
        """Read one object, which may not exist, in the cheapest way."""

    def create(
        self, kind: str, name: str, content: object
    ) -> defer.Deferred[result.Result[bool, typing.Any]]:
        """Create an object; return whether it was new."""

    def close(self) -> None:
        """Close the connections."""


OnMembers = collections.abc.Callable[[tuple[aggregators.Member, ...]], None]


class InstanceRegistry:
    """Registration of this instance, and a periodic list of all instances.

    A lost instance stays listed. Too high a count only lowers the shares of the others,
    and the loss of an aggregator is detected by the instances that ping it.

    Parameters
    ----------
    member : Member
        This instance.
    on_members : callable
        Called with each new list.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: Store,
        member: aggregators.Member,
        on_members: OnMembers,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._member = member
        self._on_members = on_members
        self._members: tuple[aggregators.Member, ...] = ()

    @property
    def members(self) -> tuple[aggregators.Member, ...]:
        """Instances as last listed; empty before the first list."""
        return self._members

    def start(self) -> None:
        """Register, then list periodically."""
        self._run().addErrback(self._on_crash)

    @defer.inlineCallbacks
    def _run(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        while True:
            created = yield self._store.create(
                KIND, self._member.name, _encode(self._member)
            )
            if isinstance(created, result.Success):
                break
            yield self._wait(RETRY_SECONDS)
        if created.unwrap():
            # Other instances that start now register at the same time.
            yield self._wait(FIRST_LIST_DELAY_SECONDS)
        stale = False
        while True:
            listed = yield self._store.list(KIND, stale=stale)
            stale = self._on_listed(listed)
            yield self._wait(LIST_SECONDS if stale else RETRY_SECONDS)

    def _on_listed(self, listed: mirror.ListResult) -> bool:
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

    def _on_crash(self, reason: typing.Any) -> None:
        _logger.error("census_failed", reason=str(reason.value))
        self._reactor.callLater(RETRY_SECONDS, self.start)


def _encode(member: aggregators.Member) -> dict[str, object]:
    return {
        "zone": member.zone,
        "host": member.host,
        "port": member.port,
        "capacity": member.capacity,
    }
