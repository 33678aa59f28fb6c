"""Choice among the targets of a group."""

import random

import pytest

from jackdawpass.process.serving import targets
from jackdawpass.request import model


def listed(name: str, zone: str = "a", **changes: object) -> targets.ListedTarget:
    values: dict[str, object] = {
        "name": name,
        "group": "g",
        "host": "127.0.0.1",
        "port": 1,
        "zone": zone,
    }
    return targets.ListedTarget(**(values | changes))  # type: ignore[arg-type]


def make_targets(*entries: targets.ListedTarget) -> targets.Targets:
    all_targets = targets.Targets("a", random.Random(1))
    all_targets.apply(0.0, {entry.name: entry for entry in entries})
    return all_targets


def chosen_names(
    all_targets: targets.Targets, now: float, count: int = 50
) -> set[str | None]:
    chosen = [all_targets.choose(now, "g", ()) for _ in range(count)]
    return {None if state is None else state.listed.name for state in chosen}


def test_own_zone_is_preferred() -> None:
    """Guards against needless traffic between zones, which is charged."""
    assert chosen_names(make_targets(listed("near"), listed("far", "b")), 0.0) == {
        "near"
    }


def test_slow_target_is_avoided_until_it_recovers() -> None:
    """Guards against staying with a slow target, and against never returning to it."""
    all_targets = make_targets(listed("near"), listed("far", "b"))
    for _ in range(4):
        all_targets.states["near"].on_latency(0.0, 8.0)
    assert chosen_names(all_targets, 0.1) == {"far"}
    assert chosen_names(all_targets, 30.0) == {"near"}


def test_failing_target_is_avoided_for_a_while() -> None:
    """Guards against first attempts that keep going to a failed target."""
    all_targets = make_targets(listed("near"), listed("far", "b"))
    for _ in range(targets.FAILURES_TO_AVOID):
        all_targets.states["near"].on_failure(0.0)
    assert all_targets.states["near"].avoided(0.1)
    assert chosen_names(all_targets, 0.1) == {"far"}


def test_only_failing_targets_are_still_used() -> None:
    """Guards against refusing requests that a failing target might still answer."""
    all_targets = make_targets(listed("near"))
    for _ in range(9):
        all_targets.states["near"].on_failure(0.0)
    assert chosen_names(all_targets, 0.1) == {"near"}


def test_leaving_target_gets_nothing() -> None:
    """Guards against new work for a draining target."""
    assert chosen_names(make_targets(listed("near", leaving=True)), 0.0) == {None}


def test_idle_target_is_preferred_to_a_busy_one() -> None:
    """Guards against a queue at one target while another is free."""
    all_targets = make_targets(listed("one"), listed("two"))
    all_targets.states["one"].in_flight = 3
    assert chosen_names(all_targets, 0.0) == {"two"}


def test_target_with_a_reused_address_gets_nothing() -> None:
    """Guards against requests to a reused address, which load its new owner.

    While the store did not respond, each search reached such an address. The requests
    that the new owner rejected exceeded the repeat budget of the new owner's service.
    """
    all_targets = make_targets(listed("near"), listed("far", "b"))
    all_targets.states["near"].on_misdirected(0.0)
    assert chosen_names(all_targets, 0.1) == {"far"}
    alone = make_targets(listed("near"))
    alone.states["near"].on_misdirected(0.0)
    assert chosen_names(alone, 0.1) == {None}
    assert not alone.has_local(0.1, "g")
    assert chosen_names(alone, targets.MISDIRECTED_SECONDS) == {"near"}


def test_new_incarnation_starts_with_a_fresh_state() -> None:
    """Guards against judging a restarted target by its earlier incarnation."""
    all_targets = make_targets(listed("near", started=1))
    all_targets.states["near"].on_failure(0.0)
    before = all_targets.states["near"]
    all_targets.apply(1.0, {"near": listed("near", started=2)})
    assert all_targets.states["near"] is not before
    all_targets.apply(2.0, {"near": listed("near", started=2, leaving=True)})
    assert all_targets.states["near"].listed.leaving


@pytest.mark.parametrize(
    "kind", [model.FailureKind.QUEUE_EXPIRED, model.FailureKind.DRAINING]
)
def test_failures_without_health_information(kind: model.FailureKind) -> None:
    """Guards against avoiding a target for failures that it did not cause."""
    failure = model.AttemptFailure(kind, model.Execution.NOT_SENT)
    assert not targets.is_health_signal(failure)


def test_full_target_of_a_group_is_known_for_a_moment() -> None:
    """Guards against refusing requests for targets that have room again."""
    all_targets = make_targets(listed("x"), listed("y"))
    assert not all_targets.has_full(0.0, ["g"])
    all_targets.states["y"].on_shed(0.0)
    assert all_targets.has_full(0.1, ["other", "g"])
    assert not all_targets.has_full(0.1, ["other"])
    assert not all_targets.has_full(targets.FULL_SECONDS, ["g"])
