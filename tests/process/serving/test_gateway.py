"""Which subqueries an instance takes."""

import random
import typing

import pytest
from twisted.internet.testing import MemoryReactorClock

from jackdawpass.platform import target_dialect
from jackdawpass.process.serving import gateway, peer_wire, prometheus_metrics, repeats
from jackdawpass.version import routes

SHARDS = ("s0", "s1", "s2")
ROUTE = routes.Route("r", "h", "/x/", True, SHARDS, (), 1.0, 0.1)
REQUEST = gateway.CallerRequest("q", "h", "/x/1", 1.0, b"GET /x/1 HTTP/1.1\r\n\r\n")


@pytest.fixture
def served() -> gateway.Gateway:
    """Give a gateway of version 5 with one route to three shards."""
    wire = target_dialect.TargetDialect()
    limits = repeats.RepeatLimits(0.2, 100.0, 10.0)
    made = gateway.Gateway(
        MemoryReactorClock(),
        "a",
        wire,
        wire,
        limits,
        random.Random(1),
        lambda: None,
        prometheus_metrics.PrometheusMetrics(),
    )
    groups = [routes.Group(name, 10) for name in SHARDS]
    table = routes.RoutingTable(5, [ROUTE], groups, routes.CallerLimits())
    made.apply_table(table)
    return made


def ask(served: gateway.Gateway, shard_set: str, *shards: int) -> list[typing.Any]:
    """Return the outcomes of a subquery; empty when it was not taken."""
    outcomes: list[typing.Any] = []
    subquery = peer_wire.Subquery(shard_set, frozenset(shards), 0.05)
    taken = served.serve_subquery(REQUEST, subquery, outcomes.append)
    assert (taken is None) == (not outcomes)
    return outcomes


def test_subquery_of_the_same_shards_is_taken(served: gateway.Gateway) -> None:
    """Guards against instances that decline each other for ever."""
    assert len(ask(served, ROUTE.shard_set, 0, 2)) == 1


def test_shards_numbered_in_another_way_are_declined(served: gateway.Gateway) -> None:
    """Guards against an answer drawn from the shards of two versions."""
    other = routes.Route("r", "h", "/x/", True, SHARDS[::-1], (), 1.0, 0.1)
    assert not ask(served, other.shard_set, 0, 2)
    assert not ask(served, "", 0)


def test_shard_that_the_route_does_not_have_is_declined(
    served: gateway.Gateway,
) -> None:
    """Guards against a crash over another instance's numbers."""
    assert not ask(served, ROUTE.shard_set, 0, 3)
