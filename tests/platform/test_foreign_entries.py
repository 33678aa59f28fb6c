"""Entries of other writers that cannot be read, with real front processes."""

import itertools
import json
import pathlib

import pytest

from tests import rig
from tests.platform import site

ENTRY = {
    "service": "s0",
    "address": "127.0.0.1:1",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 1,
}
NESTED = b"[" * 3000 + b"]" * 3000
LARGE = int("9" * 400)


def _entry(**changes: object) -> bytes:
    return json.dumps(ENTRY | changes).encode()


UNREADABLE = {
    "nested": NESTED,
    "nested-field": _entry()[:-1] + b', "version": ' + NESTED + b"}",
    "cut-character": _entry()[:-1] + b', "version": "spare \\ud83d"}',
    "no-utf-8": _entry()[:-1] + b', "version": "\xff"}',
    "large-slots": _entry(slots=LARGE),
    "large-float": _entry()[:-1] + b', "cold_remaining_ms": 1e400}',
    "large-born": _entry(born=LARGE),
    "port-out-of-range": _entry(address="127.0.0.1:99999"),
    "negative-port": _entry(address="127.0.0.1:-1"),
    "host-name": _entry(address="not.an.address:80"),
    "text": b'"draining"',
    "null": b"null",
}
LOOKUP = site.route("lookup", service="s0")


@pytest.fixture
def deployment(processes: rig.Rig, tmp_path: pathlib.Path) -> site.Site:
    """Start a store with two targets of one group, and a route to it."""
    deployment = site.Site(processes, tmp_path)
    for name in ("s0-a", "s0-b"):
        deployment.add_target(name, "s0")
    deployment.configure(1, [LOOKUP])
    return deployment


def served_by(deployment: site.Site, front: site.Front, count: int) -> list[str]:
    """Send lookups; return the targets that ran them."""
    before = {name: len(deployment.runs(name)) for name in deployment.targets}
    for number in range(count):
        assert front.request("/lookup/x", f"r{number}").status == 200
    return [name for name, runs in before.items() if len(deployment.runs(name)) > runs]


@pytest.mark.parametrize("kind", ["servers", "config", "jackdawpass-instances"])
def test_unreadable_objects_hide_no_others(deployment: site.Site, kind: str) -> None:
    """Guards against one odd entry that stops instances from following the store."""
    front = deployment.add_front()
    for name, content in UNREADABLE.items():
        deployment.put_bytes(kind, name, content)
    # A change after the odd entries is seen in a watch, ...
    deployment.list_target("s0-a", state="draining")
    rig.wait_for(
        lambda: served_by(deployment, front, 10) == ["s0-b"], "s0-a gets no requests"
    )
    deployment.configure(2, [LOOKUP, site.route("added", service="s0")])
    rig.wait_for(
        lambda: front.request("/added/x").status == 200, "the new route is served"
    )
    # ... and the list that a process reads at its start names the others too.
    started = deployment.add_front("front-2")
    assert served_by(deployment, started, 10) == ["s0-b"]


def test_entry_that_becomes_unreadable_names_no_target(deployment: site.Site) -> None:
    """Guards against using what an entry said before another writer replaced it."""
    front = deployment.add_front()
    for content in itertools.islice(UNREADABLE.values(), 3):
        deployment.put_bytes("servers", "s0-a", content)
        rig.wait_for(
            lambda: served_by(deployment, front, 10) == ["s0-b"],
            "s0-a gets no requests",
        )
        deployment.list_target("s0-a")
        rig.wait_for(
            lambda: len(served_by(deployment, front, 10)) == 2,
            "s0-a gets requests again",
        )
