"""Which instances of other zones are asked for shards."""

import random

from jackdawpass.process.serving import aggregators, peers

MEMBERS = tuple(
    aggregators.Member(f"{zone}{number}", zone, "127.0.0.1", 9, 1.0)
    for zone in ("a", "b", "c")
    for number in range(2)
)


def known(members: tuple[aggregators.Member, ...] = MEMBERS) -> peers.Peers:
    found = peers.Peers("a", random.Random(1))
    found.apply(0.0, members)
    return found


def choices(found: peers.Peers, now: float, zone: str) -> set[str | None]:
    return {found.choose(now, zone) for _ in range(40)}


def test_only_instances_of_other_zones_are_asked() -> None:
    """Guards against a hop to an instance that lacks the same shards."""
    found = known()
    assert choices(found, 0.0, "a") == {None}
    assert choices(found, 0.0, "b") == {"instance/b0", "instance/b1"}
    assert sorted(found.zones(0.0)) == ["b", "c"]


def test_trouble_pauses_its_zone_at_once() -> None:
    """Guards against losing the shards of a cut zone once for each of its instances."""
    found = known()
    found.on_failure(0.0, "instance/b0")
    assert found.zones(0.1) == ["c"]
    later = peers.ZONE_PAUSE_SECONDS + 0.1
    assert choices(found, later, "b") == {"instance/b1"}


def test_repeated_trouble_pauses_longer_and_an_answer_ends_it() -> None:
    """Guards against asking a dead instance every second."""
    found = known((MEMBERS[2],))
    now = 0.0
    for _ in range(3):
        found.on_failure(now, "instance/b0")
        now += 2 * peers.PAUSE_SECONDS
    assert choices(found, now, "b") == {None}
    found.on_answer(now, "instance/b0", 1.0)
    now += peers.MAX_PAUSE_SECONDS
    found.on_failure(now, "instance/b0")
    now += peers.PAUSE_SECONDS + 0.1
    assert choices(found, now, "b") == {"instance/b0"}


def test_instance_that_declines_pauses_alone() -> None:
    """Guards against leaving a zone because one of its instances stops."""
    found = known()
    found.on_declined(0.0, "instance/b0")
    assert choices(found, 0.1, "b") == {"instance/b1"}


def test_slow_instance_is_left() -> None:
    """Guards against handing shards to an instance that is short of processor time."""
    found = known()
    for _ in range(4):
        found.on_answer(0.0, "instance/b0", 6.0)
    assert choices(found, 0.1, "b") == {"instance/b1"}


def test_gone_instance_is_forgotten() -> None:
    """Guards against memory that grows with each replaced instance."""
    found = known()
    found.on_failure(0.0, "instance/b0")
    found.apply(0.0, MEMBERS[3:])
    assert "instance/b0" not in found.states
    found.apply(0.0, MEMBERS)
    assert choices(found, 1.0, "b") == {"instance/b0", "instance/b1"}


def test_short_objectives_are_served_directly() -> None:
    """Guards against a hop that takes a tenth of the time that a caller has."""
    assert peers.allows_extra_hop(0.092)
    assert not peers.allows_extra_hop(0.044)
