"""Choice of aggregators."""

import hypothesis
from hypothesis import strategies

from jackdawpass.process.serving import aggregators


def members(count: int, zone: str = "a") -> list[aggregators.Member]:
    return [aggregators.Member(f"{zone}{n}", zone, "h", n, 1.0) for n in range(count)]


def test_small_zone_asks_for_itself() -> None:
    """Guards against an extra hop that gains nothing."""
    assert aggregators.select(members(aggregators.MIN_INSTANCES - 1), "a") == ()


def test_number_grows_with_the_zone() -> None:
    """Guards against few aggregators for many instances."""
    assert len(aggregators.select(members(20), "a")) == aggregators.MIN_AGGREGATORS
    assert len(aggregators.select(members(48), "a")) == 4


def test_largest_instances_are_chosen() -> None:
    """Guards against the smallest machine asking for all."""
    large = aggregators.Member("large", "a", "h", 1, 8.0)
    assert large in aggregators.select([*members(20), large], "a")


def test_small_instances_do_not_fill_up_the_number() -> None:
    """Guards against aggregators that take longer than callers wait."""
    large = [aggregators.Member(f"large{n}", "a", "h", n, 64.0) for n in range(2)]
    assert set(aggregators.select([*members(46), *large], "a")) == set(large)
    assert len(aggregators.select([*members(46), large[0]], "a")) == 2


@hypothesis.given(strategies.permutations(members(20)))
def test_order_of_the_list_does_not_matter(listed: list[aggregators.Member]) -> None:
    """Guards against instances that choose differently from one list."""
    assert aggregators.select(listed, "a") == aggregators.select(members(20), "a")


def test_leaving_instance_moves_one_duty() -> None:
    """Guards against all duties moving when one instance is replaced."""
    before = aggregators.select(members(48), "a")
    rest = [member for member in members(48) if member != before[0]]
    after = aggregators.select(rest, "a")
    assert len(set(before) & set(after)) == len(before) - 1


def test_askers_counts_all_zones() -> None:
    """Guards against a share of the budget for too few instances."""
    listed = members(16) + members(24, "b") + members(3, "c")
    assert len(aggregators.querying_members(listed)) == 2 + 2 + 3
