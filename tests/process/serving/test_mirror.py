"""What an instance believes of the store's objects while the store misbehaves."""

import random
import typing

import pytest
from returns import result
from twisted.internet import defer, task

from jackdawpass import clock, errors
from jackdawpass.process.serving import mirror

DOWN = result.Failure(errors.PlatformUnavailable("reset"))


def items(*names: str) -> tuple[mirror.Item, ...]:
    return tuple(mirror.Item(name, name.upper()) for name in names)


class ScriptedStore:
    """Answers calls when the test says so."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.pending: defer.Deferred[typing.Any] = defer.Deferred()

    def list(self, kind: str) -> defer.Deferred[mirror.ListResult]:
        return self._call("list")

    def watch(
        self, kind: str, revision: int, wait: float
    ) -> defer.Deferred[mirror.WatchResult]:
        return self._call(f"watch {revision}")

    def answer(self, answer: object) -> None:
        self.pending.callback(answer)

    def _call(self, call: str) -> defer.Deferred[typing.Any]:
        self.calls.append(call)
        self.pending = defer.Deferred(lambda given_up: given_up.callback(DOWN))
        return self.pending


class FixedStoreHealth:
    """Says what the test sets."""

    def __init__(self) -> None:
        self.unavailable = False
        self.waiting: list[defer.Deferred[None]] = []

    def when_available(self) -> defer.Deferred[None]:
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]


class World:
    """A mirror with its store and a clock."""

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

    def lists(self, revision: int, *names: str) -> None:
        self.store.answer(result.Success(mirror.Listing(items(*names), revision)))
        self.clock.advance(mirror.GATHER_SECONDS)


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    return World(monkeypatch)


def test_list_then_watch_from_its_revision(world: World) -> None:
    """Guards against changes that fall between the list and the watch."""
    world.lists(7, "a", "b")
    assert world.store.calls == ["list", "watch 7"]
    assert world.seen == [{"a", "b"}]


def test_cut_watch_lists_again(world: World) -> None:
    """Guards against a watch from a dropped history that hears of nothing."""
    world.lists(7, "a")
    world.store.answer(DOWN)
    world.clock.advance(mirror.MAX_PAUSE_SECONDS)
    assert world.store.calls[-1] == "list"


def test_gone_history_lists_again_at_once(world: World) -> None:
    """Guards against waiting while the store says that changes were missed."""
    world.lists(7, "a")
    world.store.answer(result.Failure(mirror.HistoryGone()))
    assert world.store.calls[-1] == "list"


def test_quick_changes_share_one_watch(world: World) -> None:
    """Guards against one priced call for each of many changes."""
    world.lists(7, "a")
    world.store.answer(result.Success(mirror.Changes(items("b"), (), 8)))
    assert len(world.store.calls) == 2
    world.clock.advance(mirror.GATHER_SECONDS)
    assert world.store.calls[-1] == "watch 8"


def test_missing_after_outage_is_kept_until_writers_are_back(world: World) -> None:
    """Guards against dropping every target whose entry lapsed in an outage."""
    world.lists(7, "a", "b")
    for _ in range(mirror.FAILURES_UNTIL_UNAVAILABLE):
        world.store.answer(DOWN)
        world.clock.advance(mirror.MAX_PAUSE_SECONDS)
    world.store.answer(result.Success(mirror.Listing(items("a"), 9)))
    assert world.seen[-1] == {"a", "b"}
    world.clock.advance(mirror.RETURN_SECONDS)
    assert world.seen[-1] == {"a"}


def test_back_after_outage_stays(world: World) -> None:
    """Guards against dropping a target that has written its entry again."""
    world.lists(7, "a", "b")
    for _ in range(mirror.FAILURES_UNTIL_UNAVAILABLE):
        world.store.answer(DOWN)
        world.clock.advance(mirror.MAX_PAUSE_SECONDS)
    world.lists(9, "a")
    world.store.answer(result.Success(mirror.Changes(items("b"), (), 10)))
    world.clock.advance(mirror.RETURN_SECONDS)
    assert world.seen[-1] == {"a", "b"}


def test_deleted_in_calm_is_gone_at_once(world: World) -> None:
    """Guards against work for a target that has left."""
    world.lists(7, "a", "b")
    world.store.answer(result.Success(mirror.Changes((), ("b",), 8)))
    assert world.seen[-1] == {"a"}


def test_pauses_grow_and_stay_bounded() -> None:
    """Guards against a storm of calls to a store that is down."""
    copy = mirror.Copy()
    pauses = []
    for _ in range(12):
        copy.on_failure()
        pauses.append(copy.pause())
    assert pauses == sorted(pauses)
    assert pauses[0] == mirror.FIRST_PAUSE_SECONDS
    assert pauses[-1] == mirror.MAX_PAUSE_SECONDS


def test_callback_that_fails_does_not_end_the_mirror(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that follows nothing after one bad object."""

    def fail(got: object) -> None:
        raise RuntimeError("bad object")

    monkeypatch.setattr(world.mirror, "_on_items", fail)
    world.lists(7, "a")
    world.clock.advance(mirror.MAX_PAUSE_SECONDS)
    assert world.store.calls.count("list") == 2


def test_watch_lost_in_an_outage_is_given_up_when_the_store_is_back(
    world: World,
) -> None:
    """Guards against a swallowed watch that hears of no target that leaves."""
    world.lists(7, "a", "b")
    world.mirror.refresh()
    world.clock.advance(mirror.MAX_PAUSE_SECONDS)
    assert world.store.calls[-1] == "list"
    world.lists(9, "a")
    assert world.seen[-1] == {"a", "b"}
    world.clock.advance(mirror.RETURN_SECONDS)
    assert world.seen[-1] == {"a"}


def test_no_priced_calls_while_the_store_is_away(world: World) -> None:
    """Guards against calls that are in vain."""
    world.lists(7, "a")
    world.store_health.unavailable = True
    world.store.answer(DOWN)
    world.clock.advance(60)
    assert len(world.store.calls) == 2
    world.store_health.unavailable = False
    world.store_health.waiting[0].callback(None)
    assert world.store.calls[-1] == "list"
