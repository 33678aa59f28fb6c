"""Member view, duties and suspicion."""

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


def make_view(name: str, count: int, zones: str = "abc") -> membership.Membership:
    zone = zones[int(name[1:]) % len(zones)]
    view = membership.Membership(make_member(name, zone))
    view.on_list(0.0, make_listed(count, zones))
    return view


def test_all_instances_choose_the_same_readers() -> None:
    """Guards against platform calls that grow with the number of instances."""
    views = [make_view(f"e{n}", 12) for n in range(12)]
    assert len({view.readers(0.0, "b") for view in views}) == 1
    assert sum(view.is_reader(0.0) for view in views) == 6


def test_links_do_not_grow_with_the_zone() -> None:
    """Guards against a full mesh."""
    for n in range(60):
        view = make_view(f"e{n}", 60)
        zones = 2 if view.is_reader(0.0) else 0
        assert len(view.wanted(0.0)) <= 4 + zones


def test_suspected_peer_is_dropped_only_on_another_route() -> None:
    """Guards against one broken link that takes a healthy reader out of duty."""
    view = make_view("e0", 4, zones="a")
    for name in ("e1", "e2", "e3"):
        view.on_link_up(0.0, make_member(name))
    probes = view.on_link_down(1.0, "e1", planned=False)
    assert {each.peer for each in probes} == {"e2", "e3"}
    view.on_probed(1.1, "e2", frames.Probed("e1", False))
    assert _state(view, "e1") is membership.State.SUSPECTED
    view.on_probed(1.2, "e3", frames.Probed("e1", True))
    assert _state(view, "e1") is membership.State.LIVE
    view.on_link_down(2.0, "e1", planned=False)
    for peer in [each.peer for each in view.on_unreachable(2.0, "e1")]:
        view.on_probed(2.1, peer, frames.Probed("e1", False))
    assert _state(view, "e1") is membership.State.LOST
    assert "e1" not in view.readers(2.2, "a")


def test_unanswered_suspicion_does_not_drop() -> None:
    """Guards against an isolated instance that drops everybody else."""
    view = make_view("e0", 3, zones="a")
    view.on_link_up(0.0, make_member("e1"))
    assert view.on_link_down(1.0, "e1", planned=False) == ()
    view.on_tick(60.0)
    assert _state(view, "e1") is membership.State.LIVE


def test_flapping_peer_is_kept_from_duty_for_longer_each_time() -> None:
    """Guards against a paused or flapping instance that moves the duty each time."""
    view = make_view("e0", 3, zones="a")
    view.on_link_up(0.0, make_member("e2"))
    waits = []
    now = 0.0
    for _ in range(4):
        view.on_link_up(now, make_member("e1"))
        start = now
        while "e1" not in view.readers(now, "a") and now < start + 200.0:
            now += 1.0
        waits.append(now - start)
        view.on_link_down(now, "e1", planned=False)
        view.on_probed(now, "e2", frames.Probed("e1", False))
    assert waits == sorted(waits)
    assert waits[3] >= 4 * membership.FLAP_HOLD_SECONDS


def test_zone_without_reachable_member_is_still_tried() -> None:
    """Guards against a healed partition that nobody notices."""
    view = make_view("e0", 6)
    for name in ("e1", "e4"):
        view.on_link_up(0.0, make_member("e3", "a"))
        view.on_unreachable(0.0, name)
        view.on_probed(0.0, "e3", frames.Probed(name, False))
    assert {each.zone for each in view.wanted(1.0)} == {"a", "b", "c"}


def test_withdrawn_member_leaves_the_relayed_views() -> None:
    """Guards against instances that keep a dead member alive by hearsay."""
    views = {name: membership.Membership(make_member(name)) for name in ("e1", "e2")}
    gone = frames.ReportedMember("e9", "a", "127.0.0.1:1009")
    views["e1"].on_report(0.0, "e5", frames.Members((gone,)))
    views["e1"].on_link_up(0.0, make_member("e2"))
    views["e2"].on_link_up(0.0, make_member("e1"))
    for step in range(12):
        if step == 4:
            views["e1"].on_report(4.0, "e5", frames.Members(()))
        for name, peer in (("e1", "e2"), ("e2", "e1")):
            views[peer].on_report(float(step), name, views[name].report(float(step)))
        if step == 3:
            assert views["e2"].address_of("e9") is not None
    assert views["e1"].address_of("e9") is None
    assert views["e2"].address_of("e9") is None


def test_leaving_target_is_relayed_and_withdrawn() -> None:
    """Guards against a target that stays leaving after it returned."""
    reader = make_view("e0", 1)
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
    """Guards against a herd of calls during an outage."""
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


def test_news_do_not_circulate_for_ever() -> None:
    """Guards against instances that assure each other while no reader works."""
    rng = random.Random(1)
    first, second = schedule.News(0.0, rng), schedule.News(0.0, rng)
    first.on_platform(0.0)
    for step in range(1, 60):
        for source, sink in ((first, second), (second, first)):
            age = source.age(float(step))
            if age is not None:
                sink.on_peer(float(step), age)
    assert first.must_check(60.0)
    assert second.must_check(60.0)


def _state(view: membership.Membership, name: str) -> membership.State:
    states = {each.member.instance: each.state for each in view.view().members}
    return states[name]
