"""Whether the store answers."""

import random

import pytest
from returns import result
from twisted.internet import defer, task

from jackdawpass import errors
from jackdawpass.process.serving import store_health

DOWN = result.Failure(errors.PlatformUnavailable("silent"))


class Store:
    """Answers checks with what the test sets."""

    def __init__(self) -> None:
        self.answer: result.Result[None, object] = result.Success(None)
        self.checks = 0

    def check(self, kind: str, name: str) -> defer.Deferred[object]:
        self.checks += 1
        return defer.succeed(self.answer)


class World:
    def __init__(self) -> None:
        self.clock = task.Clock()
        self.store = Store()
        self.returns = 0
        self.health_check = store_health.StoreHealthCheck(
            self.clock,
            self.store,  # type: ignore[arg-type]
            "i",
            self.on_back,
            random.Random(1),
        )
        self.health_check.start()

    def on_back(self) -> None:
        self.returns += 1


@pytest.fixture
def world() -> World:
    return World()


def test_calm_store_is_checked_and_nothing_else_happens(world: World) -> None:
    """Guards against lists that nobody needs."""
    for _ in range(10):
        world.clock.advance(store_health.CHECK_SECONDS)
    assert world.store.checks == 11
    assert (world.returns, world.health_check.unavailable) == (0, False)


def test_return_is_told_once_and_releases_who_waits(world: World) -> None:
    """Guards against an instance that stays with what it knew before an outage."""
    world.store.answer = DOWN
    world.clock.advance(store_health.CHECK_SECONDS)
    assert world.health_check.unavailable
    released: list[None] = []
    world.health_check.when_available().addCallback(released.append)
    world.clock.advance(store_health.UNAVAILABLE_CHECK_SECONDS)
    assert not released
    world.store.answer = result.Success(None)
    world.clock.advance(store_health.UNAVAILABLE_CHECK_SECONDS)
    assert (released, world.returns, world.health_check.unavailable) == (
        [None],
        1,
        False,
    )
    world.clock.advance(store_health.CHECK_SECONDS)
    assert world.returns == 1


def test_doubt_hurries_one_check_for_each_ordinary_one(world: World) -> None:
    """Guards against a store that every slow target makes instances ask."""
    for _ in range(20):
        world.health_check.check_now()
    assert world.store.checks == 2
    world.clock.advance(store_health.CHECK_SECONDS)
    assert world.store.checks == 3
    for _ in range(20):
        world.health_check.check_now()
    assert world.store.checks == 4
