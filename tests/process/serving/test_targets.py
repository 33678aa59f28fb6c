"""Which target an instance prefers."""

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


def known(*entries: targets.ListedTarget) -> targets.Targets:
    found = targets.Targets("a", random.Random(1))
    found.apply(0.0, {entry.name: entry for entry in entries})
    return found


def choices(found: targets.Targets, now: float, count: int = 50) -> set[str | None]:
    chosen = [found.choose(now, "g", ()) for _ in range(count)]
    return {None if state is None else state.listed.name for state in chosen}


def test_own_zone_first() -> None:
    """Guards against priced bytes between zones without need."""
    assert choices(known(listed("near"), listed("far", "b")), 0.0) == {"near"}


def test_slow_target_is_left_and_returned_to() -> None:
    """Guards against staying with a slow target, and against never coming back."""
    found = known(listed("near"), listed("far", "b"))
    for _ in range(4):
        found.states["near"].on_latency(0.0, 8.0)
    assert choices(found, 0.1) == {"far"}
    assert choices(found, 30.0) == {"near"}


def test_failing_target_is_avoided_for_a_while() -> None:
    """Guards against sending every request to a dead target first."""
    found = known(listed("near"), listed("far", "b"))
    for _ in range(targets.FAILURES_TO_AVOID):
        found.states["near"].on_failure(0.0)
    assert found.states["near"].avoided(0.1)
    assert choices(found, 0.1) == {"far"}


def test_only_failing_targets_are_still_used() -> None:
    """Guards against refusing a request that a failing target might still answer."""
    found = known(listed("near"))
    for _ in range(9):
        found.states["near"].on_failure(0.0)
    assert choices(found, 0.1) == {"near"}


def test_leaving_target_gets_nothing() -> None:
    """Guards against new work for a target that drains."""
    assert choices(known(listed("near", leaving=True)), 0.0) == {None}


def test_busy_target_shares_with_its_like() -> None:
    """Guards against a queue at one target while another is free."""
    found = known(listed("one"), listed("two"))
    found.states["one"].in_flight = 3
    assert choices(found, 0.0) == {"two"}


def test_target_whose_address_another_one_has_gets_nothing() -> None:
    """Guards against requests that burden the service which has the address now.

    Found by a hunt: with the store silent each search reached such an address, and the
    requests that its new owner refused broke the budget of repeats of its service.
    """
    found = known(listed("near"), listed("far", "b"))
    found.states["near"].on_misdirected(0.0)
    assert choices(found, 0.1) == {"far"}
    alone = known(listed("near"))
    alone.states["near"].on_misdirected(0.0)
    assert choices(alone, 0.1) == {None}
    assert not alone.has_local(0.1, "g")
    assert choices(alone, targets.MISDIRECTED_SECONDS) == {"near"}


def test_new_incarnation_starts_without_a_past() -> None:
    """Guards against judging a restarted target by what ran before it."""
    found = known(listed("near", started=1))
    found.states["near"].on_failure(0.0)
    before = found.states["near"]
    found.apply(1.0, {"near": listed("near", started=2)})
    assert found.states["near"] is not before
    found.apply(2.0, {"near": listed("near", started=2, leaving=True)})
    assert found.states["near"].listed.leaving


@pytest.mark.parametrize(
    "kind", [model.FailureKind.QUEUE_EXPIRED, model.FailureKind.DRAINING]
)
def test_failures_that_say_nothing_of_health(kind: model.FailureKind) -> None:
    """Guards against avoiding a target for what is not its fault."""
    failure = model.AttemptFailure(kind, model.Execution.NOT_SENT)
    assert not targets.is_health_signal(failure)
