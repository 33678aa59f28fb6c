"""When sub-requests are hedged and partial answers given."""

import pytest

from jackdawpass.process.serving import repeats, timing
from jackdawpass.version import routes

ROUTE = routes.Route(
    "r", "h", "/", True, ("g0", "g1"), (), timeout=0.4, objective=0.044
)
LIMITS = repeats.RepeatLimits(0.2, 129, 10)


def learned(latency: float, tail: float) -> timing.RouteLatencies:
    found = timing.RouteLatencies()
    for number in range(200):
        found.add(number * 0.01, tail if number % 20 == 0 else latency)
    return found


def test_partial_answer_arrives_within_the_objective() -> None:
    """Guards against an answer that is ready in time and arrives late."""
    at = timing.answer_by(10.0, 0.0, ROUTE)
    assert at == pytest.approx(10.0 + 0.044 - timing.ANSWER_TRANSIT_SECONDS)


def test_time_spent_at_another_instance_counts() -> None:
    """Guards against late answers of requests that were handed over."""
    assert timing.answer_by(10.0, 0.005, ROUTE) == pytest.approx(10.030)
    assert timing.answer_by(10.0, 9.0, ROUTE) == pytest.approx(10.022)


def test_hedge_follows_the_latencies_and_leaves_time_for_the_second() -> None:
    """Guards against hedges that come too late, and against hedging everything."""
    quick = learned(0.006, 0.1)
    assert 0.006 <= quick.hedge_after(ROUTE, budget_low=False) < 0.01
    slow = learned(0.2, 0.4)
    assert slow.hedge_after(ROUTE, budget_low=False) <= ROUTE.objective / 2


def test_scarce_budget_hedges_later() -> None:
    """Guards against a budget spent on attempts that would have answered."""
    known = timing.RouteLatencies()
    for number in range(200):
        known.add(number * 0.01, 0.004 + (number % 20) * 0.0005)
    assert known.hedge_after(ROUTE, True) > known.hedge_after(ROUTE, False)


def test_no_hedge_before_anything_is_learned_but_a_late_one() -> None:
    """Guards against a storm of hedges after a restart."""
    share = timing.RouteLatencies().hedge_after(ROUTE, False) / ROUTE.objective
    assert share == pytest.approx(timing.MAX_HEDGE_SHARE)


def is_direct(target: str) -> bool:
    return False


def test_lost_part_is_asked_for_directly_in_time() -> None:
    """Guards against shards that are late with the instance asked for them."""
    budget = timing.RequestBudget(repeats.Budgets(LIMITS), 20, lambda target: "g0")
    known = learned(0.006, 0.1)
    hedging = timing.RouteHedging(ROUTE, known, budget, lambda target: True)
    delay = hedging.delay(0.0, "instance/b0")
    assert delay is not None and known.hedge_after(ROUTE, False) < delay
    assert delay < 0.8 * ROUTE.objective


def test_spent_budget_is_kept_for_retries() -> None:
    """Guards against hedges that leave nothing for a failed attempt."""
    budgets = repeats.Budgets(LIMITS)
    budget = timing.RequestBudget(budgets, 20, lambda target: "g0")
    hedging = timing.RouteHedging(ROUTE, learned(0.006, 0.1), budget, is_direct)
    while hedging.delay(0.0, "t") is not None:
        assert budget.try_spend(0.0, "t")
    assert budget.try_spend(0.0, "t")
