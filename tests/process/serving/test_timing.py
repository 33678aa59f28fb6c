"""Delays after which sub-requests are hedged and partial answers returned."""

import pytest

from jackdawpass.process.serving import repeats, timing
from jackdawpass.version import routes

ROUTE = routes.Route(
    "r", "h", "/", True, ("g0", "g1"), (), timeout=0.4, latency_objective=0.044
)
LIMITS = repeats.RepeatLimits(0.2, 129, 10)


def make_latencies(latency: float, tail: float) -> timing.RouteLatencies:
    route_latencies = timing.RouteLatencies()
    for number in range(200):
        route_latencies.add(number * 0.01, tail if number % 20 == 0 else latency)
    return route_latencies


def test_partial_answer_arrives_within_the_objective() -> None:
    """Guards against an answer that is ready in time but arrives late."""
    answer_time = timing.answer_by(10.0, 0.0, ROUTE)
    assert answer_time == pytest.approx(10.0 + 0.044 - timing.CALLER_TRANSIT_SECONDS)


def test_time_before_forwarding_counts() -> None:
    """Guards against late answers to forwarded requests."""
    assert timing.answer_by(10.0, 0.005, ROUTE) == pytest.approx(10.030)
    assert timing.answer_by(10.0, 9.0, ROUTE) == pytest.approx(10.022)


def test_hedge_delay_follows_latencies_and_leaves_time_for_the_hedge() -> None:
    """Guards against hedges that are too late, and against hedging every attempt."""
    fast_latencies = make_latencies(0.006, 0.1)
    assert 0.006 <= fast_latencies.hedge_after(ROUTE, budget_low=False) < 0.01
    slow_latencies = make_latencies(0.2, 0.4)
    assert (
        slow_latencies.hedge_after(ROUTE, budget_low=False)
        <= ROUTE.latency_objective / 2
    )


def test_low_budget_delays_hedges() -> None:
    """Guards against spending the budget on attempts that would soon be answered."""
    route_latencies = timing.RouteLatencies()
    for number in range(200):
        route_latencies.add(number * 0.01, 0.004 + (number % 20) * 0.0005)
    assert route_latencies.hedge_after(ROUTE, True) > route_latencies.hedge_after(
        ROUTE, False
    )


def test_only_late_hedges_without_samples() -> None:
    """Guards against a burst of hedges after a restart."""
    delay_share = (
        timing.RouteLatencies().hedge_after(ROUTE, False) / ROUTE.latency_objective
    )
    assert delay_share == pytest.approx(timing.MAX_HEDGE_SHARE)


def never_peer(target: str) -> bool:
    return False


def test_shards_of_a_lost_instance_are_queried_directly_in_time() -> None:
    """Guards against late shards after the loss of the instance that queried them."""
    budget = timing.RequestBudget(repeats.Budgets(LIMITS), 20, lambda target: "g0")
    route_latencies = make_latencies(0.006, 0.1)
    hedging = timing.RouteHedging(ROUTE, route_latencies, budget, lambda target: True)
    delay = hedging.delay(0.0, "instance/b0")
    assert delay is not None and route_latencies.hedge_after(ROUTE, False) < delay
    assert delay < 0.8 * ROUTE.latency_objective


def test_hedges_leave_budget_for_retries() -> None:
    """Guards against hedges that leave no budget for the retry of a failure."""
    budgets = repeats.Budgets(LIMITS)
    budget = timing.RequestBudget(budgets, 20, lambda target: "g0")
    hedging = timing.RouteHedging(ROUTE, make_latencies(0.006, 0.1), budget, never_peer)
    while hedging.delay(0.0, "t") is not None:
        assert budget.try_spend(0.0, "t")
    assert budget.try_spend(0.0, "t")
