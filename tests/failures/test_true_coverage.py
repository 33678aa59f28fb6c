"""Tests that answers report their coverage correctly and repeat no result."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

ZONES = {"lots-a": "a", "lots-b": "b", "lots-c": "c"}
PLACEMENT = {"lots-a": [0, 1, 2, 3], "lots-b": [2, 3, 4, 5], "lots-c": [4, 5, 0]}


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name, zone in ZONES.items():
        held = {"s1": PLACEMENT[name]}
        processes.add_target(name, zone=zone, snapshots=held, slots=8)
    targets = processes.target_settings(ZONES)
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=6))
    return processes.add_entry(tmp_path)


def test_duplicate_results_of_a_target_are_removed(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against duplicate results in a target's reply."""
    for target in processes.targets.values():
        processes.faults(target, repeat_results=True)
    answer = load.query(entry, "lots", "offers")
    load.check_answer("offers", answer)
    assert answer.document["complete"]


def test_killed_target_under_load(processes: rig.Rig, entry: rig.Process) -> None:
    """Guards against wrong coverage while a replica is lost."""
    callers = load.Callers(entry, "lots")
    time.sleep(0.3)
    processes.targets["lots-a"].stop()
    time.sleep(0.7)
    answers = callers.stop()
    assert load.check_all(answers) == len(answers)
    # Shard 1 is the only shard without another replica.
    last = answers[-1][1].document["coverage"]
    assert [entry["shard"] for entry in last["missing"]] == [1]


def test_stalled_target_gives_a_partial_answer_in_time(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against waiting for a stalled target beyond the deadline."""
    for target in processes.targets.values():
        processes.faults(target, stall=True)
    processes.faults(processes.targets["lots-c"])
    started = time.monotonic()
    answer = load.query(entry, "lots", "offers", timeout_ms=400)
    elapsed = time.monotonic() - started
    # The timeout of 0.4 s plus 1 s for a loaded machine.
    assert elapsed < 1.4
    assert answer.status in (200, 504)
    if answer.status == 200:
        load.check_answer("offers", answer)
    assert not answer.document.get("complete", False)


def test_too_low_coverage_is_incomplete(processes: rig.Rig, entry: rig.Process) -> None:
    """Guards against a partial answer that covers less than `min_coverage`."""
    processes.faults(processes.targets["lots-a"], reset=True)
    answer = load.query(entry, "lots", "offers", min_coverage=1.0)
    assert answer.status == 504
    assert answer.document["outcome"] == "incomplete"
    assert answer.document["coverage"]["covered"] < 6
