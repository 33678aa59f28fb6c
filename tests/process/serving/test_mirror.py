"""Mirror of a store that fails, lags or loses calls."""

import random
import typing

import pytest
from returns import result
from twisted.internet import defer, task

from jackdawpass import clock, errors
from jackdawpass.process.serving import mirror, object_cache

DOWN = result.Failure(errors.PlatformUnavailable("reset"))


def items(*names: str) -> tuple[object_cache.Item, ...]:
    return tuple(object_cache.Item(name, name.upper()) for name in names)


class ScriptedStore:
    """Store whose answers the test gives."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.polls: list[int] = []
        self.poll_answer: mirror.WatchResult = DOWN
        self.pending: defer.Deferred[typing.Any] = defer.Deferred()

    def list(self, kind: str) -> defer.Deferred[mirror.ListResult]:
        return self._call("list")

    def watch(
        self, kind: str, revision: int, wait: float
    ) -> defer.Deferred[mirror.WatchResult]:
        return self._call(f"watch {revision}")

    def poll(self, kind: str, revision: int) -> defer.Deferred[mirror.WatchResult]:
        self.polls.append(revision)
        return defer.succeed(self.poll_answer)

    def answer(self, answer: object) -> None:
        self.pending.callback(answer)

    def _call(self, call: str) -> defer.Deferred[typing.Any]:
        self.calls.append(call)
        self.pending = defer.Deferred(lambda cancelled: cancelled.callback(DOWN))
        return self.pending


class FixedStoreHealth:
    """Availability that the test sets."""

    def __init__(self) -> None:
        self.unavailable = False
        self.waiting: list[defer.Deferred[None]] = []

    def when_available(self) -> defer.Deferred[None]:
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]


class Harness:
    """A mirror with a scripted store and a clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(clock, "monotonic", self.clock.seconds)
        self.store = ScriptedStore()
        self.store_health = FixedStoreHealth()
        self.seen: list[set[str]] = []
        self.mirror = mirror.Mirror(
            self.clock,
            self.store,
            self.store_health,
            "servers",
            lambda got: self.seen.append(set(got)),
            random.Random(1),
        )
        self.mirror.start()

    def answer_list(self, revision: int, *names: str) -> None:
        self.store.answer(result.Success(object_cache.Listing(items(*names), revision)))
        self.clock.advance(object_cache.BATCH_SECONDS)


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(monkeypatch)


def test_list_then_watch_from_its_revision(harness: Harness) -> None:
    """Guards against changes missed between the list and the watch."""
    harness.answer_list(7, "a", "b")
    assert harness.store.calls == ["list", "watch 7"]
    assert harness.seen == [{"a", "b"}]


def test_failed_watch_lists_again(harness: Harness) -> None:
    """Guards against a watch that never returns because its history is discarded."""
    harness.answer_list(7, "a")
    harness.store.answer(DOWN)
    harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    assert harness.store.calls[-1] == "list"


def test_discarded_history_lists_again_at_once(harness: Harness) -> None:
    """Guards against a delay after the store reported missed changes."""
    harness.answer_list(7, "a")
    harness.store.answer(result.Failure(mirror.HistoryGone()))
    assert harness.store.calls[-1] == "list"


def test_quick_changes_share_one_watch(harness: Harness) -> None:
    """Guards against one charged call for each of many changes."""
    harness.answer_list(7, "a")
    harness.store.answer(result.Success(object_cache.Changes(items("b"), (), 8)))
    assert len(harness.store.calls) == 2
    harness.clock.advance(object_cache.BATCH_SECONDS)
    assert harness.store.calls[-1] == "watch 8"


def test_missing_object_is_kept_for_a_grace_period_after_an_outage(
    harness: Harness,
) -> None:
    """Guards against dropping all targets whose entries expired during an outage."""
    harness.answer_list(7, "a", "b")
    for _ in range(object_cache.FAILURES_UNTIL_UNAVAILABLE):
        harness.store.answer(DOWN)
        harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    harness.store.answer(result.Success(object_cache.Listing(items("a"), 9)))
    assert harness.seen[-1] == {"a", "b"}
    harness.clock.advance(object_cache.RECOVERY_GRACE_SECONDS)
    assert harness.seen[-1] == {"a"}


def test_object_restored_after_an_outage_is_kept(harness: Harness) -> None:
    """Guards against dropping a target that has restored its entry."""
    harness.answer_list(7, "a", "b")
    for _ in range(object_cache.FAILURES_UNTIL_UNAVAILABLE):
        harness.store.answer(DOWN)
        harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    harness.answer_list(9, "a")
    harness.store.answer(result.Success(object_cache.Changes(items("b"), (), 10)))
    harness.clock.advance(object_cache.RECOVERY_GRACE_SECONDS)
    assert harness.seen[-1] == {"a", "b"}


def test_deleted_object_is_removed_at_once_without_an_outage(harness: Harness) -> None:
    """Guards against requests to a target that has left."""
    harness.answer_list(7, "a", "b")
    harness.store.answer(result.Success(object_cache.Changes((), ("b",), 8)))
    assert harness.seen[-1] == {"a"}


def test_backoff_grows_and_is_bounded() -> None:
    """Guards against a flood of calls to an unavailable store."""
    cache = object_cache.ObjectCache()
    delays = []
    for _ in range(12):
        cache.on_failure()
        delays.append(cache.delay())
    assert delays == sorted(delays)
    assert delays[0] == object_cache.INITIAL_BACKOFF_SECONDS
    assert delays[-1] == object_cache.MAX_BACKOFF_SECONDS


