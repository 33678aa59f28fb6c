"""Targets that have announced in a reply that they leave."""

import math
import random

import pytest

from jackdawpass.process.serving import leaving_targets, notices, targets
from jackdawpass.request import model

DRAIN_SECONDS = 3.0


def listed(name: str, started: int = 1) -> targets.ListedTarget:
    return targets.ListedTarget(name, "g", "127.0.0.1", 1, "a", started=started)


@pytest.fixture
def pair() -> targets.Targets:
    """Return the two targets of a group."""
    both = targets.Targets("a", random.Random(1), DRAIN_SECONDS)
    both.apply(0.0, {name: listed(name) for name in ("x", "y")})
    return both


def chosen(listed_targets: targets.Targets, now: float) -> set[str | None]:
    found = [listed_targets.choose(now, "g", ()) for _ in range(50)]
    return {None if state is None else state.listed.name for state in found}


def test_other_target_replaces_a_leaving_one_at_once(pair: targets.Targets) -> None:
    """Guards against requests to a leaving target, also as a hedge."""
    assert pair.on_leaving(1.0, "x", 1)
    assert chosen(pair, 1.0) == {"y"}
    assert pair.choose(1.0, "g", {"y"}) is None


def test_only_target_serves_until_its_drain_time(pair: targets.Targets) -> None:
    """Guards against refusals while a target serves, and requests after that."""
    pair.on_leaving(1.0, "x", 1)
    pair.on_leaving(1.5, "y", 1)
    assert chosen(pair, 1.0 + DRAIN_SECONDS - 0.1) == {"x", "y"}
    assert chosen(pair, 1.0 + DRAIN_SECONDS) == {"y"}
    assert chosen(pair, 1.5 + DRAIN_SECONDS) == {None}


def test_repeated_announcement_does_not_postpone_the_end(pair: targets.Targets) -> None:
    """Guards against a drain time that each further answer prolongs."""
    pair.on_leaving(1.0, "x", 1)
    assert not pair.on_leaving(3.0, "x", 1)
    assert pair.announcements.usable_until("x", 1) == 1.0 + DRAIN_SECONDS


def test_list_does_not_bring_a_leaving_target_back(pair: targets.Targets) -> None:
    """Guards against a target that an outdated list still calls ready."""
    pair.on_leaving(1.0, "x", 1)
    pair.apply(2.0, {"y": listed("y")})
    pair.apply(3.0, {name: listed(name) for name in ("x", "y")})
    assert chosen(pair, 3.0) == {"y"}


def test_new_incarnation_may_be_used(pair: targets.Targets) -> None:
    """Guards against a restarted target that is never used again."""
    pair.on_leaving(1.0, "x", 1)
    pair.apply(2.0, {"x": listed("x", started=2), "y": listed("y")})
    assert chosen(pair, 2.0) == {"x", "y"}
    # A late reply of the earlier incarnation.
    pair.on_leaving(2.1, "x", 1)
    assert chosen(pair, 2.1) == {"x", "y"}


def test_waiting_attempts_move_only_if_another_target_stays(
    pair: targets.Targets,
) -> None:
    """Guards against attempts that fail although a leaving target would serve them."""
    released: list[str] = []

    def release(name: str) -> int:
        released.append(name)
        return 1

    board = notices.NoticeBoard(pair, release)
    board.on_notices(1.0, [model.TargetNotice("x", 1, leaving=True)])
    board.on_notices(1.0, [model.TargetNotice("y", 1, leaving=True)])
    assert released == ["x"]


def test_number_of_announcements_is_limited() -> None:
    """Guards against memory that grows with each replaced target."""
    known = leaving_targets.LeavingTargets(DRAIN_SECONDS)
    for number in range(leaving_targets.MAX_ANNOUNCEMENTS + 1):
        known.add(float(number), f"t-{number}", 1)
    assert len(known) == leaving_targets.MAX_ANNOUNCEMENTS
    assert known.usable_until("t-0", 1) == math.inf
    assert known.usable_until("t-1", 1) < math.inf
