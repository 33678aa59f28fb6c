"""Mirror of objects of the platform's store, updated by listing and watching them."""

import collections.abc
import dataclasses
import random
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass import clock, errors
from jackdawpass.process import logs
from jackdawpass.process.serving import object_cache

_logger = logs.get_logger(__name__)

# Timeout of one watch; every call is charged, however long it waits. Connections that
# go silent meanwhile are detected by keep-alive probes.
WATCH_SECONDS = 25.0
# Time for which a change that a poll has shown may be under way to the watch. It covers
# the delay between watches and the response of a slow store.
CONFIRM_SECONDS = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """Failure of a watch whose changes the store has discarded; list again."""


ListResult = result.Result[object_cache.Listing, errors.PlatformUnavailable]
WatchResult = result.Result[
    object_cache.Changes, errors.PlatformUnavailable | HistoryGone
]
CheckResult = result.Result[None, errors.PlatformUnavailable]


class Store(typing.Protocol):
    """Calls to the platform's store that list and watch objects of a kind."""

    def list(self, kind: str) -> defer.Deferred[ListResult]:
        """Read all objects."""

    def watch(
        self, kind: str, revision: int, wait: float
    ) -> defer.Deferred[WatchResult]:
        """Wait up to `wait` seconds for changes after a revision."""

    def poll(self, kind: str, revision: int) -> defer.Deferred[WatchResult]:
        """Read the changes after a revision; the latest seconds may be missing."""


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
        batch_seconds: float = object_cache.BATCH_SECONDS,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._store_health = store_health
        self._kind = kind
        self._call: defer.Deferred[typing.Any] | None = None
        self._on_items = on_items
        self._random = generator
        self._cache = object_cache.ObjectCache(batch_seconds)
        self._running = True
        self._expiry_timer: typing.Any = None

    @property
    def listed(self) -> bool:
        """True after the first successful list."""
        return self._cache.listed

    @property
    def watching(self) -> bool:
        """True while changes are watched; False while the objects are listed."""
        return self._cache.revision is not None

    @defer.inlineCallbacks
    def check(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, CheckResult]:
        """Check that the store responds, and that the watch has missed no change.

        A store that is silent for a moment may lose the response of a watch. Later
        calls are answered, but the watch waits on.
        """
        revision = self._cache.poll_revision
        assert revision is not None
        polled: WatchResult = yield self._store.poll(self._kind, revision)
        if isinstance(polled, result.Failure):
            failure = polled.failure()
            if not isinstance(failure, HistoryGone):
                return result.Failure(failure)
            self._list_again("history_gone")
            return result.Success(None)
        changes = polled.unwrap()
        if self._cache.lacks(changes):
            self._reactor.callLater(CONFIRM_SECONDS, self._confirm, changes)
        else:
            self._cache.on_poll(changes)
        return result.Success(None)

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
            if isinstance(update, object_cache.Listing):
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

    def _confirm(self, changes: object_cache.Changes) -> None:
        """List again if the watch has still not returned some changes."""
        if self._running and self.watching and self._cache.lacks(changes):
            self._list_again("missed_change")

    def _list_again(self, reason: str) -> None:
        _logger.info("watch_lost", kind=self._kind, reason=reason)
        self._cache.on_history_gone()
        if self._call is not None:
            self._call.cancel()

    def _schedule_expiry(self, now: float) -> None:
        at = self._cache.expires_at()
        if at is None or self._expiry_timer is not None:
            return
        self._expiry_timer = self._reactor.callLater(max(0.0, at - now), self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        if not self._running:
            return
        now = clock.monotonic()
        if self._cache.expire(now):
            self._on_items(self._cache.items)
        else:
            self._schedule_expiry(now)

    def _on_crash(self, reason: typing.Any) -> None:
        _logger.error("mirror_failed", kind=self._kind, reason=str(reason.value))
        self._cache.on_history_gone()
        self._reactor.callLater(object_cache.MAX_BACKOFF_SECONDS, self.start)
