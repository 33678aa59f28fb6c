"""A short run of the soak on a fixed seed."""

import pytest

from soak import run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_hold_under_random_faults(seed: int) -> None:
    """Guards against faults that only break promises together."""
    report = run.run(seed, seconds=4.0)
    assert report.faults == ()
    assert report.answered > 100
