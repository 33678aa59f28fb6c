"""Cache of the objects of one kind in the platform's store."""

import collections.abc
import dataclasses
import math
import typing

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
        self._polled_revision = 0
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
    def poll_revision(self) -> int | None:
        """Revision to poll from; None if the objects must be listed."""
        if self._revision is None:
            return None
        return max(self._revision, self._polled_revision)

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
        self._revision = self._polled_revision = listing.revision

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

    def lacks(self, changes: Changes) -> bool:
        """Return whether some changes are not applied."""
        return any(
            item.revision > self._revisions.get(item.name, 0)
            for item in changes.changed
        ) or any(name in self._items for name in changes.deleted)

    def on_poll(self, changes: Changes) -> None:
        """Record that all changes up to a revision are applied."""
        self._polled_revision = max(self._polled_revision, changes.revision)

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
