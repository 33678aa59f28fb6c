"""Tests of subqueries to real processes in the zone that holds the shards."""

import collections.abc
import json
import pathlib
import signal
import time
import typing

import pytest

from jackdawpass.process.serving import instance_registry
from jackdawpass.standins import listed_target
from soak import proxy
from tests import rig
from tests.platform import site

RECORD_BYTES = listed_target.RECORD_BYTES
GROUPS = ("s0", "s1", "s2", "s3")
ROUTES = [site.route("search", fanout=list(GROUPS), top_k=5, min_shard_ratio=0.5)]


class Zones:
    """Fronts in zones a and b; of all shards, only s0 has a target in zone a."""

    def __init__(self, deployment: site.Site, store_link: proxy.Link) -> None:
        self.deployment = deployment
        self.remote_store_link = store_link
        for group in GROUPS:
            deployment.add_target(f"{group}-c", group, "c")
            deployment.add_target(f"{group}-b", group, "a" if group == "s0" else "b")
        deployment.configure(1, ROUTES)
        self.local_front = deployment.start_front("front-a", "a")
        self.remote_front = deployment.start_front("front-b", "b", store_link.port)
        for front in (self.local_front, self.remote_front):
            rig.wait_for(front.ready, "a front is ready")
        rig.wait_for(lambda: self.subqueries > 0, "a subquery reaches the other zone")

    @property
    def subqueries(self) -> int:
        """Subqueries that the remote front served, after a request to the local one."""
        assert self.local_front.request("/search/x", "warm").status == 200
        return len(self.served_subqueries())

    def served_subqueries(self) -> list[dict[str, typing.Any]]:
        """Return the log line of each subquery that the remote front served."""
        lines = [
            json.loads(line)
            for line in self.remote_front.process.lines
            if '"request_finished"' in line
        ]
        return [line for line in lines if line.get("subquery")]


@pytest.fixture
def zones(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> collections.abc.Iterator[Zones]:
    """Start two fronts that have discovered each other."""
    deployment = site.Site(processes, tmp_path)
    proxies = proxy.Proxies()
    yield Zones(deployment, proxies.add(deployment.store.port))
    proxies.close()


def _request_repeatedly(
    front: site.Front, count: int = 20
) -> list[tuple[int, str, int]]:
    replies = [
        front.request("/search/x", f"q-{number}", 1500) for number in range(count)
    ]
    return [
        (reply.status, reply.headers["x-parts-missing"], len(set(reply.signatures)))
        for reply in replies
    ]


COMPLETE = (200, "0", len(GROUPS))


def test_answer_through_a_peer_equals_the_direct_answer(zones: Zones) -> None:
    """Guards against records or signatures that a subquery loses or duplicates."""
    via_peer = zones.local_front.request("/search/x", "one")
    direct = zones.remote_front.request("/search/x", "one")
    assert via_peer.body == direct.body
    assert via_peer.headers["x-parts-missing"] == "0"
    groups = sorted(each.split(":")[0] for each in via_peer.signatures)
    assert groups == sorted(GROUPS)
    assert not [name for name in via_peer.headers if name.startswith("jackdawpass")]


@pytest.mark.parametrize(
    "signal_number", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM]
)
def test_requests_survive_a_lost_instance(
    zones: Zones, signal_number: signal.Signals
) -> None:
    """Guards against missing shards after the instance that queries them is lost."""
    zones.remote_front.process.signal(signal_number)
    assert _request_repeatedly(zones.local_front) == [COMPLETE] * 20
    if signal_number is signal.SIGSTOP:
        zones.remote_front.process.signal(signal.SIGCONT)


def test_unreachable_instance_is_avoided(zones: Zones) -> None:
    """Guards against repeated subqueries to an address where no process listens."""
    absent = {"zone": "b", "host": "127.0.0.1", "port": 9, "capacity": 1.0}
    zones.deployment.put(instance_registry.KIND, "absent", absent)
    zones.local_front.process.signal(signal.SIGKILL)
    again = zones.deployment.add_front("front-a2", "a")
    assert _request_repeatedly(again) == [COMPLETE] * 20


def test_versions_are_not_mixed_in_an_answer(zones: Zones) -> None:
    """Guards against shards of two versions in one answer."""
    for version in range(2, 8):
        shards = list(GROUPS) if version % 2 else list(GROUPS[1:])
        changed = site.route("search", fanout=shards, top_k=5, min_shard_ratio=0.5)
        zones.deployment.configure(version, [changed])
        until = time.monotonic() + 0.4
        while time.monotonic() < until:
            reply = zones.local_front.request("/search/x", f"v{version}", 1500)
            assert reply.status == 200
            groups = {each.split(":")[0] for each in reply.signatures}
            assert reply.headers["x-parts-missing"] == "0"
            assert groups in (set(GROUPS), set(GROUPS[1:]))


def test_older_version_of_a_peer_merges_no_shards(zones: Zones) -> None:
    """Guards against records that a peer drops by the limit of an older route."""
    zones.remote_store_link.mode = proxy.Mode.SILENT
    changed = site.route("sweep", fanout=list(GROUPS), top_k=12, min_shard_ratio=0.5)
    nested = changed | {"path_prefix": "/search/sweep/"}
    zones.deployment.configure(2, [*ROUTES, nested])
    path = "/search/sweep/x"
    rig.wait_for(
        lambda: len(zones.local_front.request(path).body) > 5 * RECORD_BYTES,
        "version 2 is in force at the local front",
    )
    for number in range(20):
        reply = zones.local_front.request(path, f"q-{number}")
        assert reply.status == 200 and reply.headers["x-parts-missing"] == "0"
        served = zones.served_subqueries()[-1]
        assert len(reply.body) == 12 * RECORD_BYTES, served
