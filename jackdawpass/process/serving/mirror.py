"""Mirror of objects of the platform's store, updated by listing and watching them."""

import collections.abc
import dataclasses
import math
import random
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass import clock, errors
from jackdawpass.process import logs

_logger = logs.get_logger(__name__)

# Timeout of one watch; every call is charged, however long it waits. Connections that
# go silent meanwhile are detected by keep-alive probes.
WATCH_SECONDS = 25.0
# Delay between watches, so that one call returns a batch of quick changes: each call is
# charged, and a change has seconds to come into force.
BATCH_SECONDS = 0.3
# The same for objects that change rarely. It is short so that all instances change at
# nearly the same time: callers must not see an older version just after a newer one.
RARE_CHANGE_BATCH_SECONDS = 0.05
# Backoff after failed calls. The first retry comes soon, since most failures are a lost
# connection; the maximum bounds how late the store's recovery is detected.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.8
# Consecutive failures after which the store counts as unavailable.
FAILURES_UNTIL_UNAVAILABLE = 2
# Writers restore entries that expired during an outage within this time after the
# store's recovery; an entry that is still missing then is removed.
RECOVERY_GRACE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """An object of the store.

    Attributes
    ----------
    content : object
        Content decoded by the adapter; None if it could not be decoded.
    revision : int
        Revision of the object's last change.
    """

    name: str
    content: typing.Any
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind; later changes than `revision` may be missing."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision; deleted objects are given by name."""

    changed: tuple[Item, ...]
    deleted: tuple[str, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """Failure of a watch whose changes the store has discarded; list again."""


ListResult = result.Result[Listing, errors.PlatformUnavailable]
WatchResult = result.Result[Changes, errors.PlatformUnavailable | HistoryGone]


class Store(typing.Protocol):
    """Calls to the platform's store that list and watch objects of a kind."""

    def list(self, kind: str) -> defer.Deferred[ListResult]:
        """Read all objects."""

    def watch(
        self, kind: str, revision: int, wait: float
    ) -> defer.Deferred[WatchResult]:
        """Wait up to `wait` seconds for changes after a revision."""


class ObjectCache:
    """Cache of the objects of one kind.

    Objects that are missing just after an outage of the store are kept for a grace
    period, since their writers need time to restore them.
    """

    def __init__(self, batch_seconds: float = BATCH_SECONDS) -> None:
        self._batch_seconds = batch_seconds
        self._items: dict[str, typing.Any] = {}
        self._revisions: dict[str, int] = {}
        self._unconfirmed: set[str] = set()
        self._failures = 0
        self._recovered_at = -math.inf
        self._revision: int | None = None
        self._listed = False

    @property
    def items(self) -> collections.abc.Mapping[str, typing.Any]:
        """Content of each object by name."""
        return self._items

    @property
    def revision(self) -> int | None:
        """Revision to watch from; None if the objects must be listed."""
        return self._revision

    @property
    def listed(self) -> bool:
        """True after the first successful list."""
        return self._listed

    @property
    def unavailable(self) -> bool:
        """True while the store does not respond."""
        return self._failures >= FAILURES_UNTIL_UNAVAILABLE

    def delay(self) -> float:
        """Return the delay in seconds before the next call."""
        if self._failures == 0:
            return 0.0 if self._revision is None else self._batch_seconds
        return min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** (self._failures - 1)
        )

    def on_listing(self, now: float, listing: Listing) -> None:
        """Replace the objects by a full list."""
        self._on_success(now)
        self._listed = True
        listed = {item.name: item.content for item in listing.items}
        missing = self._items.keys() - listed.keys()
        kept = missing if self._in_grace_period(now) else set()
        self._unconfirmed = set(kept)
        self._items = {name: self._items[name] for name in kept} | listed
        self._revisions = {item.name: item.revision for item in listing.items}
        self._revision = listing.revision

    def on_changes(self, now: float, changes: Changes) -> None:
        """Apply changes; one batch may delete an object and create it again."""
        self._on_success(now)
        for item in changes.changed:
            # A watch repeats changes that the list may contain already.
            if item.revision < self._revisions.get(item.name, 0):
                continue
            self._revisions[item.name] = item.revision
            self._items[item.name] = item.content
            self._unconfirmed.discard(item.name)
        for name in changes.deleted:
            if name in self._items and self._in_grace_period(now):
                self._unconfirmed.add(name)
            else:
                self._items.pop(name, None)
                self._revisions.pop(name, None)
        self._revision = changes.revision

    def on_history_gone(self) -> None:
        """Request a new list."""
        self._revision = None

    def on_failure(self) -> None:
        """Record a failed call, and request a new list.

        If the store has discarded its history, a watch from an old revision may wait
        without returning the missed changes.
        """
        self._failures += 1
        self._revision = None

    def on_outage(self) -> None:
        """Record an outage, even if this cache's own calls have not failed."""
        self._failures = max(self._failures, FAILURES_UNTIL_UNAVAILABLE)
        self._revision = None

    def expires_at(self) -> float | None:
        """Return when unconfirmed objects expire; None if there are none."""
        return (
            self._recovered_at + RECOVERY_GRACE_SECONDS if self._unconfirmed else None
        )

    def expire(self, now: float) -> bool:
        """Remove unconfirmed objects after the grace period; return True if any."""
        if not self._unconfirmed or self._in_grace_period(now):
            return False
        for name in self._unconfirmed:
            self._items.pop(name, None)
        self._unconfirmed.clear()
        return True

    def _on_success(self, now: float) -> None:
        if self.unavailable:
            self._recovered_at = now
        self._failures = 0

    def _in_grace_period(self, now: float) -> bool:
        return now < self._recovered_at + RECOVERY_GRACE_SECONDS


