"""Tests of matching routes and of picking a group by weight."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from jackdawpass.version import routes


def route(name: str, prefix: str, **changes: object) -> routes.Route:
    values: dict[str, object] = {
        "name": name,
        "host": "h",
        "prefix": prefix,
        "idempotent": True,
        "shards": (),
        "split": (routes.WeightedGroup("g", 1.0),),
        "timeout": 1.0,
        "latency_objective": 0.1,
    }
    return routes.Route(**(values | changes))  # type: ignore[arg-type]


def table(*all_routes: routes.Route) -> routes.RoutingTable:
    return routes.RoutingTable(1, all_routes, (), routes.CallerLimits())


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/b/c", "deep"),
        ("/a/b/", "deep"),
        ("/a/b", "shallow"),
        ("/a/x/y", "shallow"),
        ("/b/", None),
        ("/", None),
        ("", None),
    ],
)
def test_longest_prefix_wins(path: str, name: str | None) -> None:
    """Guards against a request that matches a route with a shorter prefix."""
    matched = table(route("shallow", "/a/"), route("deep", "/a/b/")).match("h", path)
    assert (None if matched is None else matched.name) == name


PATHS = strategies.text(alphabet="ab/", max_size=8).map(lambda rest: "/" + rest)


@hypothesis.given(strategies.sets(PATHS.map(lambda p: p.rstrip("/") + "/")), PATHS)
def test_match_equals_a_scan_of_all_routes(prefixes: set[str], path: str) -> None:
    """Guards against a route that the prefix lookup misses."""
    matched = table(*(route(prefix, prefix) for prefix in prefixes)).match("h", path)
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    assert (matched.name if matched else None) == max(fitting, key=len, default=None)


def test_other_host_has_no_route() -> None:
    """Guards against a route that matches requests for another host by its prefix."""
    assert table(route("r", "/a/")).match("other", "/a/") is None


def test_groups_are_picked_by_weight() -> None:
    """Guards against a group that gets more or fewer requests than its share."""
    split = (
        routes.WeightedGroup("x", 3),
        routes.WeightedGroup("none", 0),
        routes.WeightedGroup("y", 1),
    )
    weighted_route = route("r", "/a/", split=split)
    generator = random.Random(3)
    counts = collections.Counter(
        weighted_route.pick_group(generator.random()) for _ in range(4000)
    )
    assert counts["none"] == 0
    assert counts["x"] / 4000 == pytest.approx(0.75, abs=0.03)
    assert weighted_route.pick_group(0.9999999999999999) == "y"
