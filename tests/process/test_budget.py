"""Tests of the budget of extra sub-requests and of the hedge delay."""

import random

import pytest

from jackdawpass.process import budget, hedging, latencies

ATTEMPTS = 20_000


def _add_latencies(
    recent: latencies.ServiceLatencies, start: float, latency: float, seed: int = 0
) -> float:
    generator = random.Random(seed)
    for _ in range(500):
        start += 0.01
        recent.add(start, latency * generator.lognormvariate(0, 0.5))
    return start


def _spent(service_budget: budget.ServiceBudget, attempts: int) -> int:
    spent = 0
    for _ in range(attempts):
        service_budget.on_first_attempts(0.0, 1)
        spent += service_budget.try_spend(0.0)
    return spent


def test_extra_load_stays_within_the_share() -> None:
    """Guards against more extra sub-requests than the declared share."""
    service_budget = budget.ServiceBudget(0.05, latencies.ServiceLatencies())
    spent = _spent(service_budget, ATTEMPTS)
    burst = budget.BURST_TOKENS + budget.RESERVE_TOKENS
    assert 0.04 * ATTEMPTS < spent <= 0.05 * ATTEMPTS + burst
    assert _spent(budget.ServiceBudget(0.0, latencies.ServiceLatencies()), 1000) == 0


def test_budget_closes_when_the_whole_service_is_slow() -> None:
    """Guards against hedges that add load to a service that is slow as a whole."""
    recent = latencies.ServiceLatencies()
    service_budget = budget.ServiceBudget(0.05, recent)
    now = _add_latencies(recent, 0.0, 0.005)
    percentile_hedging = hedging.PercentileHedging(recent, service_budget, 95.0)
    assert percentile_hedging.delay(now, "t") is not None
    now = _add_latencies(recent, now, 0.05)
    assert recent.slow
    assert percentile_hedging.delay(now, "t") is None
    # A drain while the service is slow needs a few retries.
    assert all(service_budget.try_spend(now) for _ in range(int(budget.RESERVE_TOKENS)))
    assert _spent(service_budget, ATTEMPTS) < 0.02 * ATTEMPTS
    _add_latencies(recent, now, 0.005)
    assert not recent.slow


def test_hedges_leave_tokens_for_retries() -> None:
    """Guards against hedges that spend the tokens for retries after a replica loss."""
    recent = latencies.ServiceLatencies()
    service_budget = budget.ServiceBudget(0.05, recent)
    now = _add_latencies(recent, 0.0, 0.005)
    percentile_hedging = hedging.PercentileHedging(recent, service_budget, 95.0)
    while percentile_hedging.delay(now, "t") is not None:
        assert service_budget.try_spend(now)
    assert service_budget.try_spend(now)


@pytest.mark.parametrize("share", [0.0, 0.03, 0.12])
def test_hedge_delay_ignores_stragglers(share: float) -> None:
    """Guards against a hedge delay that equals the latency of the stragglers."""
    recent = latencies.ServiceLatencies()
    generator = random.Random(1)
    for step in range(1000):
        straggles = generator.random() < share
        recent.add(step * 0.001, 0.5 if straggles else 0.004)
    service_budget = budget.ServiceBudget(0.05, recent)
    delay = hedging.PercentileHedging(recent, service_budget, 95.0).delay(1.0, "t")
    assert delay is not None
    assert 0.004 <= delay <= 0.004 * hedging.MAX_MEDIAN_RATIO


def test_scarce_budget_pays_for_stragglers_only() -> None:
    """Guards against hedges of ordinary attempts that spend the whole budget.

    With 5% stragglers, the 95th percentile is the latency of an ordinary attempt.
    """
    recent = latencies.ServiceLatencies()
    generator = random.Random(1)
    for step in range(500):
        recent.add(step * 0.001, 0.004 * generator.lognormvariate(0, 0.3))
    service_budget = budget.ServiceBudget(0.05, recent)
    percentile_hedging = hedging.PercentileHedging(recent, service_budget, 95.0)
    early = percentile_hedging.delay(1.0, "t")
    while not service_budget.scarce:
        assert service_budget.try_spend(1.0)
    late = percentile_hedging.delay(1.0, "t")
    assert early is not None
    assert late is not None
    assert late == hedging.MAX_MEDIAN_RATIO * recent.percentile(50) > early


def test_hedge_needs_samples_and_keeps_a_minimum_delay() -> None:
    """Guards against hedges without samples or of all attempts of a fast service."""
    recent = latencies.ServiceLatencies()
    service_budget = budget.ServiceBudget(0.05, recent)
    percentile_hedging = hedging.PercentileHedging(recent, service_budget, 95.0)
    for _ in range(latencies.MIN_SAMPLES):
        assert percentile_hedging.delay(0.0, "t") is None
        recent.add(0.0, 0.0001)
    assert percentile_hedging.delay(0.0, "t") == hedging.MIN_DELAY_SECONDS
    assert (
        hedging.PercentileHedging(recent, service_budget, 0.0).delay(0.0, "t") is None
    )


def test_clock_that_steps_back_does_not_stop_the_review() -> None:
    """Guards against a slowness state that lasts until the clock has caught up."""
    recent = latencies.ServiceLatencies()
    _add_latencies(recent, 10_000.0, 0.005)
    _add_latencies(recent, 5.0, 0.05)
    assert recent.slow
