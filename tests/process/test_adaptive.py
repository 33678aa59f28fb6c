"""Tests of the adaptive policy as a whole."""

import random

from jackdawpass.process import adaptive
from jackdawpass.request import model
from jackdawpass.version import catalog, schema


def _catalog(version: int, names: tuple[str, ...], **policy: object) -> catalog.Catalog:
    targets = {
        name: catalog.Target(name, schema.TargetSettings("127.0.0.1", 1, "a"))
        for name in names
    }
    shard_map = catalog.ShardMap("s1", {0: names})
    settings = schema.PolicySettings(**policy)  # type: ignore[arg-type]
    service = catalog.Service("lots", settings, targets, shard_map)
    return catalog.Catalog(version, 30, {"lots": service})


def _attempt(target: str) -> model.Attempt:
    return model.Attempt(
        1,
        "r",
        "lots",
        target,
        frozenset((0,)),
        "s1",
        9.0,
        10,
        model.AttemptKind.FIRST,
    )


def _chosen(decisions: adaptive.AdaptivePolicy, current: catalog.Catalog) -> set[str]:
    service = current.services["lots"]
    assert service.shard_map is not None
    router = decisions.router(service, service.shard_map)
    assigned = [router.assign(1.0, frozenset((0,)), {}) for _ in range(30)]
    return {each.target for assignments in assigned for each in assignments}


def test_new_catalog_keeps_what_was_learned() -> None:
    """Guards against a configuration change that resets limits and statistics."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    first = _catalog(1, ("t1", "t2"))
    decisions.apply(0.0, first)
    gate = decisions.gate(first.services["lots"].targets["t1"])
    listed = adaptive.ListedTarget("t1", leaving=True)
    decisions.on_instances(0.5, 20, [listed])
    second = _catalog(2, ("t1", "t2", "t3"), priority=9, max_queue=7)
    decisions.apply(0.6, second)
    assert decisions.gate(second.services["lots"].targets["t1"]) is gate
    assert _chosen(decisions, second) == {"t2", "t3"}
    assert decisions.queue_rule("lots").priority == 9
    assert decisions.queue_rule("lots").max_queue == 7


def test_removed_services_and_targets_are_forgotten_without_a_crash() -> None:
    """Guards against requests that outlive the catalog they started with."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    current = _catalog(1, ("t1",))
    decisions.apply(0.0, current)
    decisions.on_submitted(0.0, _attempt("t1"))
    decisions.apply(1.0, catalog.Catalog(2, 30, {}))
    decisions.on_reply(1.1, _attempt("t1"), 0.1)
    decisions.on_cancelled(1.1, _attempt("t1"), 0.1)
    lost = model.AttemptFailure(
        model.FailureKind.CONNECTION_LOST, model.Execution.MAY_HAVE_RUN
    )
    decisions.on_failure(1.1, _attempt("t1"), lost)
    assert decisions.expected_latency("t1") == 0.0
    assert _chosen(decisions, current) == {"t1"}
    assert decisions.budget(current.services["lots"]).try_spend(1.2)


def test_connections_and_limits_follow_the_share() -> None:
    """Guards against a limit above the connections that may be opened."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    current = _catalog(1, ("t1",))
    decisions.apply(0.0, current)
    target = current.services["lots"].targets["t1"]
    assert decisions.connections(target) == 2
    decisions.on_instances(0.0, 60, [])
    assert decisions.connections(target) == 1
    decisions.on_instances(0.0, 0, [])
    assert decisions.connections(target) == 2
