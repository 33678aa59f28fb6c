"""Tests that every answer comes from a single snapshot."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

TARGETS = {"lots-a": "a", "lots-b": "b"}
FIRST_PLACEMENT = {"lots-a": [0, 1, 2, 3], "lots-b": [2, 3, 4, 5]}
# The second snapshot has fewer shards and another placement.
SECOND_PLACEMENT = {"lots-a": [2, 3], "lots-b": [0, 1]}


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name, zone in TARGETS.items():
        held = {"s1": FIRST_PLACEMENT[name]}
        processes.add_target(name, zone=zone, snapshots=held, service_ms=3, slots=8)
    processes.commit(_parts(processes, "s1"))
    return processes.add_entry(tmp_path)


def _parts(processes: rig.Rig, snapshot: str) -> dict[str, bytes]:
    targets = processes.target_settings(TARGETS)
    placement, shards = (
        (FIRST_PLACEMENT, 6) if snapshot == "s1" else (SECOND_PLACEMENT, 4)
    )
    return rig.service_parts("lots", targets, placement, shards, snapshot)


def _set_snapshots(processes: rig.Rig, *snapshots: str) -> None:
    for name in TARGETS:
        placed = {"s1": FIRST_PLACEMENT[name], "s2": SECOND_PLACEMENT[name]}
        held = {snapshot: placed[snapshot] for snapshot in snapshots}
        url = processes.targets[name].url + "/control/snapshots"
        rig.call("POST", url, {"snapshots": held})


def test_publishing_and_withdrawing_mix_no_snapshots(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against mixed snapshots while a repartitioned one is published."""
    callers = load.Callers(entry, "lots")
    time.sleep(0.2)
    _set_snapshots(processes, "s1", "s2")
    processes.commit(_parts(processes, "s2"), version=2)
    time.sleep(0.5)
    _set_snapshots(processes, "s2")
    time.sleep(0.3)
    answers = callers.stop()
    assert load.check_all(answers) == len(answers)
    snapshots = [answer.document["snapshot"] for _, answer in answers]
    assert set(snapshots) == {"s1", "s2"}


def test_early_withdrawal_restarts_or_refuses_queries(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against mixing when the pinned snapshot is withdrawn too early."""
    callers = load.Callers(entry, "lots")
    time.sleep(0.2)
    _set_snapshots(processes, "s2")
    processes.commit(_parts(processes, "s2"), version=2)
    time.sleep(0.5)
    answers = callers.stop()
    assert load.check_all(answers) > 0
    refused = [answer for _, answer in answers if answer.status != 200]
    assert all(answer.document["outcome"] == "not_run" for answer in refused)
    assert answers[-1][1].document["snapshot"] == "s2"


def test_target_that_answers_another_snapshot_covers_nothing(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against counting a reply of another snapshot as coverage."""
    processes.faults(processes.targets["lots-a"], snapshot="s0")
    answer = load.query(entry, "lots", "offers")
    load.check_answer("offers", answer)
    missing = answer.document["coverage"]["missing"]
    assert [entry["shard"] for entry in missing] == [0, 1]
    assert {entry["reason"] for entry in missing} == {"snapshot_gone"}
