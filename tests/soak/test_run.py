"""Short soak runs with fixed seeds."""

import pytest

from soak import run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    """Guards against violations that only a combination of faults causes."""
    report = run.run(seed, fault_seconds=4.0)
    assert report.faults == ()
    assert report.answered > 100
