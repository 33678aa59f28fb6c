"""Aggregators of a zone on real processes: killed, frozen, stopped, late.

Four real fronts and entries of absent ones make a zone that is large enough.
"""

import collections.abc
import json
import pathlib
import signal
import time

import pytest

from jackdawpass.process.serving import aggregators, instance_registry
from tests import rig
from tests.platform import site

ROUTES = [
    site.route("lookup", service="s0"),
    site.route("reserve", service="s0", type="non_idempotent"),
    site.route("search", fanout=["s0", "s1"], top_k=3, min_shard_ratio=0.5),
]


class Zone:
    """Four fronts of one zone, two of which ask the targets."""

    def __init__(self, users: site.Site) -> None:
        self.users = users
        for number in range(aggregators.MIN_ZONE_INSTANCES - 4):
            absent = {"zone": "a", "host": "127.0.0.1", "port": 9, "capacity": 0.01}
            users.put(instance_registry.KIND, f"absent-{number}", absent)
        self.fronts = [users.start_front(f"front-{n}") for n in range(4)]
        for front in self.fronts:
            rig.wait_for(front.ready, "a front is ready")
        rig.wait_for(lambda: len(self.aggregators) == 2, "two aggregators")

    @property
    def aggregators(self) -> list[site.Front]:
        return [front for front in self.fronts if _asks_targets(front)]

    @property
    def others(self) -> list[site.Front]:
        return [front for front in self.fronts if not _asks_targets(front)]


def _asks_targets(front: site.Front) -> bool:
    parts = [line for line in front.process.lines if '"part_chosen"' in line]
    return bool(parts) and bool(json.loads(parts[-1])["asks_targets"])


@pytest.fixture
def zone(processes: rig.Rig, tmp_path: pathlib.Path) -> collections.abc.Iterator[Zone]:
    """Give four fronts, two targets of each of two groups, and three routes."""
    users = site.Site(processes, tmp_path)
    for group in ("s0", "s1"):
        users.add_target(f"{group}-a", group)
        users.add_target(f"{group}-b", group)
    users.configure(1, ROUTES)
    yield Zone(users)


def _statuses(front: site.Front, path: str, count: int = 10) -> list[int]:
    return [front.ask(path, f"{path}-{n}", 1000).status for n in range(count)]


def test_requests_reach_targets_through_aggregators(zone: Zone) -> None:
    """Guards against a hop that changes requests or answers."""
    other = zone.others[0]
    reply = other.ask("/search/x")
    assert reply.status == 200 and reply.headers["x-parts-missing"] == "0"
    assert not [name for name in reply.headers if name.startswith("jackdawpass")]
    assert other.ask("/nowhere/x").status == 404
    assert other.ask("/reserve/x", "p", 900, "POST", b"data").status == 200
    runs = zone.users.runs("s0-a") + zone.users.runs("s0-b")
    assert [r["body"] for r in runs if r["request_id"] == "p"] == ["data"]


def test_killed_aggregators_are_done_without(zone: Zone) -> None:
    """Guards against a zone that fails with those who ask for it."""
    other = zone.others[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGKILL)
        time.sleep(0.1)
        assert _statuses(other, "/lookup/x") == [200] * 10
    assert other.ready()


def test_frozen_aggregators_are_done_without(zone: Zone) -> None:
    """Guards against requests that wait for an instance that stands still."""
    other = zone.others[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGSTOP)
    time.sleep(1.2)
    assert _statuses(other, "/lookup/x") == [200] * 10
    for front in zone.aggregators:
        front.process.signal(signal.SIGCONT)


def test_request_lost_with_its_aggregator_runs_once(zone: Zone) -> None:
    """Guards against handing on what may have run."""
    for name in ("s0-a", "s0-b"):
        zone.users.faults(zone.users.targets[name], slow_ms=800)
    other = zone.others[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGSTOP)
    reply = other.ask("/reserve/x", "lost", 900, "POST", b"data")
    assert reply.status in (200, 502, 504)
    for front in zone.aggregators:
        front.process.signal(signal.SIGCONT)
    time.sleep(0.5)
    runs = zone.users.runs("s0-a") + zone.users.runs("s0-b")
    assert [r["request_id"] for r in runs].count("lost") <= 1


def test_stopping_aggregator_hands_over_in_peace(zone: Zone) -> None:
    """Guards against requests that a planned stop of an aggregator loses."""
    other = zone.others[0]
    stopping = zone.aggregators[0]
    stopping.process.signal(signal.SIGTERM)
    statuses = []
    for number in range(30):
        statuses.append(other.ask("/lookup/x", f"r{number}", 1000).status)
        time.sleep(0.1)
    assert statuses == [200] * 30
    assert stopping.process.wait(6.0) == 0


def test_no_answer_from_an_older_version_than_seen(zone: Zone) -> None:
    """Guards against a version that goes back because two aggregators differ."""
    other = zone.others[0]
    late, early = zone.aggregators
    late.process.signal(signal.SIGSTOP)
    time.sleep(0.1)
    zone.users.configure(2, [ROUTES[2]])
    rig.wait_for(lambda: other.ask("/lookup/x").status == 404, "version 2", 5.0)
    late.process.signal(signal.SIGCONT)
    assert _statuses(other, "/lookup/x", 20) == [404] * 20
