"""Tests of the adaptive policy as a whole."""

import random

from jackdawpass.process import adaptive
from jackdawpass.request import model
from jackdawpass.version import catalog, schema
from tests.process import samples


def _catalog(*names: str, priority: int = 5) -> catalog.Catalog:
    settings = schema.PolicySettings(priority=priority)
    service = samples.make_service({0: names}, settings)
    return catalog.Catalog(1, 30, {"lots": service})


def _chosen(decisions: adaptive.AdaptivePolicy, current: catalog.Catalog) -> set[str]:
    service = current.services["lots"]
    assert service.shard_map is not None
    router = decisions.router(service, service.shard_map)
    assigned = [router.assign(1.0, frozenset((0,)), {}) for _ in range(30)]
    return {each.target for assignments in assigned for each in assignments}


def test_new_catalog_keeps_what_was_learned() -> None:
    """Guards against a configuration change that resets limits and statistics."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    first, second = _catalog("a1", "a2"), _catalog("a1", "a2", "a3", priority=9)
    decisions.apply(0.0, first)
    gate = decisions.gate(first.services["lots"].targets["a1"])
    decisions.on_instances(0.5, 20, [adaptive.ListedTarget("a1", leaving=True)])
    decisions.apply(0.6, second)
    assert decisions.gate(second.services["lots"].targets["a1"]) is gate
    assert _chosen(decisions, second) == {"a2", "a3"}
    assert decisions.queue_rule("lots").priority == 9


def test_requests_may_outlive_their_catalog() -> None:
    """Guards against a crash when a service is removed while a request runs."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    current, attempt = _catalog("a1"), samples.make_attempt(1, "a1")
    decisions.apply(0.0, current)
    decisions.on_submitted(0.0, attempt)
    decisions.apply(1.0, catalog.Catalog(2, 30, {}))
    decisions.on_reply(1.1, attempt, 0.1)
    decisions.on_cancelled(1.1, attempt, 0.1)
    decisions.on_failure(1.1, attempt, samples.LOST)
    assert _chosen(decisions, current) == {"a1"}


def _plan(timeout: float) -> model.QueryPlan:
    return model.QueryPlan("r", "lots", "s1", frozenset((0,)), timeout, 10, 0.0)


def _submit(decisions: adaptive.AdaptivePolicy, count: int) -> None:
    for _ in range(count):
        decisions.on_submitted(1.0, samples.make_attempt(1, "a1"))


def test_query_is_refused_only_while_its_targets_queue_too_much() -> None:
    """Guards against queries that lose sub-requests, and against refusing for ever."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    current = _catalog("a1")
    decisions.apply(0.0, current)
    service = current.services["lots"]
    assert service.shard_map is not None
    gate = decisions.gate(service.targets["a1"])
    for step in range(20):
        now = gate.next_start(step / 20) or 0.0
        assert gate.try_start(now)
        gate.on_reply(now + 0.1, 0.1)
    _submit(decisions, 3)
    assert decisions.admits(1.0, service, service.shard_map, _plan(3.0))
    _submit(decisions, 100)
    assert not decisions.admits(1.0, service, service.shard_map, _plan(3.0))
    for _ in range(103):
        decisions.on_cancelled(1.0, samples.make_attempt(1, "a1"), 0.0)
    assert decisions.admits(1.0, service, service.shard_map, _plan(1.0001))


def test_connections_follow_the_share() -> None:
    """Guards against a list that raises the number of connections."""
    decisions = adaptive.AdaptivePolicy("a", random.Random(0))
    decisions.apply(0.0, _catalog("a1"))
    target = _catalog("a1").services["lots"].targets["a1"]
    for seen, allowed in ((0, 2), (60, 1), (20, 2)):
        decisions.on_instances(0.0, seen, [])
        assert decisions.connections(target) == allowed
