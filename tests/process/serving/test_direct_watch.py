"""Decision to watch the store directly although there are aggregators."""

import pytest

from jackdawpass.process.serving import direct_watch


class Check:
    """Check with a result that the test sets."""

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
def policy(check: Check) -> direct_watch.DirectWatchPolicy:
    return direct_watch.DirectWatchPolicy(lambda: check)


def test_store_is_not_checked_while_aggregators_are_fresh(
    policy: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against charged calls by every instance."""
    assert not policy.should_watch(0.0, False)
    assert not check.running


def test_store_unavailable_to_all_is_only_checked(
    policy: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against full lists by a hundred instances after a recovery."""
    assert not any(policy.should_watch(at / 10, True) for at in range(100))
    assert check.running
    check.last_check_succeeded = True
    assert not policy.should_watch(10.0, True)
    assert not policy.should_watch(10.5, False)
    assert not check.running


def test_store_that_responds_to_this_instance_only_is_watched(
    policy: direct_watch.DirectWatchPolicy, check: Check
) -> None:
    """Guards against an older version while this instance alone reaches the store."""
    check.last_check_succeeded = True
    assert not policy.should_watch(0.0, True)
    assert policy.should_watch(direct_watch.CONFIRM_SECONDS, True)
