"""Targets that have asked for a pause in a reply."""

import math
import random

import pytest

from jackdawpass.process.serving import (
    caller_requests,
    durations,
    notices,
    pausing_targets,
    refusal_policy,
    targets,
    throttle,
)
from jackdawpass.request import model, problems
from jackdawpass.version import routes

REQUEST = caller_requests.CallerRequest("r", "h", "/", 1.0, b"")


def listed(name: str, started: int = 1) -> targets.ListedTarget:
    """Return a target of the group that its name begins with."""
    return targets.ListedTarget(name, name[0], "127.0.0.1", 1, "a", started=started)


@pytest.fixture
def four() -> targets.Targets:
    """Return two targets of each of the groups g and h."""
    four = targets.Targets("a", random.Random(1))
    four.apply(0.0, {name: listed(name) for name in ("g1", "g2", "h1", "h2")})
    return four


def chosen(listed_targets: targets.Targets, now: float, group: str = "g") -> set[str]:
    found = [listed_targets.choose(now, group, ()) for _ in range(50)]
    return {state.listed.name for state in found if state is not None}


def test_pausing_target_gets_nothing_until_the_end(four: targets.Targets) -> None:
    """Guards against requests, hedges and trials in a pause."""
    assert four.on_pause(1.0, "g1", 1, 5.0)
    assert chosen(four, 1.0) == chosen(four, 5.9) == {"g2"}
    assert four.choose(5.9, "g", {"g2"}) is None
    assert chosen(four, 6.0) == {"g1", "g2"}


@pytest.mark.parametrize(("seconds", "end"), [(1.0, 3.0), (9.0, 11.0), (0.0, 2.0)])
def test_later_pause_replaces_the_earlier_one(
    four: targets.Targets, seconds: float, end: float
) -> None:
    """Guards against a target that is left out longer, or shorter, than it asked."""
    four.on_pause(1.0, "g1", 1, 5.0)
    assert not four.on_pause(2.0, "g1", 1, seconds)
    if seconds:
        assert chosen(four, end - 0.1) == {"g2"}
    assert chosen(four, end) == {"g1", "g2"}


def test_pause_belongs_to_the_incarnation(four: targets.Targets) -> None:
    """Guards against a pause that a restarted target has not asked for."""
    four.on_pause(1.0, "g1", 1, 5.0)
    four.apply(2.0, {"g2": listed("g2")})
    four.apply(2.5, {name: listed(name) for name in ("g1", "g2")})
    assert chosen(four, 3.0) == {"g2"}
    four.apply(3.0, {"g1": listed("g1", started=2), "g2": listed("g2")})
    assert chosen(four, 3.0) == {"g1", "g2"}


def test_attempts_that_wait_for_a_pausing_target_are_released_once(
    four: targets.Targets,
) -> None:
    """Guards against attempts that are sent in a pause, or wait for its end."""
    released: list[str] = []

    def release(name: str) -> int:
        released.append(name)
        return 1

    board = notices.NoticeBoard(four, release)
    for now in (1.0, 1.1):
        board.on_notices(now, [model.TargetNotice("g1", 1, pause=5.0)])
    assert released == ["g1"]
    (heard,) = board.heard_since(2.0, at=1.1)
    assert heard.target == "g1"
    assert heard.pause == pytest.approx(4.1)
    assert board.heard_since(2.0, at=1.2) == ()


def _refusal(
    four: targets.Targets, now: float, min_coverage: float = 0.0
) -> problems.Problem | None:
    route = routes.Route(
        "x", "h", "/", True, ("g", "h"), (), 1.0, 0.1, min_coverage=min_coverage
    )
    policy = refusal_policy.RefusalPolicy(
        four, throttle.RouteThrottles(random.Random(1)), durations.RequestDurations()
    )
    return policy.refusal(now, REQUEST, route, route.shards, False)


def test_request_whose_targets_all_pause_is_refused_at_once(
    four: targets.Targets,
) -> None:
    """Guards against a request that waits although no target may serve it."""
    for name, seconds in (("g1", 5.0), ("g2", 3.0)):
        four.on_pause(1.0, name, 1, seconds)
    refusal = _refusal(four, 2.0, min_coverage=0.9)
    assert refusal is not None and refusal.retry_after == pytest.approx(2.0)
    assert _refusal(four, 4.0, min_coverage=0.9) is None


def test_target_that_has_left_does_not_shorten_the_pause(
    four: targets.Targets,
) -> None:
    """Guards against callers that are told to return before a target takes work."""
    four.on_leaving(1.0, "g1", 1)
    four.on_pause(1.0, "g2", 1, 5.0)
    assert four.pause_left(2.0, "g") == pytest.approx(4.0)


def test_partial_answer_is_given_while_some_shards_pause(four: targets.Targets) -> None:
    """Guards against a refusal while the other shards are enough."""
    for name in ("g1", "g2"):
        four.on_pause(1.0, name, 1, 5.0)
    assert _refusal(four, 2.0, min_coverage=0.5) is None
    for name in ("h1", "h2"):
        four.on_pause(1.0, name, 1, 4.0)
    refusal = _refusal(four, 2.0, min_coverage=0.5)
    assert refusal is not None and refusal.retry_after == pytest.approx(3.0)


def test_number_of_pauses_is_limited() -> None:
    """Guards against memory that grows with each replaced target."""
    pauses = pausing_targets.PausingTargets()
    for number in range(pausing_targets.MAX_PAUSES + 1):
        pauses.add(0.0, f"t-{number}", 1, 5.0)
    assert pauses.paused_until("t-0", 1) == -math.inf
    assert pauses.paused_until("t-1", 1) == 5.0
