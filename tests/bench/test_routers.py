"""Tests of the alternative routers that the routing experiment compares."""

import collections

import pytest

from jackdawpass.bench import routers
from tests.process import samples

NAMES = ("t1", "t2", "t3")


@pytest.mark.parametrize("name", routers.CHOICES)
def test_choice_uses_all_equal_replicas(name: str) -> None:
    """Guards against a comparison in which a router favours one of equal targets."""
    known = routers.Statistics(seed=1)
    counts = collections.Counter(
        routers.CHOICES[name](NAMES, known) for _ in range(300)
    )
    assert min(counts[each] for each in NAMES) > 60


def test_informed_choices_avoid_a_busy_or_slow_target() -> None:
    """Guards against informed routers that ignore what they were told."""
    known = routers.Statistics(seed=1)
    known.in_flight["t1"] = 5
    for name in NAMES:
        known.observe(name, 0.1 if name == "t2" else 0.001)
    least = {routers.CHOICES["least-in-flight"](NAMES, known) for _ in range(100)}
    better = {routers.CHOICES["two-choices"](NAMES, known) for _ in range(100)}
    assert least == {"t2", "t3"}
    assert "t2" not in better


def test_ended_attempts_are_not_in_flight() -> None:
    """Guards against a count that grows with failures and cancellations."""
    policy = routers.RoutingPolicy(routers.CHOICES["least-in-flight"])
    for end in ("reply", "failure", "cancel"):
        attempt = samples.make_attempt(1, "t1")
        policy.on_submitted(0.0, attempt)
        if end == "reply":
            policy.on_reply(0.1, attempt, 0.1)
        elif end == "failure":
            policy.on_failure(0.1, attempt, samples.CONNECT_FAILED)
        else:
            policy.on_cancelled(0.1, attempt, 0.1)
    assert policy._known.in_flight["t1"] == 0
