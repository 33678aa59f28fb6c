"""Review of requests that another instance may already be serving."""

import dataclasses
import random

import pytest

from jackdawpass.process.serving import forwarded_repeats, repeats, targets
from jackdawpass.version import routes

SEARCH = routes.Route(
    "search", "h", "/s/", True, ("s0", "s1"), (), 2.0, 0.1, max_attempts=2
)
LOOKUP = dataclasses.replace(SEARCH, shards=(), split=(routes.WeightedGroup("s0", 1),))
SPLIT = dataclasses.replace(
    LOOKUP, split=(routes.WeightedGroup("s0", 1), routes.WeightedGroup("s1", 1))
)
RESERVE = dataclasses.replace(LOOKUP, idempotent=False)


def review(
    route: routes.Route, per_group: int = 2, slack: float = 100.0
) -> forwarded_repeats.Review:
    listed = {
        f"{group}-{number}": targets.ListedTarget(
            f"{group}-{number}", group, "127.0.0.1", number, "a"
        )
        for group in ("s0", "s1")
        for number in range(per_group)
    }
    known = targets.Targets("a", random.Random(1))
    known.apply(0.0, listed)
    budgets = repeats.Budgets(repeats.RepeatLimits(0.0, slack, 10.0))
    return forwarded_repeats.review(0.0, route, known, budgets, 1.0)


@pytest.mark.parametrize("route", [SEARCH, LOOKUP])
def test_idempotent_request_is_accepted(route: routes.Route) -> None:
    """Guards against callers that have to repeat what an instance could."""
    assert review(route).accepted


def test_request_that_must_run_once_is_declined_with_its_timeout() -> None:
    """Guards against running a request twice."""
    assert review(RESERVE) == forwarded_repeats.Review(False, 2.0)


@pytest.mark.parametrize(
    ("route", "per_group", "slack"),
    [(SEARCH, 3, 100.0), (SEARCH, 2, 0.5), (SPLIT, 2, 100.0)],
)
def test_request_beyond_its_limits_is_declined(
    route: routes.Route, per_group: int, slack: float
) -> None:
    """Guards against more targets or repeats than the limits allow."""
    assert review(route, per_group, slack) == forwarded_repeats.DECLINED
