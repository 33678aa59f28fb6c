"""Evaluation of the results of attempts."""

import random

import pytest

from jackdawpass.process import submission
from jackdawpass.process.serving import (
    aggregators,
    feedback,
    peers,
    prometheus_metrics,
    targets,
    throttle,
    timing,
)
from jackdawpass.request import model
from jackdawpass.version import routes

ROUTE = routes.Route("r", "h", "/", True, ("g",), (), 1.0, 0.1)
LOST = model.AttemptFailure(
    model.FailureKind.CONNECTION_LOST, model.Execution.MAY_HAVE_RUN
)
SHED = model.AttemptFailure(model.FailureKind.SHED, model.Execution.REFUSED_NOT_RUN)
DECLINED = model.AttemptFailure(model.FailureKind.DECLINED, model.Execution.NOT_SENT)


class Harness:
    """Feedback of an instance in zone a with one target and one instance in zone b."""

    def __init__(self) -> None:
        generator = random.Random(1)
        self.targets = targets.Targets("a", generator)
        target = targets.ListedTarget("target", "g", "127.0.0.1", 1, "b")
        self.targets.apply(0.0, {"target": target})
        self.peers = peers.Peers("a", generator)
        self.peers.apply(0.0, [aggregators.Member("b0", "b", "127.0.0.1", 2, 1.0)])
        self.suspected_partitions = 0
        self.feedback = feedback.AttemptFeedback(
            "a",
            self.targets,
            self.peers,
            self._on_suspected_partition,
            prometheus_metrics.PrometheusMetrics(),
            throttle.RouteThrottles(generator),
        )
        self.feedback.apply_routes([ROUTE])

    def end_attempt(
        self, target: str, result: submission.End, now: float = 1.0
    ) -> None:
        attempt = model.Attempt(
            1, "q", "r", target, frozenset({0}), "s", 9.0, 5, model.AttemptKind.FIRST
        )
        self.feedback.on_attempt_end(now, attempt, result)

    def can_query_peer(self, now: float) -> bool:
        return self.peers.choose(now, "b") is not None

    def _on_suspected_partition(self) -> None:
        self.suspected_partitions += 1


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_reply_updates_the_latency_of_a_target(harness: Harness) -> None:
    """Guards against a slow target that is still preferred."""
    before = harness.targets.states["target"].cost(1.0, "a")
    harness.end_attempt("target", submission.Replied(ROUTE.latency_objective))
    assert harness.targets.states["target"].cost(1.0, "a") > before


def test_lost_targets_of_another_zone_suggest_a_partition(harness: Harness) -> None:
    """Guards against a partition that callers detect before the instance."""
    for _ in range(4):
        harness.end_attempt("target", LOST)
    assert harness.suspected_partitions == 1


@pytest.mark.parametrize(
    ("result", "is_avoided"),
    [
        (submission.Replied(0.02), False),
        (LOST, True),
        (DECLINED, True),
        (submission.Cancelled(0.09), True),
        (submission.Cancelled(0.09, is_accepted=True), False),
        (submission.Cancelled(0.001), False),
    ],
)
def test_failing_instance_is_avoided(
    harness: Harness, result: submission.End, is_avoided: bool
) -> None:
    """Guards against subqueries to an instance that does not accept them."""
    harness.end_attempt("instance/b0", result)
    assert harness.can_query_peer(1.1) is not is_avoided


def test_unanswered_subqueries_suggest_a_partition(harness: Harness) -> None:
    """Guards against partitions that are undetected if only instances are queried."""
    for _ in range(4):
        harness.end_attempt(
            "instance/b0", submission.Cancelled(ROUTE.latency_objective)
        )
    assert harness.suspected_partitions == 1
    assert harness.feedback.reachability.isolated(2.0, True)
    harness.end_attempt("instance/b0", submission.Replied(0.02), 2.0)
    assert not harness.feedback.reachability.isolated(2.1, True)


def test_latencies_of_a_route_outlive_a_version(harness: Harness) -> None:
    """Guards against hedge delays that restart with each configuration version."""
    route_latencies: timing.RouteLatencies = harness.feedback.latencies(ROUTE)
    harness.feedback.apply_routes([ROUTE])
    assert harness.feedback.latencies(ROUTE) is route_latencies
    harness.feedback.apply_routes([])
    harness.end_attempt("target", submission.Replied(0.02))


def test_full_target_is_not_avoided(harness: Harness) -> None:
    """Guards against replicas that are avoided in turn while all are full.

    The whole load then falls on one of them.
    """
    state = harness.targets.states["target"]
    before = state.cost(1.0, "a")
    for _ in range(6):
        harness.end_attempt("target", SHED)
    assert not state.avoided(1.0)
    assert state.is_full(1.0) and not state.is_full(1.0 + targets.FULL_SECONDS)
    assert state.cost(1.0, "a") > before


def test_targets_of_a_returned_zone_are_used_at_once(harness: Harness) -> None:
    """Guards against avoiding a zone for seconds after its outage has ended."""
    state = harness.targets.states["target"]
    harness.end_attempt("target", submission.Replied(0.02), now=1.0)
    for number in range(8):
        harness.end_attempt("target", LOST, now=1.1 + number / 10)
        harness.end_attempt("instance/b0", LOST, now=1.1 + number / 10)
    assert state.avoided(2.0) and not harness.can_query_peer(2.0)
    harness.targets.apply(
        2.0,
        {
            name: targets.ListedTarget(name, "g", "127.0.0.1", 1, "b")
            for name in ("target", "other")
        },
    )
    harness.end_attempt("other", submission.Replied(0.02), now=2.0)
    assert not state.avoided(2.0) and harness.can_query_peer(2.0)


def test_failing_target_in_a_working_zone_stays_avoided(harness: Harness) -> None:
    """Guards against an answer of one target that clears the failures of another."""
    state = harness.targets.states["target"]
    harness.targets.apply(
        1.0,
        {
            name: targets.ListedTarget(name, "g", "127.0.0.1", 1, "b")
            for name in ("target", "other")
        },
    )
    for number in range(8):
        harness.end_attempt("target", LOST, now=1.1 + number / 10)
        harness.end_attempt("other", submission.Replied(0.02), now=1.15 + number / 10)
    assert state.avoided(1.9)
