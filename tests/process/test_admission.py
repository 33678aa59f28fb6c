"""Tests of the admission control of queries."""

import pytest

from jackdawpass.process import admission


@pytest.mark.parametrize(
    ("late", "min_coverage", "admitted"),
    [(0, 1.0, True), (1, 1.0, False), (30, 0.0, True), (31, 0.0, False)],
)
def test_refuses_when_too_many_shards_would_be_late(
    late: int, min_coverage: float, admitted: bool
) -> None:
    """Guards against late queries, and against refusals for one partitioned zone."""
    waits = [2.0] * late + [0.1] * (60 - late)
    assert admission.admits(waits, 60, 1.0, min_coverage) is admitted
