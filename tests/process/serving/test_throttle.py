"""Refusal of requests while most of them fail at full targets."""

import random

import pytest

from jackdawpass.process.serving import throttle
from jackdawpass.request import model, problems
from jackdawpass.version import routes

ROUTE = routes.Route("r", "h", "/", True, ("s0", "s1"), (), 1.0, 0.1)
SHED = problems.Problem(
    problems.ProblemKind.COVERAGE_TOO_LOW,
    model.Outcome.INCOMPLETE,
    "",
    1.0,
    model.Coverage(2, 1, (model.MissingShard(0, model.MissingReason.REFUSED),)),
)
FAILED = problems.Problem(
    problems.ProblemKind.COVERAGE_TOO_LOW,
    model.Outcome.INCOMPLETE,
    "",
    1.0,
    model.Coverage(2, 1, (model.MissingShard(0, model.MissingReason.FAILED),)),
)
ANSWER = model.Answer("q", "r", "s", model.Coverage(2, 2), None)


@pytest.fixture
def throttles() -> throttle.RouteThrottles:
    made = throttle.RouteThrottles(random.Random(1))
    made.apply_routes([ROUTE])
    return made


def test_answered_requests_are_never_refused(
    throttles: throttle.RouteThrottles,
) -> None:
    """Guards against refusing requests that targets have room for."""
    for number in range(200):
        assert throttles.refusal(number / 50, ROUTE, 1.0) is None
        outcome = ANSWER if number % 5 else SHED
        throttles.on_outcome(number / 50, ROUTE, outcome)


@pytest.mark.parametrize("outcome", [FAILED, ANSWER])
def test_failures_without_a_full_target_refuse_nothing(
    throttles: throttle.RouteThrottles, outcome: throttle.Outcome
) -> None:
    """Guards against refusing requests because targets are lost or slow."""
    for number in range(100):
        throttles.on_outcome(number / 50, ROUTE, outcome)
    assert throttles.refusal(2.0, ROUTE, 1.0) is None


@pytest.mark.parametrize(("is_target_full", "refuses"), [(True, True), (False, False)])
def test_late_answers_count_beside_full_targets_only(
    throttles: throttle.RouteThrottles, is_target_full: bool, refuses: bool
) -> None:
    """Guards against an overload in which all answers come late.

    Answers of slow targets that have room are late too, and no earlier with fewer
    requests.
    """
    refused = 0
    for number in range(200):
        now = number / 50
        if throttles.refusal(now, ROUTE, 1.0) is not None:
            refused += 1
            continue
        throttles.on_outcome(now, ROUTE, ANSWER, True, is_target_full)
    assert (refused > 50) == refuses and (refused == 0) == (not refuses)


def test_refusal_says_not_run_and_when_to_return(
    throttles: throttle.RouteThrottles,
) -> None:
    """Guards against refused callers that return at once or together."""
    refusals = []
    for number in range(200):
        refused = throttles.refusal(number / 100, ROUTE, 1.2)
        if refused is None:
            throttles.on_outcome(number / 100, ROUTE, SHED)
        else:
            refusals.append(refused)
    assert len(refusals) > 100
    assert all(each.outcome is model.Outcome.NOT_RUN for each in refusals)
    delays = [each.retry_after or 0.0 for each in refusals]
    assert min(delays) >= throttle.MIN_RETRY_SECONDS
    assert max(delays) <= 1.2 * throttle.MAX_RETRY_SHARE
    assert len(set(delays)) > 50


def test_recovered_targets_are_used_again_soon(
    throttles: throttle.RouteThrottles,
) -> None:
    """Guards against a throttle that keeps refusing after the overload."""
    for number in range(100):
        if throttles.refusal(number / 50, ROUTE, 1.0) is None:
            throttles.on_outcome(number / 50, ROUTE, SHED)
    refused_late = 0
    for number in range(250):
        now = 2.0 + number / 50
        if throttles.refusal(now, ROUTE, 1.0) is None:
            throttles.on_outcome(now, ROUTE, ANSWER)
        elif now > 5.0:
            refused_late += 1
    assert refused_late == 0


def test_callers_get_more_answers_during_an_overload() -> None:
    """Guards against failed requests that take the targets' time from all others.

    Plays 10 s of 60 requests a second whose callers send a failed request again at
    once, three times. Each request that is sent takes its share of the targets' time,
    of which there is enough for 40 requests a second; when they have more than half a
    second of work queued, they shed.
    """
    assert answered_in_overload(with_throttle=True) > 1.5 * answered_in_overload(
        with_throttle=False
    )


def answered_in_overload(with_throttle: bool) -> int:
    """Return how many requests are answered within 0.4 s of work in front of them."""
    generator = random.Random(7)
    throttles = throttle.RouteThrottles(generator)
    throttles.apply_routes([ROUTE])
    queued_seconds = 0.0
    answered = 0
    steps_per_second = 60
    retries: dict[int, int] = {}
    for step in range(10 * steps_per_second):
        now = step / steps_per_second
        queued_seconds = max(0.0, queued_seconds - 1 / steps_per_second)
        for _ in range(1 + retries.pop(step, 0)):
            refused = throttles.refusal(now, ROUTE, 3.0) if with_throttle else None
            if refused is not None:
                later = step + round((refused.retry_after or 0.0) * steps_per_second)
                retries[later] = retries.get(later, 0) + (generator.random() < 0.7)
                continue
            is_shed = queued_seconds > 0.5
            # A request that fails at one full target has put work on the others.
            queued_seconds += 1 / 40 if not is_shed else 0.7 / 40
            throttles.on_outcome(now, ROUTE, SHED if is_shed else ANSWER)
            if not is_shed:
                answered += 1
            elif generator.random() < 0.7:
                retries[step + 1] = retries.get(step + 1, 0) + 1
    return answered
