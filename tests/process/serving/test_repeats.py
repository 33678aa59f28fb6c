"""Budget of repeats, summed over all instances."""

import random

import hypothesis
from hypothesis import strategies

from jackdawpass.process.serving import repeats

LIMITS = repeats.RepeatLimits(ratio=0.2, slack=129, window=10)


def test_no_window_exceeds_the_limit_of_all_instances() -> None:
    """Guards against too many repeats of all instances together, also at start-up."""
    generator = random.Random(5)
    instances = 20
    budgets = [repeats.GroupBudget(LIMITS) for _ in range(instances)]
    spent: list[float] = []
    requests: list[float] = []
    for step in range(3000):
        now = step * 0.01
        budget = generator.choice(budgets)
        budget.on_request(now)
        requests.append(now)
        for _ in range(3):
            if budget.try_spend(now, instances):
                spent.append(now)
    for start in spent:
        extra = sum(start <= at < start + LIMITS.window for at in spent)
        asked = sum(start <= at < start + LIMITS.window for at in requests)
        before = sum(start - LIMITS.window <= at < start for at in requests)
        assert extra <= LIMITS.ratio * max(asked, before) + LIMITS.slack


def test_few_repeats_while_the_number_of_instances_is_unknown() -> None:
    """Guards against each instance using the whole slack alone."""
    budget = repeats.GroupBudget(LIMITS)
    assert sum(budget.try_spend(0.0, 64) for _ in range(100)) == 1


@hypothesis.given(strategies.integers(1, 200), strategies.integers(0, 300))
def test_one_instance_never_exceeds_its_share(instances: int, requests: int) -> None:
    """Guards against rounding errors that add up over the instances."""
    budget = repeats.GroupBudget(LIMITS)
    for _ in range(requests):
        budget.on_request(0.0)
    spent = sum(budget.try_spend(0.0, instances) for _ in range(2000))
    assert spent <= LIMITS.ratio * requests + LIMITS.slack / instances


def test_budget_recovers_after_the_window() -> None:
    """Guards against refusing repeats forever after a burst of failures."""
    budget = repeats.GroupBudget(LIMITS)
    while budget.try_spend(0.0, 20):
        pass
    assert budget.try_spend(LIMITS.window + 0.01, 20)
