"""Tests of the alternative routers that the routing experiment compares."""

import collections

import pytest

from jackdawpass.bench import routers
from tests.process import samples

NAMES = ("t1", "t2", "t3")


@pytest.mark.parametrize("name", routers.SELECTORS)
def test_selector_uses_all_equal_replicas(name: str) -> None:
    """Guards against a selector that prefers one of several equal targets."""
    statistics = routers.Statistics(seed=1)
    counts = collections.Counter(
        routers.SELECTORS[name](NAMES, statistics) for _ in range(300)
    )
    assert min(counts[each] for each in NAMES) > 60


def test_selectors_avoid_a_busy_or_slow_target() -> None:
    """Guards against selectors that ignore in-flight counts or latencies of targets."""
    statistics = routers.Statistics(seed=1)
    statistics.in_flight["t1"] = 5
    for name in NAMES:
        statistics.observe(name, 0.1 if name == "t2" else 0.001)
    least = {
        routers.SELECTORS["least-in-flight"](NAMES, statistics) for _ in range(100)
    }
    better = {routers.SELECTORS["two-choices"](NAMES, statistics) for _ in range(100)}
    assert least == {"t2", "t3"}
    assert "t2" not in better


def test_ended_attempts_are_not_in_flight() -> None:
    """Guards against failed or cancelled attempts that stay counted as in flight."""
    policy = routers.RoutingPolicy(routers.SELECTORS["least-in-flight"])
    for end in ("reply", "failure", "cancel"):
        attempt = samples.make_attempt(1, "t1")
        policy.on_submitted(0.0, attempt)
        if end == "reply":
            policy.on_reply(0.1, attempt, 0.1)
        elif end == "failure":
            policy.on_failure(0.1, attempt, samples.CONNECT_FAILED)
        else:
            policy.on_cancelled(0.1, attempt, 0.1)
    assert policy._statistics.in_flight["t1"] == 0
