"""Detection of a network partition."""

import pytest

from jackdawpass.process.serving import reachability


@pytest.fixture
def partitioned() -> reachability.ZoneReachability:
    """Return the state after a partition that began at 10 s."""
    zones = reachability.ZoneReachability()
    zones.on_answer(10.0)
    for _ in range(reachability.MIN_FAILURES):
        zones.on_failure(10.2)
    return zones


def test_no_zone_and_no_store_is_isolation(
    partitioned: reachability.ZoneReachability,
) -> None:
    """Guards against callers that stay at an instance that cannot serve them."""
    assert partitioned.suspects_partition()
    assert partitioned.isolated(10.6, store_unavailable=True)


def test_slow_targets_alone_are_no_isolation(
    partitioned: reachability.ZoneReachability,
) -> None:
    """Guards against leaving rotation because of slow targets."""
    assert not partitioned.isolated(10.6, store_unavailable=False)


def test_outage_of_the_store_alone_is_no_isolation() -> None:
    """Guards against all instances leaving rotation during an outage of the store."""
    zones = reachability.ZoneReachability()
    zones.on_answer(10.0)
    assert not zones.isolated(60.0, store_unavailable=True)


def test_one_answer_ends_isolation(partitioned: reachability.ZoneReachability) -> None:
    """Guards against staying out of rotation after the partition has healed."""
    partitioned.on_answer(10.5)
    assert not partitioned.isolated(10.6, store_unavailable=True)
    partitioned.on_store_back()
    assert not partitioned.suspects_partition()


def test_recent_answer_outweighs_failures(
    partitioned: reachability.ZoneReachability,
) -> None:
    """Guards against taking a burst of slow targets for a partition."""
    assert not partitioned.isolated(10.2, store_unavailable=True)
