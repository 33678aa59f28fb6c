"""Whether an instance takes itself for cut off."""

import pytest

from jackdawpass.process.serving import reachability


@pytest.fixture
def cut() -> reachability.ZoneReachability:
    """Give evidence of a cut that began at 10 s."""
    found = reachability.ZoneReachability()
    found.on_answer(10.0)
    for _ in range(reachability.MIN_FAILURES):
        found.on_failure(10.2)
    return found


def test_cut_from_zones_and_store_is_isolation(
    cut: reachability.ZoneReachability,
) -> None:
    """Guards against callers who stay at an instance that cannot serve them."""
    assert cut.suspects_partition()
    assert cut.isolated(10.6, store_away=True)


def test_slow_targets_alone_are_no_cut(cut: reachability.ZoneReachability) -> None:
    """Guards against leaving rotation because of targets' faults."""
    assert not cut.isolated(10.6, store_away=False)


def test_outage_of_the_store_alone_is_no_cut() -> None:
    """Guards against all instances leaving rotation while the store is down."""
    found = reachability.ZoneReachability()
    found.on_answer(10.0)
    assert not found.isolated(60.0, store_away=True)


def test_one_answer_ends_it(cut: reachability.ZoneReachability) -> None:
    """Guards against staying away after the cut has healed."""
    cut.on_answer(10.5)
    assert not cut.isolated(10.6, store_away=True)
    cut.on_store_back()
    assert not cut.suspects_partition()


def test_recent_answer_outweighs_failures(cut: reachability.ZoneReachability) -> None:
    """Guards against taking a burst of slow targets for a cut."""
    assert not cut.isolated(10.2, store_away=True)
