"""Acceptance of subqueries by a gateway."""

import dataclasses
import random
import typing

import pytest
from twisted.internet.testing import MemoryReactorClock

from jackdawpass.platform import target_dialect
from jackdawpass.process.serving import (
    caller_requests,
    gateway,
    peer_wire,
    prometheus_metrics,
    repeats,
)
from jackdawpass.version import routes

SHARDS = ("s0", "s1", "s2")
ROUTE = routes.Route("r", "h", "/x/", True, SHARDS, (), 1.0, 0.1)
REQUEST = caller_requests.CallerRequest(
    "q", "h", "/x/1", 1.0, b"GET /x/1 HTTP/1.1\r\n\r\n"
)


@pytest.fixture
def gateway_v5() -> gateway.Gateway:
    """Return a gateway with configuration version 5 and one route to three shards."""
    wire = target_dialect.TargetDialect()
    limits = repeats.RepeatLimits(0.2, 100.0, 10.0)
    new_gateway = gateway.Gateway(
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
    new_gateway.apply_table(table)
    return new_gateway


def send_subquery(
    gateway_v5: gateway.Gateway, fanout_digest: str, *shards: int
) -> list[typing.Any]:
    """Return the outcomes of a subquery; empty if it was declined."""
    outcomes: list[typing.Any] = []
    subquery = peer_wire.Subquery(fanout_digest, frozenset(shards), 0.05)
    exchange = gateway_v5.serve_subquery(REQUEST, subquery, outcomes.append)
    assert (exchange is None) == (not outcomes)
    return outcomes


def test_subquery_of_the_same_shards_is_accepted(gateway_v5: gateway.Gateway) -> None:
    """Guards against instances that always decline each other's subqueries."""
    assert len(send_subquery(gateway_v5, ROUTE.fanout_digest, 0, 2)) == 1


def test_shards_numbered_differently_are_declined(gateway_v5: gateway.Gateway) -> None:
    """Guards against an answer that mixes shards of two configuration versions."""
    other = routes.Route("r", "h", "/x/", True, SHARDS[::-1], (), 1.0, 0.1)
    assert not send_subquery(gateway_v5, other.fanout_digest, 0, 2)
    assert not send_subquery(gateway_v5, "", 0)


@pytest.mark.parametrize("change", [{"limit": 50}, {"max_attempts": 3}])
def test_subquery_with_other_limits_is_declined(
    gateway_v5: gateway.Gateway, change: dict[str, typing.Any]
) -> None:
    """Guards against records lost, or targets queried, by another version's limit."""
    other = dataclasses.replace(ROUTE, **change)
    assert not send_subquery(gateway_v5, other.fanout_digest, 0, 2)


def test_unknown_shard_is_declined(
    gateway_v5: gateway.Gateway,
) -> None:
    """Guards against a crash on a shard number from a different configuration."""
    assert not send_subquery(gateway_v5, ROUTE.fanout_digest, 0, 3)
