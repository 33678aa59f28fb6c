"""Requests that a stopping instance takes or refuses."""

import random

import pytest

from jackdawpass.process.serving import (
    caller_requests,
    durations,
    immediate_refusals,
    refusal_policy,
    targets,
    throttle,
)
from jackdawpass.version import routes

ROUTE = routes.Route(
    name="report",
    host="h",
    prefix="/",
    idempotent=False,
    shards=(),
    split=(routes.WeightedGroup("g", 1.0),),
    timeout=8.0,
    latency_objective=0.5,
)


@pytest.fixture
def recent() -> durations.RequestDurations:
    """Return the durations of a route without requests."""
    recent = durations.RequestDurations()
    recent.apply_routes([ROUTE])
    return recent


def _refuses(
    recent: durations.RequestDurations, stops_in: float | None, timeout: float = 8.0
) -> bool:
    generator = random.Random(1)
    policy = refusal_policy.RefusalPolicy(
        targets.Targets("a", generator), throttle.RouteThrottles(generator), recent
    )
    request = caller_requests.CallerRequest(
        "r", "h", "/", timeout, b"", stops_in=stops_in
    )
    refusal = policy.refusal(0.0, request, ROUTE, ["g"], False)
    assert refusal in (None, immediate_refusals.STOPPING)
    return refusal is not None


@pytest.mark.parametrize("seconds, stops_in", [(2.5, 2.4), (4.0, 3.9), (0.1, 0.4)])
def test_request_that_outlasts_the_stop_is_refused(
    recent: durations.RequestDurations, seconds: float, stops_in: float
) -> None:
    """Guards against a request that is taken late and cut off at the stop."""
    for _ in range(20):
        recent.add(0.0, ROUTE, seconds)
    assert _refuses(recent, stops_in)
    assert not _refuses(recent, stops_in + 0.2)
    assert not _refuses(recent, None)


def test_request_that_ends_at_its_deadline_is_taken(
    recent: durations.RequestDurations,
) -> None:
    """Guards against refusing a request that has its answer before the stop anyway."""
    recent.add(0.0, ROUTE, 5.0)
    assert not _refuses(recent, stops_in=1.0, timeout=0.8)


def test_unknown_route_is_expected_to_meet_its_objective(
    recent: durations.RequestDurations,
) -> None:
    """Guards against refusing all requests of a route that was not used yet."""
    assert not _refuses(recent, stops_in=0.6)
    assert _refuses(recent, stops_in=0.4)


def test_one_fast_request_does_not_hide_the_slow_ones(
    recent: durations.RequestDurations,
) -> None:
    """Guards against an estimate that half of the requests exceed."""
    for number in range(40):
        recent.add(0.0, ROUTE, 3.0 if number % 4 == 0 else 0.1)
    assert _refuses(recent, stops_in=2.0)
