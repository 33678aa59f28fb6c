"""When an instance follows the store although there are aggregators."""

import pytest

from jackdawpass.process.serving import own_look


class Check:
    """Answers as the test says."""

    def __init__(self) -> None:
        self.answers = False
        self.running = False

    def start(self) -> None:
        self.running = True

    def stop(self) -> None:
        self.running = False


@pytest.fixture
def check() -> Check:
    return Check()


@pytest.fixture
def look(check: Check) -> own_look.OwnLook:
    return own_look.OwnLook(lambda: check)


def test_nothing_is_asked_on_a_calm_day(look: own_look.OwnLook, check: Check) -> None:
    """Guards against priced calls of every instance."""
    assert not look.review(0.0, False)
    assert not check.running


def test_store_that_is_down_for_all_is_only_checked(
    look: own_look.OwnLook, check: Check
) -> None:
    """Guards against a hundred instances that list everything at its return."""
    assert not any(look.review(at / 10, True) for at in range(100))
    assert check.running
    check.answers = True
    assert not look.review(10.0, True)
    assert not look.review(10.5, False)
    assert not check.running


def test_store_that_answers_this_instance_alone_is_followed(
    look: own_look.OwnLook, check: Check
) -> None:
    """Guards against an older version while an aggregator is turned away."""
    check.answers = True
    assert not look.review(0.0, True)
    assert look.review(own_look.ALONE_SECONDS, True)
