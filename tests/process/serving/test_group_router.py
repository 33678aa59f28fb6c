"""Which way each shard of a request goes."""

import random

from jackdawpass.process.serving import aggregators, group_router, peers, targets

GROUPS = tuple(f"g{number}" for number in range(6))
ALL = frozenset(range(len(GROUPS)))
# Shards 0 and 1 have a target in the own zone "a"; all others are in "b" and "c".
AWAY = frozenset(range(2, len(GROUPS)))


def listed(group: str, zone: str, leaving: bool = False) -> targets.ListedTarget:
    name = f"{group}-{zone}"
    return targets.ListedTarget(name, group, "127.0.0.1", 1, zone, leaving=leaving)


def known_targets() -> targets.Targets:
    found = targets.Targets("a", random.Random(1))
    zones = {
        group: ("a", "b") if i < 2 else ("b", "c") for i, group in enumerate(GROUPS)
    }
    entries = [listed(group, zone) for group in GROUPS for zone in zones[group]]
    found.apply(0.0, {entry.name: entry for entry in entries})
    return found


def nearby(*zones: str) -> peers.Peers:
    found = peers.Peers("a", random.Random(1))
    members = [
        aggregators.Member(f"{zone}{number}", zone, "127.0.0.1", 9, 1.0)
        for zone in zones
        for number in range(2)
    ]
    found.apply(0.0, members)
    return found


def router(
    known: targets.Targets,
    asked: peers.Peers | None,
    max_attempts: int = 2,
    requested: list[str] | None = None,
) -> group_router.GroupRouter:
    def on_request(now: float, group: str) -> None:
        if requested is not None:
            requested.append(group)

    return group_router.GroupRouter(known, asked, GROUPS, max_attempts, on_request)


def test_shards_of_other_zones_go_together() -> None:
    """Guards against a message between zones for each shard."""
    asked = nearby("b")
    assigned = router(known_targets(), asked).assign(0.0, ALL, {})
    handed = [each for each in assigned if asked.zone_of(each.target)]
    assert [each.shards for each in handed] == [AWAY]
    rest = {each.target: each.shards for each in assigned if each not in handed}
    assert rest == {"g0-a": {0}, "g1-a": {1}}


def test_few_shards_elsewhere_go_direct() -> None:
    """Guards against a hop that saves nothing."""
    few = frozenset((0, 1, 2, 3))
    asked = nearby("b")
    assigned = router(known_targets(), asked).assign(0.0, few, {})
    assert not [each for each in assigned if asked.zone_of(each.target)]
    assert len(assigned) == 4


def test_instance_in_a_zone_without_the_shards_is_not_asked() -> None:
    """Guards against a hop to a zone that has to ask a third one."""
    asked = nearby("d")
    assigned = router(known_targets(), asked).assign(0.0, ALL, {})
    assert len(assigned) == len(ALL)


def test_lost_part_goes_to_targets_of_another_zone() -> None:
    """Guards against asking behind the same cut again."""
    asked = nearby("b")
    routed = router(known_targets(), asked)
    subquery = next(a for a in routed.assign(0.0, ALL, {}) if len(a.shards) > 1)
    excluded = {shard: {subquery.target} for shard in subquery.shards}
    again = routed.assign(0.0, subquery.shards, excluded)
    assert {each.target for each in again} == {f"{GROUPS[s]}-c" for s in AWAY}


def test_group_with_more_targets_than_tries_is_not_handed_over() -> None:
    """Guards against a shard's request at more targets than its route allows."""
    known, asked = known_targets(), nearby("b")
    states = {name: state.listed for name, state in known.states.items()}
    third = listed("g2", "d")
    known.apply(0.0, states | {third.name: third})
    assigned = router(known, asked, 2).assign(0.0, ALL, {})
    assert [a.shards for a in assigned if asked.zone_of(a.target)] == [AWAY - {2}]
    assigned = router(known, asked, 3).assign(0.0, ALL, {})
    assert [a.shards for a in assigned if asked.zone_of(a.target)] == [AWAY]


def test_shard_without_a_target_is_left_out() -> None:
    """Guards against sending a shard's request to another group."""
    found = targets.Targets("a", random.Random(1))
    near = listed("g0", "a")
    found.apply(0.0, {near.name: near})
    assigned = router(found, None).assign(0.0, frozenset((0, 1)), {})
    assert [(each.target, set(each.shards)) for each in assigned] == [("g0-a", {0})]


def test_budget_goes_with_the_shards() -> None:
    """Guards against hedges that the one who needs them may not send."""
    asked, requested = nearby("b"), list[str]()
    routed = router(known_targets(), asked, requested=requested)
    subquery = next(a for a in routed.assign(0.0, ALL, {}) if len(a.shards) > 1)
    assert sorted(requested) == ["g0", "g1"]
    routed.assign(
        0.0, subquery.shards, {shard: {subquery.target} for shard in subquery.shards}
    )
    assert sorted(requested) == ["g0", "g1"]