def test_failing_callback_does_not_stop_the_mirror(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that stops watching after one bad object."""

    def fail(got: object) -> None:
        raise RuntimeError("bad object")

    monkeypatch.setattr(harness.mirror, "_on_items", fail)
    harness.answer_list(7, "a")
    harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    assert harness.store.calls.count("list") == 2


def test_refresh_cancels_a_watch_lost_in_an_outage(
    harness: Harness,
) -> None:
    """Guards against a lost watch that never reports a target that leaves."""
    harness.answer_list(7, "a", "b")
    harness.mirror.refresh()
    harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    assert harness.store.calls[-1] == "list"
    harness.answer_list(9, "a")
    assert harness.seen[-1] == {"a", "b"}
    harness.clock.advance(object_cache.RECOVERY_GRACE_SECONDS)
    assert harness.seen[-1] == {"a"}


def test_no_charged_calls_while_the_store_is_unavailable(harness: Harness) -> None:
    """Guards against charged calls that cannot succeed."""
    harness.answer_list(7, "a")
    harness.store_health.unavailable = True
    harness.store.answer(DOWN)
    harness.clock.advance(60)
    assert len(harness.store.calls) == 2
    harness.store_health.unavailable = False
    harness.store_health.waiting[0].callback(None)
    assert harness.store.calls[-1] == "list"


def test_stopped_mirror_reports_nothing(harness: Harness) -> None:
    """Guards against old targets that are put in force after following was stopped."""
    harness.answer_list(5, "a", "b")
    harness.mirror.refresh()
    harness.clock.advance(object_cache.INITIAL_BACKOFF_SECONDS)
    harness.clock.advance(object_cache.MAX_BACKOFF_SECONDS)
    harness.answer_list(6, "a")
    harness.mirror.stop()
    reported = len(harness.seen)
    harness.clock.advance(2 * object_cache.RECOVERY_GRACE_SECONDS)
    assert len(harness.seen) == reported


def test_change_that_the_list_contains_is_not_applied_again() -> None:
    """Guards against a target that is used again after its entry said it leaves."""
    cache = object_cache.ObjectCache()
    cache.on_listing(
        0.0, object_cache.Listing((object_cache.Item("a", "leaving", 14),), 10)
    )
    older = object_cache.Item("a", "ready", 12)
    cache.on_changes(1.0, object_cache.Changes((older,), (), 12))
    assert cache.items == {"a": "leaving"}
    for item in (
        object_cache.Item("a", "leaving", 14),
        object_cache.Item("a", "ready", 15),
    ):
        cache.on_changes(2.0, object_cache.Changes((item,), (), item.revision))
    assert cache.items == {"a": "ready"}
    cache.on_changes(3.0, object_cache.Changes((), ("a",), 16))
    cache.on_changes(
        4.0, object_cache.Changes((object_cache.Item("a", "new", 1),), (), 17)
    )
    assert cache.items == {"a": "new"}


def poll_changes(harness: Harness, changes: object_cache.Changes) -> None:
    harness.store.poll_answer = result.Success(changes)
    harness.mirror.check()


CHANGED = object_cache.Changes((object_cache.Item("a", "A", 9),), (), 9)
DELETED = object_cache.Changes((), ("a",), 9)


@pytest.mark.parametrize("missed", [CHANGED, DELETED])
def test_watch_that_misses_a_change_is_replaced_by_a_list(
    harness: Harness, missed: object_cache.Changes
) -> None:
    """Guards against a lost watch that is noticed only when it times out."""
    harness.answer_list(5, "a")
    harness.clock.advance(object_cache.BATCH_SECONDS)
    poll_changes(harness, missed)
    harness.clock.advance(mirror.CONFIRM_SECONDS - 0.1)
    assert harness.store.calls == ["list", "watch 5"]
    harness.clock.advance(0.1)
    harness.clock.advance(object_cache.INITIAL_BACKOFF_SECONDS)
    assert harness.store.calls == ["list", "watch 5", "list"]


def test_watch_that_returns_a_polled_change_goes_on(harness: Harness) -> None:
    """Guards against lists for each change that a poll shows before the watch."""
    harness.answer_list(5, "a")
    harness.clock.advance(object_cache.BATCH_SECONDS)
    poll_changes(harness, CHANGED)
    harness.store.answer(result.Success(CHANGED))
    harness.clock.advance(mirror.CONFIRM_SECONDS)
    assert harness.store.calls == ["list", "watch 5", "watch 9"]


def test_poll_begins_after_the_changes_that_are_known(harness: Harness) -> None:
    """Guards against polls from a revision that the store's history no longer has."""
    harness.answer_list(5, "a")
    harness.clock.advance(object_cache.BATCH_SECONDS)
    poll_changes(harness, object_cache.Changes((), (), 30))
    # A copy of the store that lags behind.
    poll_changes(harness, object_cache.Changes((), (), 12))
    poll_changes(harness, object_cache.Changes((), (), 31))
    assert harness.store.polls == [5, 30, 30]
    assert harness.store.calls == ["list", "watch 5"]


def test_poll_without_history_lists_again(harness: Harness) -> None:
    """Guards against changes that are discarded before a lost watch is noticed."""
    harness.answer_list(5, "a")
    harness.clock.advance(object_cache.BATCH_SECONDS)
    harness.store.poll_answer = result.Failure(mirror.HistoryGone())
    harness.mirror.check()
    harness.clock.advance(object_cache.INITIAL_BACKOFF_SECONDS)
    assert harness.store.calls == ["list", "watch 5", "list"]


def test_failed_poll_is_reported(harness: Harness) -> None:
    """Guards against an outage of the store that no check detects."""
    harness.answer_list(5, "a")
    checked: list[mirror.CheckResult] = []
    harness.mirror.check().addCallback(checked.append)
    assert checked == [DOWN]
    assert harness.store.calls == ["list", "watch 5"]
