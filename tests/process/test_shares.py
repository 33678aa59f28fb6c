"""Tests of the share of a target's connection limit."""

import hypothesis
from hypothesis import strategies

from jackdawpass.process import shares


@hypothesis.given(
    strategies.integers(1, 1000),
    strategies.integers(1, 40),
    strategies.lists(strategies.integers(0, 60), min_size=1, max_size=40),
)
def test_sum_stays_within_the_limit_whatever_each_instance_sees(
    limit: int, instances_max: int, seen: list[int]
) -> None:
    """Guards against a stale or empty list that raises the sum over the limit."""
    hypothesis.assume(limit >= instances_max >= len(seen))
    total = sum(
        shares.connection_share(limit, instances_max, instances_seen)
        for instances_seen in seen
    )
    assert total <= limit


def test_20_instances_with_10_replaced_under_a_frozen_list() -> None:
    """Guards against counting only live instances while leaving ones keep a share."""
    frozen = 20
    shares_held = [shares.connection_share(60, 30, frozen) for _ in range(20)]
    replacements = [shares.connection_share(60, 30, 0) for _ in range(10)]
    assert sum(shares_held) + sum(replacements) <= 60
