"""When an instance follows the store although there are aggregators."""

import pytest

from jackdawpass.process.serving import direct_watch


class Check:
    """Answers as the test says."""

    def __init__(self) -> None:
        self.last_check_succeeded = False
        self.running = False

    def start(self) -> None:
        self.running = True

    def stop(self) -> None:
        self.running = False


@pytest.fixture
def check() -> Check:
    return Check()


@pytest.fixture
def look(check: Check) -> direct_watch.DirectWatchPolicy:
    return direct_watch.DirectWatchPolicy(lambda: check)


def test_nothing_is_asked_on_a_calm_day(
    look: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against priced calls of every instance."""
    assert not look.should_watch(0.0, False)
    assert not check.running


def test_store_that_is_down_for_all_is_only_checked(
    look: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against a hundred instances that list everything at its return."""
    assert not any(look.should_watch(at / 10, True) for at in range(100))
    assert check.running
    check.last_check_succeeded = True
    assert not look.should_watch(10.0, True)
    assert not look.should_watch(10.5, False)
    assert not check.running


def test_store_that_answers_this_instance_alone_is_followed(
    look: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against an older version while an aggregator is turned away."""
    check.last_check_succeeded = True
    assert not look.should_watch(0.0, True)
    assert look.should_watch(direct_watch.ALONE_SECONDS, True)
