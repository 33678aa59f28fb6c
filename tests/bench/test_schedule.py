"""Tests of the arrival times of the load generator."""

import pytest

from jackdawpass.bench import schedule

PHASES = (schedule.Phase(50, 20.0), schedule.Phase(50, 0.0), schedule.Phase(50, 40.0))


def test_same_seed_gives_the_same_arrivals() -> None:
    """Guards against comparing two policies under different loads."""
    assert schedule.arrivals(7, PHASES) == schedule.arrivals(7, PHASES)
    assert schedule.arrivals(7, PHASES) != schedule.arrivals(8, PHASES)


def test_each_phase_has_its_rate() -> None:
    """Guards against an overload phase without its higher rate."""
    times = schedule.arrivals(7, PHASES)
    assert times == sorted(times)
    assert len([at for at in times if at < 50]) == pytest.approx(1000, rel=0.15)
    assert not [at for at in times if 50 <= at < 100]
    assert len([at for at in times if at >= 100]) == pytest.approx(2000, rel=0.15)


def test_gaps_are_exponential() -> None:
    """Guards against evenly spaced arrivals, which would hide queueing."""
    times = schedule.arrivals(7, (schedule.Phase(1000, 10.0),))
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    mean = sum(gaps) / len(gaps)
    variance = sum((gap - mean) ** 2 for gap in gaps) / len(gaps)
    assert variance**0.5 == pytest.approx(mean, rel=0.1)