OnItems = collections.abc.Callable[[collections.abc.Mapping[str, typing.Any]], None]


class StoreHealth(typing.Protocol):
    """Availability of the store, determined by calls that cost less."""

    @property
    def unavailable(self) -> bool:
        """True while the store does not respond."""

    def when_available(self) -> defer.Deferred[None]:
        """Return a deferred that fires when the store responds again."""


class Mirror:
    """Up-to-date cache of one kind of object.

    Parameters
    ----------
    reactor : IReactorTime
        Sets timers.
    store : Store
        The platform's store.
    store_health : StoreHealth
        Suspends calls while the store is unavailable.
    kind : str
        Kind of the objects.
    on_items : callable
        Called with all objects after each change.
    generator : random.Random
        Adds jitter to the delays of many instances.
    batch_seconds : float
        Delay in seconds between watches, which batches quick changes.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: Store,
        store_health: StoreHealth,
        kind: str,
        on_items: OnItems,
        generator: random.Random,
        batch_seconds: float = BATCH_SECONDS,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._store_health = store_health
        self._kind = kind
        self._call: defer.Deferred[typing.Any] | None = None
        self._on_items = on_items
        self._random = generator
        self._cache = ObjectCache(batch_seconds)
        self._running = True
        self._expiry_timer: typing.Any = None

    @property
    def listed(self) -> bool:
        """True after the first successful list."""
        return self._cache.listed

    def start(self) -> None:
        """Start listing and watching."""
        self._run().addErrback(self._on_crash)

    def stop(self) -> None:
        """Cancel the current call and make no more."""
        self._running = False
        if self._call is not None:
            self._call.cancel()

    def refresh(self) -> None:
        """List again: an outage of the store may have lost the current call."""
        self._cache.on_outage()
        if self._call is not None:
            self._call.cancel()

    @defer.inlineCallbacks
    def _run(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        while self._running:
            if self._store_health.unavailable:
                yield self._store_health.when_available()
            self._call = self._next_call()
            answer = yield self._call
            self._call = None
            if not self._running:
                return
            self._apply(clock.monotonic(), answer)
            delay = self._cache.delay()
            if delay:
                jittered = delay * self._random.uniform(0.5, 1.0)
                yield task.deferLater(self._reactor, jittered, lambda: None)

    def _next_call(self) -> defer.Deferred[typing.Any]:
        revision = self._cache.revision
        if revision is None:
            return self._store.list(self._kind)
        return self._store.watch(self._kind, revision, WATCH_SECONDS)

    def _apply(self, now: float, answer: ListResult | WatchResult) -> None:
        if isinstance(answer, result.Success):
            update = answer.unwrap()
            if isinstance(update, Listing):
                self._cache.on_listing(now, update)
            else:
                self._cache.on_changes(now, update)
                if not update.changed and not update.deleted:
                    return
            self._on_items(self._cache.items)
            self._schedule_expiry(now)
            return
        failure = answer.failure()
        if isinstance(failure, HistoryGone):
            _logger.info("store_history_gone", kind=self._kind)
            self._cache.on_history_gone()
            return
        self._cache.on_failure()
        _logger.info("store_call_failed", kind=self._kind, reason=str(failure))

    def _schedule_expiry(self, now: float) -> None:
        at = self._cache.expires_at()
        if at is None or self._expiry_timer is not None:
            return
        self._expiry_timer = self._reactor.callLater(max(0.0, at - now), self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        now = clock.monotonic()
        if self._cache.expire(now):
            self._on_items(self._cache.items)
        else:
            self._schedule_expiry(now)

    def _on_crash(self, reason: typing.Any) -> None:
        _logger.error("mirror_failed", kind=self._kind, reason=str(reason.value))
        self._cache.on_history_gone()
        self._reactor.callLater(MAX_BACKOFF_SECONDS, self.start)
