"""Shards of another zone, asked for through an instance there, on real processes."""

import collections.abc
import json
import pathlib
import signal
import time

import pytest

from jackdawpass.process.serving import instance_registry
from tests import rig
from tests.platform import site

GROUPS = ("s0", "s1", "s2", "s3")
ROUTES = [site.route("search", fanout=list(GROUPS), top_k=5, min_shard_ratio=0.5)]


class Zones:
    """Fronts in zones a and b; shard s0 has a target in a, all others have none."""

    def __init__(self, users: site.Site) -> None:
        self.users = users
        for group in GROUPS:
            users.add_target(f"{group}-c", group, "c")
            users.add_target(f"{group}-b", group, "a" if group == "s0" else "b")
        users.configure(1, ROUTES)
        self.near = users.start_front("front-a", "a")
        self.far = users.start_front("front-b", "b")
        for front in (self.near, self.far):
            rig.wait_for(front.ready, "a front is ready")
        rig.wait_for(
            lambda: self.subqueries > 0, "a request goes through the other zone"
        )

    @property
    def subqueries(self) -> int:
        """Parts that the far front served; asks the near one first."""
        assert self.near.ask("/search/x", "warm").status == 200
        lines = [x for x in self.far.process.lines if '"request_finished"' in x]
        return sum(bool(json.loads(line).get("subquery")) for line in lines)


@pytest.fixture
def zones(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> collections.abc.Iterator[Zones]:
    """Give two fronts that know each other."""
    yield Zones(site.Site(processes, tmp_path))


def _answers(front: site.Front, count: int = 20) -> list[tuple[int, str, int]]:
    replies = [front.ask("/search/x", f"q-{n}", 1500) for n in range(count)]
    return [
        (reply.status, reply.headers["x-parts-missing"], len(set(reply.signatures)))
        for reply in replies
    ]


WHOLE = (200, "0", len(GROUPS))


def test_answer_through_an_instance_equals_the_direct_one(zones: Zones) -> None:
    """Guards against records or signatures lost, doubled or mixed on the way."""
    through = zones.near.ask("/search/x", "one")
    direct = zones.far.ask("/search/x", "one")
    assert through.body == direct.body
    assert through.headers["x-parts-missing"] == "0"
    groups = sorted(each.split(":")[0] for each in through.signatures)
    assert groups == sorted(GROUPS)
    assert not [name for name in through.headers if name.startswith("jackdawpass")]


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM])
def test_lost_instance_is_done_without(zones: Zones, how: signal.Signals) -> None:
    """Guards against shards that are lost with the instance asked for them."""
    zones.far.process.signal(how)
    assert _answers(zones.near) == [WHOLE] * 20
    if how is signal.SIGSTOP:
        zones.far.process.signal(signal.SIGCONT)


def test_absent_instance_is_left_alone(zones: Zones) -> None:
    """Guards against asking an address at which nobody listens again and again."""
    absent = {"zone": "b", "host": "127.0.0.1", "port": 9, "capacity": 1.0}
    zones.users.put(instance_registry.KIND, "absent", absent)
    zones.near.process.signal(signal.SIGKILL)
    again = zones.users.add_front("front-a2", "a")
    assert _answers(again) == [WHOLE] * 20


def test_change_of_version_mixes_nothing(zones: Zones) -> None:
    """Guards against shards of two versions in one answer."""
    for version in range(2, 8):
        shards = list(GROUPS) if version % 2 else list(GROUPS[1:])
        changed = site.route("search", fanout=shards, top_k=5, min_shard_ratio=0.5)
        zones.users.configure(version, [changed])
        until = time.monotonic() + 0.4
        while time.monotonic() < until:
            reply = zones.near.ask("/search/x", f"v{version}", 1500)
            assert reply.status == 200
            groups = {each.split(":")[0] for each in reply.signatures}
            assert reply.headers["x-parts-missing"] == "0"
            assert groups in (set(GROUPS), set(GROUPS[1:]))
