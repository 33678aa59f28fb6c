"""Routing of each shard to a target or into a subquery."""

import random

from jackdawpass.process.serving import aggregators, group_router, peers, targets

GROUPS = tuple(f"g{number}" for number in range(6))
ALL = frozenset(range(len(GROUPS)))
# Shards 0 and 1 have a target in the local zone "a"; all others in "b" and "c".
REMOTE = frozenset(range(2, len(GROUPS)))


def listed(group: str, zone: str, leaving: bool = False) -> targets.ListedTarget:
    name = f"{group}-{zone}"
    return targets.ListedTarget(name, group, "127.0.0.1", 1, zone, leaving=leaving)


def make_targets() -> targets.Targets:
    found = targets.Targets("a", random.Random(1))
    zones = {
        group: ("a", "b") if i < 2 else ("b", "c") for i, group in enumerate(GROUPS)
    }
    entries = [listed(group, zone) for group in GROUPS for zone in zones[group]]
    found.apply(0.0, {entry.name: entry for entry in entries})
    return found


def make_peers(*zones: str) -> peers.Peers:
    found = peers.Peers("a", random.Random(1))
    members = [
        aggregators.Member(f"{zone}{number}", zone, "127.0.0.1", 9, 1.0)
        for zone in zones
        for number in range(2)
    ]
    found.apply(0.0, members)
    return found


def make_router(
    listed_targets: targets.Targets,
    instances: peers.Peers | None,
    max_attempts: int = 2,
    requested: list[str] | None = None,
) -> group_router.GroupRouter:
    def on_request(now: float, group: str) -> None:
        if requested is not None:
            requested.append(group)

    return group_router.GroupRouter(
        listed_targets, instances, GROUPS, max_attempts, on_request
    )


def test_remote_shards_go_into_one_subquery() -> None:
    """Guards against a cross-zone message for each shard."""
    instances = make_peers("b")
    assigned = make_router(make_targets(), instances).assign(0.0, ALL, {})
    delegated = [each for each in assigned if instances.zone_of(each.target)]
    assert [each.shards for each in delegated] == [REMOTE]
    direct = {each.target: each.shards for each in assigned if each not in delegated}
    assert direct == {"g0-a": {0}, "g1-a": {1}}


def test_few_remote_shards_go_to_targets_directly() -> None:
    """Guards against an extra hop that saves nothing."""
    few = frozenset((0, 1, 2, 3))
    instances = make_peers("b")
    assigned = make_router(make_targets(), instances).assign(0.0, few, {})
    assert not [each for each in assigned if instances.zone_of(each.target)]
    assert len(assigned) == 4


def test_instance_in_a_zone_without_the_shards_is_not_chosen() -> None:
    """Guards against a subquery to an instance that must itself query another zone."""
    instances = make_peers("d")
    assigned = make_router(make_targets(), instances).assign(0.0, ALL, {})
    assert len(assigned) == len(ALL)


def test_lost_subquery_is_retried_at_targets_of_another_zone() -> None:
    """Guards against a retry in a zone that may be unreachable."""
    instances = make_peers("b")
    router = make_router(make_targets(), instances)
    subquery = next(a for a in router.assign(0.0, ALL, {}) if len(a.shards) > 1)
    excluded = {shard: {subquery.target} for shard in subquery.shards}
    again = router.assign(0.0, subquery.shards, excluded)
    assert {each.target for each in again} == {f"{GROUPS[s]}-c" for s in REMOTE}


def test_group_with_more_targets_than_attempts_is_not_delegated() -> None:
    """Guards against a sub-request to more targets than its route allows."""
    listed_targets, instances = make_targets(), make_peers("b")
    states = {name: state.listed for name, state in listed_targets.states.items()}
    third = listed("g2", "d")
    listed_targets.apply(0.0, states | {third.name: third})
    assigned = make_router(listed_targets, instances, 2).assign(0.0, ALL, {})
    assert [a.shards for a in assigned if instances.zone_of(a.target)] == [REMOTE - {2}]
    assigned = make_router(listed_targets, instances, 3).assign(0.0, ALL, {})
    assert [a.shards for a in assigned if instances.zone_of(a.target)] == [REMOTE]


def test_shard_without_a_target_is_left_out() -> None:
    """Guards against a sub-request to a target of another group."""
    found = targets.Targets("a", random.Random(1))
    near = listed("g0", "a")
    found.apply(0.0, {near.name: near})
    assigned = make_router(found, None).assign(0.0, frozenset((0, 1)), {})
    assert [(each.target, set(each.shards)) for each in assigned] == [("g0-a", {0})]


def test_delegated_shards_are_not_counted_as_own_requests() -> None:
    """Guards against hedges refused to the instance that queries the shards.

    Its budget of repeats grows only with the requests that it counts itself.
    """
    instances, requested = make_peers("b"), list[str]()
    router = make_router(make_targets(), instances, requested=requested)
    subquery = next(a for a in router.assign(0.0, ALL, {}) if len(a.shards) > 1)
    assert sorted(requested) == ["g0", "g1"]
    router.assign(
        0.0, subquery.shards, {shard: {subquery.target} for shard in subquery.shards}
    )
    assert sorted(requested) == ["g0", "g1"]
