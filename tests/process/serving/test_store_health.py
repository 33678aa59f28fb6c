"""Detection of outages of the store."""

import random

import pytest
from returns import result
from twisted.internet import defer, task

from jackdawpass import errors
from jackdawpass.process.serving import store_health

DOWN = result.Failure(errors.PlatformUnavailable("silent"))


class Store:
    """Store that answers checks with the result that the test sets."""

    def __init__(self) -> None:
        self.answer: result.Result[None, errors.PlatformUnavailable] = result.Success(
            None
        )
        self.checks = 0

    def check(
        self,
    ) -> defer.Deferred[result.Result[None, errors.PlatformUnavailable]]:
        self.checks += 1
        return defer.succeed(self.answer)


class Harness:
    def __init__(self) -> None:
        self.clock = task.Clock()
        self.store = Store()
        self.recoveries = 0
        self.health_check = store_health.StoreHealthCheck(
            self.clock,
            self.store.check,
            self.on_available,
            random.Random(1),
        )
        self.health_check.start()

    def on_available(self) -> None:
        self.recoveries += 1


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_responding_store_is_only_checked(harness: Harness) -> None:
    """Guards against unnecessary lists of all objects."""
    for _ in range(10):
        harness.clock.advance(store_health.CHECK_SECONDS)
    assert harness.store.checks == 11
    assert (harness.recoveries, harness.health_check.unavailable) == (0, False)


def test_recovery_is_reported_once_and_releases_waiters(harness: Harness) -> None:
    """Guards against an instance that keeps outdated data after an outage."""
    harness.store.answer = DOWN
    harness.clock.advance(store_health.CHECK_SECONDS)
    assert harness.health_check.unavailable
    released: list[None] = []
    harness.health_check.when_available().addCallback(released.append)
    harness.clock.advance(store_health.UNAVAILABLE_CHECK_SECONDS)
    assert not released
    harness.store.answer = result.Success(None)
    harness.clock.advance(store_health.UNAVAILABLE_CHECK_SECONDS)
    assert (released, harness.recoveries, harness.health_check.unavailable) == (
        [None],
        1,
        False,
    )
    harness.clock.advance(store_health.CHECK_SECONDS)
    assert harness.recoveries == 1


def test_one_early_check_per_periodic_check(harness: Harness) -> None:
    """Guards against additional store calls for every slow target."""
    for _ in range(20):
        harness.health_check.check_now()
    assert harness.store.checks == 2
    harness.clock.advance(store_health.CHECK_SECONDS)
    assert harness.store.checks == 3
    for _ in range(20):
        harness.health_check.check_now()
    assert harness.store.checks == 4
