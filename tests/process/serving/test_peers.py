"""Choice of instances of other zones for subqueries."""

import random

from jackdawpass.process.serving import aggregators, peers

MEMBERS = tuple(
    aggregators.Member(f"{zone}{number}", zone, "127.0.0.1", 9, 1.0)
    for zone in ("a", "b", "c")
    for number in range(2)
)


def make_peers(members: tuple[aggregators.Member, ...] = MEMBERS) -> peers.Peers:
    instances = peers.Peers("a", random.Random(1))
    instances.apply(0.0, members)
    return instances


def choices(instances: peers.Peers, now: float, zone: str) -> set[str | None]:
    return {instances.choose(now, zone) for _ in range(40)}


def test_only_instances_of_other_zones_are_chosen() -> None:
    """Guards against a hop to an instance that lacks the same local shards."""
    instances = make_peers()
    assert choices(instances, 0.0, "a") == {None}
    assert choices(instances, 0.0, "b") == {"instance/b0", "instance/b1"}
    assert sorted(instances.zones(0.0)) == ["b", "c"]


def test_failure_backs_off_from_the_whole_zone() -> None:
    """Guards against one lost subquery per instance of an unreachable zone."""
    instances = make_peers()
    instances.on_failure(0.0, "instance/b0")
    assert instances.zones(0.1) == ["c"]
    later = peers.ZONE_BACKOFF_SECONDS + 0.1
    assert choices(instances, later, "b") == {"instance/b1"}


def test_backoff_grows_with_failures_and_an_answer_resets_it() -> None:
    """Guards against a subquery to a lost instance every second."""
    instances = make_peers((MEMBERS[2],))
    now = 0.0
    for _ in range(3):
        instances.on_failure(now, "instance/b0")
        now += 2 * peers.INITIAL_BACKOFF_SECONDS
    assert choices(instances, now, "b") == {None}
    instances.on_answer(now, "instance/b0", 1.0)
    now += peers.MAX_BACKOFF_SECONDS
    instances.on_failure(now, "instance/b0")
    now += peers.INITIAL_BACKOFF_SECONDS + 0.1
    assert choices(instances, now, "b") == {"instance/b0"}


def test_declining_instance_backs_off_without_its_zone() -> None:
    """Guards against avoiding a whole zone because one of its instances stops."""
    instances = make_peers()
    instances.on_declined(0.0, "instance/b0")
    assert choices(instances, 0.1, "b") == {"instance/b1"}


def test_slow_instance_is_avoided() -> None:
    """Guards against subqueries to an instance that is short of processor time."""
    instances = make_peers()
    for _ in range(4):
        instances.on_answer(0.0, "instance/b0", 6.0)
    assert choices(instances, 0.1, "b") == {"instance/b1"}


def test_state_of_a_removed_instance_is_dropped() -> None:
    """Guards against memory that grows with each replaced instance."""
    instances = make_peers()
    instances.on_failure(0.0, "instance/b0")
    instances.apply(0.0, MEMBERS[3:])
    assert "instance/b0" not in instances.states
    instances.apply(0.0, MEMBERS)
    assert choices(instances, 1.0, "b") == {"instance/b0", "instance/b1"}


def test_short_objectives_do_not_allow_the_extra_hop() -> None:
    """Guards against a hop that takes a tenth of the latency objective."""
    assert peers.allows_extra_hop(0.092)
    assert not peers.allows_extra_hop(0.044)
