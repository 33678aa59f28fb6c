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


def _chosen(
    entry_policy: adaptive.AdaptivePolicy, current: catalog.Catalog
) -> set[str]:
    service = current.services["lots"]
    assert service.shard_map is not None
    router = entry_policy.router(service, service.shard_map)
    assigned = [router.assign(1.0, frozenset((0,)), {}) for _ in range(30)]
    return {assignment.target for assignments in assigned for assignment in assignments}


def test_new_catalog_keeps_limits_and_statistics() -> None:
    """Guards against a configuration change that resets limits and statistics."""
    entry_policy = adaptive.AdaptivePolicy("a", random.Random(0))
    first, second = _catalog("a1", "a2"), _catalog("a1", "a2", "a3", priority=9)
    entry_policy.apply(0.0, first)
    target_limiter = entry_policy.concurrency_limiter(
        first.services["lots"].targets["a1"]
    )
    entry_policy.on_instances(0.5, 20, [adaptive.ListedTarget("a1", leaving=True)])
    entry_policy.apply(0.6, second)
    assert (
        entry_policy.concurrency_limiter(second.services["lots"].targets["a1"])
        is target_limiter
    )
    assert _chosen(entry_policy, second) == {"a2", "a3"}
    assert entry_policy.queue_settings("lots").priority == 9


def test_requests_may_outlive_their_catalog() -> None:
    """Guards against a crash when a service is removed while a request runs."""
    entry_policy = adaptive.AdaptivePolicy("a", random.Random(0))
    current, attempt = _catalog("a1"), samples.make_attempt(1, "a1")
    entry_policy.apply(0.0, current)
    entry_policy.on_submitted(0.0, attempt)
    entry_policy.apply(1.0, catalog.Catalog(2, 30, {}))
    entry_policy.on_reply(1.1, attempt, 0.1)
    entry_policy.on_cancelled(1.1, attempt, 0.1)
    entry_policy.on_failure(1.1, attempt, samples.CONNECT_FAILED)
    assert _chosen(entry_policy, current) == {"a1"}


def _plan(timeout: float) -> model.QueryPlan:
    return model.QueryPlan("r", "lots", "s1", frozenset((0,)), timeout, 10, 0.0)


def _submit(entry_policy: adaptive.AdaptivePolicy, count: int) -> None:
    for _ in range(count):
        entry_policy.on_submitted(1.0, samples.make_attempt(1, "a1"))


def test_query_is_refused_only_while_its_targets_are_overloaded() -> None:
    """Guards against admitting queries that will be late, and refusing all queries."""
    entry_policy = adaptive.AdaptivePolicy("a", random.Random(0))
    current = _catalog("a1")
    entry_policy.apply(0.0, current)
    service = current.services["lots"]
    assert service.shard_map is not None
    target_limiter = entry_policy.concurrency_limiter(service.targets["a1"])
    for step in range(20):
        now = target_limiter.next_start(step / 20) or 0.0
        assert target_limiter.try_start(now)
        target_limiter.on_reply(now + 0.1, 0.1)
    _submit(entry_policy, 3)
    assert entry_policy.admits(1.0, service, service.shard_map, _plan(3.0))
    _submit(entry_policy, 100)
    assert not entry_policy.admits(1.0, service, service.shard_map, _plan(3.0))
    for _ in range(103):
        entry_policy.on_cancelled(1.0, samples.make_attempt(1, "a1"), 0.0)
    assert entry_policy.admits(1.0, service, service.shard_map, _plan(1.0001))


def test_connections_follow_the_share() -> None:
    """Guards against a stale or empty list that raises the connection limit."""
    entry_policy = adaptive.AdaptivePolicy("a", random.Random(0))
    entry_policy.apply(0.0, _catalog("a1"))
    target = _catalog("a1").services["lots"].targets["a1"]
    for seen, allowed in ((0, 2), (60, 1), (20, 2)):
        entry_policy.on_instances(0.0, seen, [])
        assert entry_policy.connection_limit(target) == allowed
