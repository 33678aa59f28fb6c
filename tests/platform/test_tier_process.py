"""Tests of the aggregators of a zone on real processes: killed, frozen, stopped.

Next to four real fronts, the store lists absent ones, since only a large zone has
aggregators.
"""

import collections.abc
import concurrent.futures
import json
import pathlib
import signal
import time

import pytest

from jackdawpass.process.serving import aggregators, instance_registry
from tests import rig
from tests.platform import load, site

ROUTES = [
    site.route("lookup", service="s0"),
    site.route("reserve", service="s0", type="non_idempotent"),
    site.route("search", fanout=["s0", "s1"], top_k=3, min_shard_ratio=0.5),
    site.route("report", service="s0", type="non_idempotent", timeout_ms=5000),
]

# Time after which a version is in force.
APPLY_SECONDS = 3.0


class Zone:
    """Four fronts of one zone, two of which are aggregators."""

    def __init__(self, deployment: site.Site) -> None:
        self.deployment = deployment
        for number in range(aggregators.MIN_ZONE_INSTANCES - 4):
            absent = {"zone": "a", "host": "127.0.0.1", "port": 9, "capacity": 0.01}
            deployment.put(instance_registry.KIND, f"absent-{number}", absent)
        self.fronts = [deployment.start_front(f"front-{number}") for number in range(4)]
        for front in self.fronts:
            rig.wait_for(front.ready, "a front is ready")
        rig.wait_for(lambda: len(self.aggregators) == 2, "two aggregators")

    @property
    def aggregators(self) -> list[site.Front]:
        return [front for front in self.fronts if _asks_targets(front)]

    @property
    def forwarders(self) -> list[site.Front]:
        return [front for front in self.fronts if not _asks_targets(front)]


def _asks_targets(front: site.Front) -> bool:
    log_lines = [line for line in front.process.lines if '"part_chosen"' in line]
    return bool(log_lines) and bool(json.loads(log_lines[-1])["asks_targets"])


def _ready_links(front: site.Front) -> int:
    changes = [line for line in front.process.lines if '"aggregator_changed"' in line]
    return sum('"state":"ready"' in line for line in changes)


@pytest.fixture
def zone(processes: rig.Rig, tmp_path: pathlib.Path) -> collections.abc.Iterator[Zone]:
    """Start four fronts, two targets of each of two groups, and three routes."""
    deployment = site.Site(processes, tmp_path)
    for group in ("s0", "s1"):
        deployment.add_target(f"{group}-a", group)
        deployment.add_target(f"{group}-b", group)
    deployment.configure(1, ROUTES)
    yield Zone(deployment)


def _statuses(front: site.Front, path: str, count: int = 10) -> list[int]:
    return [
        front.request(path, f"{path}-{number}", 1000).status for number in range(count)
    ]


def test_requests_reach_targets_through_aggregators(zone: Zone) -> None:
    """Guards against requests or answers that are changed when forwarded."""
    forwarder = zone.forwarders[0]
    reply = forwarder.request("/search/x")
    assert reply.status == 200 and reply.headers["x-parts-missing"] == "0"
    assert not [name for name in reply.headers if name.startswith("jackdawpass")]
    assert forwarder.request("/nowhere/x").status == 404
    assert forwarder.request("/reserve/x", "p", 900, "POST", b"data").status == 200
    runs = zone.deployment.runs("s0-a") + zone.deployment.runs("s0-b")
    assert [r["body"] for r in runs if r["request_id"] == "p"] == ["data"]


def test_requests_survive_killed_aggregators(zone: Zone) -> None:
    """Guards against a zone that fails together with its aggregators."""
    forwarder = zone.forwarders[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGKILL)
        time.sleep(0.1)
        assert _statuses(forwarder, "/lookup/x") == [200] * 10
    assert forwarder.ready()


def test_raised_limit_is_in_force_at_instances_that_forward(zone: Zone) -> None:
    """Guards against proper requests that are refused by a default limit."""
    forwarder = zone.forwarders[0]
    rig.wait_for(lambda: _ready_links(forwarder) >= 2, "both aggregators are ready")
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 500_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    for version, max_body, is_allowed in ((2, 500_000, True), (3, 100_000, False)):
        zone.deployment.configure(
            version, ROUTES, limits | {"max_body_bytes": max_body}
        )
        time.sleep(APPLY_SECONDS)
        for number in range(4):
            request_id = f"v{version}-{number}"
            reply = forwarder.request(
                "/lookup/x", request_id, 2000, "POST", bytes(400_000)
            )
            assert reply.status == (200 if is_allowed else 413)


