"""What the ends of attempts teach."""

import random

import pytest

from jackdawpass.process import submission
from jackdawpass.process.serving import (
    aggregators,
    feedback,
    peers,
    prometheus_metrics,
    targets,
    timing,
)
from jackdawpass.request import model
from jackdawpass.version import routes

ROUTE = routes.Route("r", "h", "/", True, ("g",), (), 1.0, 0.1)
LOST = model.AttemptFailure(
    model.FailureKind.CONNECTION_LOST, model.Execution.MAY_HAVE_RUN
)
DECLINED = model.AttemptFailure(model.FailureKind.DECLINED, model.Execution.NOT_SENT)


class World:
    """An instance in zone a that knows one target and one instance of zone b."""

    def __init__(self) -> None:
        generator = random.Random(1)
        self.targets = targets.Targets("a", generator)
        far = targets.ListedTarget("far", "g", "127.0.0.1", 1, "b")
        self.targets.apply(0.0, {"far": far})
        self.peers = peers.Peers("a", generator)
        self.peers.apply(0.0, [aggregators.Member("b0", "b", "127.0.0.1", 2, 1.0)])
        self.doubts = 0
        self.feedback = feedback.AttemptFeedback(
            "a",
            self.targets,
            self.peers,
            self._on_suspected_partition,
            prometheus_metrics.PrometheusMetrics(),
        )
        self.feedback.apply_routes([ROUTE])

    def end(self, target: str, end: submission.End, now: float = 1.0) -> None:
        attempt = model.Attempt(
            1, "q", "r", target, frozenset({0}), "s", 9.0, 5, model.AttemptKind.FIRST
        )
        self.feedback.on_attempt_end(now, attempt, end)

    def asks_peer(self, now: float) -> bool:
        return self.peers.choose(now, "b") is not None

    def _on_suspected_partition(self) -> None:
        self.doubts += 1


@pytest.fixture
def world() -> World:
    return World()


def test_reply_of_a_target_teaches_its_latency(world: World) -> None:
    """Guards against a slow target that stays the first choice."""
    before = world.targets.states["far"].cost(1.0, "a")
    world.end("far", submission.Replied(ROUTE.objective))
    assert world.targets.states["far"].cost(1.0, "a") > before


def test_lost_targets_of_another_zone_raise_a_doubt(world: World) -> None:
    """Guards against a cut that is noticed by callers first."""
    for _ in range(4):
        world.end("far", LOST)
    assert world.doubts == 1


@pytest.mark.parametrize(
    ("end", "is_left"),
    [
        (submission.Replied(0.02), False),
        (LOST, True),
        (DECLINED, True),
        (submission.Cancelled(0.09), True),
        (submission.Cancelled(0.09, is_accepted=True), False),
        (submission.Cancelled(0.001), False),
    ],
)
def test_instance_in_trouble_is_left(
    world: World, end: submission.End, is_left: bool
) -> None:
    """Guards against subqueries to an instance that does not take them."""
    world.end("instance/b0", end)
    assert world.asks_peer(1.1) is not is_left


def test_unanswered_subquery_is_evidence_of_a_cut(world: World) -> None:
    """Guards against a cut zone whose instances are never in doubt."""
    for _ in range(4):
        world.end("instance/b0", submission.Cancelled(ROUTE.objective))
    assert world.doubts == 1
    assert world.feedback.reachability.isolated(2.0, True)
    world.end("instance/b0", submission.Replied(0.02), 2.0)
    assert not world.feedback.reachability.isolated(2.1, True)


def test_latencies_of_a_route_outlive_a_version(world: World) -> None:
    """Guards against hedges that are learned anew with each configuration."""
    known: timing.RouteLatencies = world.feedback.latencies(ROUTE)
    world.feedback.apply_routes([ROUTE])
    assert world.feedback.latencies(ROUTE) is known
    world.feedback.apply_routes([])
    world.end("far", submission.Replied(0.02))
