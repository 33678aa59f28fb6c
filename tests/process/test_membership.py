"""Tests of the member view, the choice of readers and failure detection."""

import random

import hypothesis
from hypothesis import strategies

from jackdawpass.connection import frames, platform_api
from jackdawpass.process import membership, schedule


def make_listed(
    count: int, zones: str = "abc"
) -> tuple[platform_api.ListedInstance, ...]:
    return tuple(
        platform_api.ListedInstance(
            f"e{n}", "entry", zones[n % len(zones)], f"127.0.0.1:{1000 + n}", False
        )
        for n in range(count)
    )


def make_member(name: str, zone: str = "a") -> membership.Member:
    return membership.Member(name, zone, f"127.0.0.1:{1000 + int(name[1:])}")


def make_membership(name: str, count: int, zones: str = "abc") -> membership.Membership:
    zone = zones[int(name[1:]) % len(zones)]
    instance = membership.Membership(make_member(name, zone))
    instance.on_list(0.0, make_listed(count, zones))
    return instance


def test_all_instances_choose_the_same_readers() -> None:
    """Guards against platform calls that increase with the number of instances."""
    instances = [make_membership(f"e{n}", 12) for n in range(12)]
    assert len({instance.readers(0.0, "b") for instance in instances}) == 1
    assert sum(instance.is_reader(0.0) for instance in instances) == 6


def test_links_do_not_grow_with_the_zone() -> None:
    """Guards against a number of links that grows with the zone."""
    for n in range(60):
        instance = make_membership(f"e{n}", 60)
        zones = 2 if instance.is_reader(0.0) else 0
        assert len(instance.desired_links(0.0)) <= 4 + zones


def test_suspected_peer_is_lost_only_when_others_cannot_reach_it() -> None:
    """Guards against removing a healthy reader because one link to it broke."""
    instance = make_membership("e0", 4, zones="a")
    for name in ("e1", "e2", "e3"):
        instance.on_link_up(0.0, make_member(name))
    probes = instance.on_link_down(1.0, "e1", planned=False)
    assert {probe.peer for probe in probes} == {"e2", "e3"}
    instance.on_probe_result(1.1, "e2", frames.Probed("e1", False))
    assert _state(instance, "e1") is membership.State.SUSPECTED
    instance.on_probe_result(1.2, "e3", frames.Probed("e1", True))
    assert _state(instance, "e1") is membership.State.LIVE
    instance.on_link_down(2.0, "e1", planned=False)
    for peer in [probe.peer for probe in instance.on_unreachable(2.0, "e1")]:
        instance.on_probe_result(2.1, peer, frames.Probed("e1", False))
    assert _state(instance, "e1") is membership.State.LOST
    assert "e1" not in instance.readers(2.2, "a")


def test_unanswered_suspicion_does_not_mark_a_peer_as_lost() -> None:
    """Guards against an isolated instance that marks all others as lost."""
    instance = make_membership("e0", 3, zones="a")
    instance.on_link_up(0.0, make_member("e1"))
    assert instance.on_link_down(1.0, "e1", planned=False) == ()
    instance.on_tick(60.0)
    assert _state(instance, "e1") is membership.State.LIVE


def test_hold_down_of_a_flapping_peer_grows() -> None:
    """Guards against changing the reader each time an instance pauses or flaps."""
    instance = make_membership("e0", 3, zones="a")
    instance.on_link_up(0.0, make_member("e2"))
    waits = []
    now = 0.0
    for _ in range(4):
        instance.on_link_up(now, make_member("e1"))
        start = now
        while "e1" not in instance.readers(now, "a") and now < start + 200.0:
            now += 1.0
        waits.append(now - start)
        instance.on_link_down(now, "e1", planned=False)
        instance.on_probe_result(now, "e2", frames.Probed("e1", False))
    assert waits == sorted(waits)
    assert waits[3] >= 4 * membership.FLAP_HOLD_DOWN_SECONDS


def test_zone_without_reachable_members_is_still_linked() -> None:
    """Guards against not detecting that a partition has healed."""
    instance = make_membership("e0", 6)
    for name in ("e1", "e4"):
        instance.on_link_up(0.0, make_member("e3", "a"))
        instance.on_unreachable(0.0, name)
        instance.on_probe_result(0.0, "e3", frames.Probed(name, False))
    assert {member.zone for member in instance.desired_links(1.0)} == {"a", "b", "c"}


def test_withdrawn_member_is_removed_from_relayed_views() -> None:
    """Guards against instances that keep a dead member by relaying it to each other."""
    instances = {
        name: membership.Membership(make_member(name)) for name in ("e1", "e2")
    }
    gone = frames.ReportedMember("e9", "a", "127.0.0.1:1009")
    instances["e1"].on_report(0.0, "e5", frames.Members((gone,)))
    instances["e1"].on_link_up(0.0, make_member("e2"))
    instances["e2"].on_link_up(0.0, make_member("e1"))
    for step in range(12):
        if step == 4:
            instances["e1"].on_report(4.0, "e5", frames.Members(()))
        for name, peer in (("e1", "e2"), ("e2", "e1")):
            instances[peer].on_report(
                float(step), name, instances[name].report(float(step))
            )
        if step == 3:
            assert instances["e2"].address_of("e9") is not None
    assert instances["e1"].address_of("e9") is None
    assert instances["e2"].address_of("e9") is None


def test_leaving_target_is_relayed_and_withdrawn() -> None:
    """Guards against a target that remains marked as leaving after it returned."""
    reader = make_membership("e0", 1)
    other = membership.Membership(make_member("e1"))
    leaving = platform_api.ListedInstance("lots-a", "target", "a", "h:1", True)
    reader.on_list(0.0, (*make_listed(1), leaving))
    other.on_report(0.0, "e0", reader.report(0.0))
    assert other.view().leaving_targets == {"lots-a"}
    reader.on_list(1.0, make_listed(1))
    other.on_report(1.0, "e0", reader.report(1.0))
    assert other.view().leaving_targets == frozenset()


@hypothesis.given(strategies.integers(), strategies.floats(60.0, 600.0))
def test_outage_costs_a_bounded_number_of_calls(seed: int, outage: float) -> None:
    """Guards against a number of calls that is not bounded during an outage."""
    rng = random.Random(seed)
    backoff = schedule.Backoff(rng)
    calls = 0
    now = 0.0
    while now < outage:
        if backoff.ready(now):
            calls += 1
            backoff.on_failure(now, schedule.OTHER_BACKOFF_MAX_SECONDS)
        now += 0.1
    assert calls <= 9 + outage / (0.5 * schedule.OTHER_BACKOFF_MAX_SECONDS)


def test_instances_do_not_confirm_each_other_indefinitely() -> None:
    """Guards against instances that confirm each other's version without a reader."""
    rng = random.Random(1)
    first, second = schedule.Freshness(0.0, rng), schedule.Freshness(0.0, rng)
    first.on_platform_reply(0.0)
    for step in range(1, 60):
        for source, sink in ((first, second), (second, first)):
            age = source.age(float(step))
            if age is not None:
                sink.on_peer_age(float(step), age)
    assert first.is_check_due(60.0)
    assert second.is_check_due(60.0)


def _state(instance: membership.Membership, name: str) -> membership.State:
    states = {
        member_state.member.instance: member_state.state
        for member_state in instance.view().members
    }
    return states[name]