def test_announcement_passed_on_by_an_aggregator_is_remembered(zone: Zone) -> None:
    """Guards against direct requests to a target that an aggregator knows to leave."""
    forwarder, deployment = zone.forwarders[0], zone.deployment
    rig.wait_for(lambda: _ready_links(forwarder) >= 2, "both aggregators are ready")
    deployment.inject_faults(deployment.targets["s0-a"], leaving=True)
    rig.wait_for(
        lambda: (
            _statuses(forwarder, "/lookup/x", 1) == [200]
            and any('"target_leaves"' in line for line in forwarder.process.lines)
        ),
        "the announcement reaches the forwarding front",
    )
    for front in zone.aggregators:
        front.process.signal(signal.SIGKILL)
    rig.wait_for(
        lambda: _statuses(forwarder, "/lookup/x", 1) == [200],
        "the front queries targets itself",
    )
    runs = len(deployment.runs("s0-a"))
    assert _statuses(forwarder, "/lookup/x", 20) == [200] * 20
    assert len(deployment.runs("s0-a")) == runs


def test_requests_survive_frozen_aggregators(zone: Zone) -> None:
    """Guards against requests that wait for a frozen instance."""
    forwarder = zone.forwarders[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGSTOP)
    time.sleep(1.2)
    assert _statuses(forwarder, "/lookup/x") == [200] * 10
    for front in zone.aggregators:
        front.process.signal(signal.SIGCONT)


def test_request_lost_with_its_aggregator_runs_at_most_once(zone: Zone) -> None:
    """Guards against forwarding a request again that may have run."""
    for name in ("s0-a", "s0-b"):
        zone.deployment.inject_faults(zone.deployment.targets[name], slow_ms=800)
    forwarder = zone.forwarders[0]
    for front in zone.aggregators:
        front.process.signal(signal.SIGSTOP)
    reply = forwarder.request("/reserve/x", "lost", 900, "POST", b"data")
    assert reply.status in (200, 502, 504)
    for front in zone.aggregators:
        front.process.signal(signal.SIGCONT)
    time.sleep(0.5)
    runs = zone.deployment.runs("s0-a") + zone.deployment.runs("s0-b")
    assert [r["request_id"] for r in runs].count("lost") <= 1


def _freeze_and_wake(zone: Zone, seconds: float) -> None:
    """Freeze the aggregator that has a request, and wake it later."""
    for front in zone.aggregators:
        front.process.signal(signal.SIGSTOP)
    time.sleep(seconds)
    for front in zone.aggregators:
        front.process.signal(signal.SIGCONT)


def test_request_at_a_paused_aggregator_is_answered_once(zone: Zone) -> None:
    """Guards against giving up running work because its instance was silent."""
    for name in ("s0-a", "s0-b"):
        zone.deployment.inject_faults(zone.deployment.targets[name], slow_ms=300)
    forwarder = zone.forwarders[0]
    rig.wait_for(lambda: _ready_links(forwarder) == 2, "links to both aggregators")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        replies = [
            pool.submit(forwarder.request, "/report/x", f"p{n}", 5000, "POST", b"data")
            for n in range(4)
        ]
        time.sleep(0.15)
        _freeze_and_wake(zone, 1.5)
        assert [reply.result().status for reply in replies] == [200] * 4
    runs = zone.deployment.runs("s0-a") + zone.deployment.runs("s0-b")
    assert sorted(r["request_id"] for r in runs) == ["p0", "p1", "p2", "p3"]


def test_search_at_a_killed_aggregator_is_answered(zone: Zone) -> None:
    """Guards against a failed search that another aggregator could answer."""
    for target in zone.deployment.targets.values():
        zone.deployment.inject_faults(target, slow_ms=300)
    forwarder = zone.forwarders[0]
    rig.wait_for(lambda: _ready_links(forwarder) == 2, "links to both aggregators")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        replies = [
            pool.submit(forwarder.request, "/search/x", f"k{n}", 2000) for n in range(4)
        ]
        time.sleep(0.1)
        zone.aggregators[0].process.signal(signal.SIGKILL)
        assert [reply.result().status for reply in replies] == [200] * 4


