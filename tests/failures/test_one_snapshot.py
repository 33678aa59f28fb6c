"""Every answer is drawn from one snapshot."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

TARGETS = {"lots-a": "a", "lots-b": "b"}
FIRST = {"lots-a": [0, 1, 2, 3], "lots-b": [2, 3, 4, 5]}
# The second snapshot has fewer shards, placed otherwise.
SECOND = {"lots-a": [2, 3], "lots-b": [0, 1]}


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name, zone in TARGETS.items():
        held = {"s1": FIRST[name]}
        processes.add_target(name, zone=zone, snapshots=held, service_ms=3, slots=8)
    processes.commit(_parts(processes, "s1"))
    return processes.add_entry(tmp_path)


def _parts(processes: rig.Rig, snapshot: str) -> dict[str, bytes]:
    targets = processes.target_settings(TARGETS)
    placement, shards = (FIRST, 6) if snapshot == "s1" else (SECOND, 4)
    return rig.service_parts("lots", targets, placement, shards, snapshot)


def _hold(processes: rig.Rig, *snapshots: str) -> None:
    for name in TARGETS:
        placed = {"s1": FIRST[name], "s2": SECOND[name]}
        held = {snapshot: placed[snapshot] for snapshot in snapshots}
        url = processes.targets[name].url + "/control/snapshots"
        rig.call("POST", url, {"snapshots": held})


def test_publishing_and_withdrawing_mix_no_snapshots(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against mixed answers while a repartitioned snapshot is published."""
    callers = load.Callers(entry, "lots")
    time.sleep(0.2)
    _hold(processes, "s1", "s2")
    processes.commit(_parts(processes, "s2"), version=2)
    time.sleep(0.5)
    _hold(processes, "s2")
    time.sleep(0.3)
    answers = callers.stop()
    assert load.check_all(answers) == len(answers)
    snapshots = [answer.document["snapshot"] for _, answer in answers]
    assert set(snapshots) == {"s1", "s2"}


def test_early_withdrawal_starts_over_or_says_so(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against mixing when the pinned snapshot is gone before the new one."""
    callers = load.Callers(entry, "lots")
    time.sleep(0.2)
    _hold(processes, "s2")
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
    """Guards against trusting a reply that names another snapshot."""
    processes.faults(processes.targets["lots-a"], snapshot="s0")
    answer = load.query(entry, "lots", "offers")
    load.check_answer("offers", answer)
    missing = answer.document["coverage"]["missing"]
    assert [entry["shard"] for entry in missing] == [0, 1]
    assert {entry["reason"] for entry in missing} == {"snapshot_gone"}
