"""Selection of aggregators."""

import hypothesis
from hypothesis import strategies

from jackdawpass.process.serving import aggregators


def members(count: int, zone: str = "a") -> list[aggregators.Member]:
    return [aggregators.Member(f"{zone}{n}", zone, "h", n, 1.0) for n in range(count)]


def test_small_zone_has_no_aggregators() -> None:
    """Guards against an extra hop that costs more than it gains."""
    assert aggregators.select(members(aggregators.MIN_ZONE_INSTANCES - 1), "a") == ()


def test_number_of_aggregators_grows_with_the_zone() -> None:
    """Guards against too few aggregators for many instances."""
    assert len(aggregators.select(members(20), "a")) == aggregators.MIN_AGGREGATORS
    assert len(aggregators.select(members(48), "a")) == 4


def test_largest_instances_are_selected() -> None:
    """Guards against a small machine that queries targets for the whole zone."""
    large = aggregators.Member("large", "a", "h", 1, 8.0)
    assert large in aggregators.select([*members(20), large], "a")


def test_small_instances_are_not_added_to_reach_the_count() -> None:
    """Guards against aggregators that take longer than callers wait."""
    large = [aggregators.Member(f"large{n}", "a", "h", n, 64.0) for n in range(2)]
    assert set(aggregators.select([*members(46), *large], "a")) == set(large)
    assert len(aggregators.select([*members(46), large[0]], "a")) == 2


@hypothesis.given(strategies.permutations(members(20)))
def test_order_of_the_list_does_not_matter(listed: list[aggregators.Member]) -> None:
    """Guards against instances that select differently from the same list."""
    assert aggregators.select(listed, "a") == aggregators.select(members(20), "a")


def test_leaving_aggregator_is_replaced_by_one() -> None:
    """Guards against a change of all aggregators when one instance is replaced."""
    before = aggregators.select(members(48), "a")
    rest = [member for member in members(48) if member != before[0]]
    after = aggregators.select(rest, "a")
    assert len(set(before) & set(after)) == len(before) - 1


def test_querying_members_of_all_zones() -> None:
    """Guards against a budget divided among too few instances."""
    listed = members(16) + members(24, "b") + members(3, "c")
    assert len(aggregators.querying_members(listed)) == 2 + 2 + 3