def test_nothing_runs_twice_while_aggregators_take_over(zone: Zone) -> None:
    """Guards against two instances that both act on a request around a hand-over."""
    for name in ("s0-a", "s0-b"):
        zone.deployment.inject_faults(zone.deployment.targets[name], slow_ms=40)
    forwarder = zone.forwarders[0]
    first, second = zone.aggregators
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = []
        for number in range(90):
            name = f"o{number}"
            replies.append(
                pool.submit(
                    forwarder.request, "/report/x", name, 5000, "POST", b"order"
                )
            )
            if number == 15:
                first.process.signal(signal.SIGSTOP)
            elif number == 45:
                first.process.signal(signal.SIGCONT)
                second.process.signal(signal.SIGTERM)
            elif number == 75:
                first.process.signal(signal.SIGKILL)
            time.sleep(0.03)
        statuses = {
            f"o{number}": reply.result().status for number, reply in enumerate(replies)
        }
    runs = zone.deployment.runs("s0-a") + zone.deployment.runs("s0-b")
    names = [run["request_id"] for run in runs]
    assert len(names) == len(set(names))
    ran = {name for name, status in statuses.items() if status == 200}
    not_run = {name for name, status in statuses.items() if status == 503}
    assert ran <= set(names) and not not_run & set(names)
    assert len(ran) >= 80


def test_started_forwarder_does_not_list_the_targets(zone: Zone) -> None:
    """Guards against calls to the store by all instances that start together.

    An instance that has just learned its part has no answer of an aggregator yet.
    """
    name = "front-9"
    started = zone.deployment.start_front(name)
    rig.wait_for(started.ready, "the front is ready")
    assert not _asks_targets(started), "the test needs an instance that forwards"
    time.sleep(0.3)
    assert not [line for line in started.process.lines if '"targets_followed"' in line]


def test_stopping_aggregator_loses_no_request(zone: Zone) -> None:
    """Guards against requests that are lost in a planned stop of an aggregator."""
    forwarder = zone.forwarders[0]
    stopping = zone.aggregators[0]
    stopping.process.signal(signal.SIGTERM)
    statuses = []
    for number in range(30):
        statuses.append(forwarder.request("/lookup/x", f"r{number}", 1000).status)
        time.sleep(0.1)
    assert statuses == [200] * 30
    assert stopping.process.wait(6.0) == 0


def test_stopping_aggregators_finish_long_requests(zone: Zone) -> None:
    """Guards against an aggregator that exits while it serves forwarded requests."""
    for name in ("s0-a", "s0-b"):
        zone.deployment.inject_faults(zone.deployment.targets[name], slow_ms=3500)
    forwarder = zone.forwarders[0]
    rig.wait_for(lambda: _ready_links(forwarder) == 2, "links to both aggregators")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        replies = [
            pool.submit(forwarder.request, "/report/x", f"r{n}", 5000, "POST", b"data")
            for n in range(4)
        ]
        time.sleep(0.3)
        for front in zone.aggregators:
            front.process.signal(signal.SIGTERM)
        assert [reply.result().status for reply in replies] == [200] * 4


def test_late_requests_at_a_stopping_forwarder_are_refused_unrun(zone: Zone) -> None:
    """Guards against work at an aggregator whose answer nobody is left to pass on."""
    for name in ("s0-c", "s0-d", "s0-e"):
        zone.deployment.add_target(name, "s0")
    for name in zone.deployment.targets:
        zone.deployment.inject_faults(zone.deployment.targets[name], slow_ms=2500)
    callers = load.Load(zone.forwarders[0], "/report/x")
    callers.run(seconds_before=4.0)
    callers.check(zone.deployment)


def test_answers_never_return_to_an_older_version(zone: Zone) -> None:
    """Guards against returning to an older version because aggregators differ."""
    forwarder = zone.forwarders[0]
    outdated, up_to_date = zone.aggregators
    outdated.process.signal(signal.SIGSTOP)
    time.sleep(0.1)
    zone.deployment.configure(2, [ROUTES[2]])
    rig.wait_for(lambda: forwarder.request("/lookup/x").status == 404, "version 2", 5.0)
    outdated.process.signal(signal.SIGCONT)
    assert _statuses(forwarder, "/lookup/x", 20) == [404] * 20
