"""Tests that a draining or leaving target soon receives no new work."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

PLACEMENT = {"lots-a": [0, 1], "lots-b": [0, 1]}
MAX_DRAIN_DELAY_SECONDS = 3.0
OBSERVED_SECONDS = 7.0


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name in PLACEMENT:
        processes.add_target(name, snapshots={"s1": PLACEMENT[name]}, slots=8)
    targets = processes.target_settings({"lots-a": "a", "lots-b": "a"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=2))
    _publish_list(processes, "live")
    return processes.add_entry(tmp_path)


def _publish_list(processes: rig.Rig, state: str) -> None:
    """Publish the list of instances with a state for the target `lots-a`."""
    listed = [
        {
            "id": name,
            "role": "target",
            "zone": "a",
            "address": f"127.0.0.1:{processes.targets[name].port}",
            "state": state if name == "lots-a" else "live",
        }
        for name in PLACEMENT
    ]
    url = processes.platform.url + "/control/instances"
    rig.call("POST", url, {"instances": listed})


def _received_count(processes: rig.Rig) -> int:
    return processes.totals("lots-a").get("received", 0)


def _receives_work(processes: rig.Rig) -> bool:
    before = _received_count(processes)
    time.sleep(0.2)
    return _received_count(processes) > before


def test_draining_target_fails_no_query(processes: rig.Rig, entry: rig.Process) -> None:
    """Guards against failed queries and against work for a draining target."""
    callers = load.Callers(entry, "lots")
    rig.wait_for(lambda: _receives_work(processes), "the target receives work")
    processes.faults(processes.targets["lots-a"], draining=True)
    time.sleep(MAX_DRAIN_DELAY_SECONDS)
    before = _received_count(processes)
    time.sleep(OBSERVED_SECONDS)
    assert _received_count(processes) == before
    processes.faults(processes.targets["lots-a"])
    rig.wait_for(lambda: _receives_work(processes), "the target receives work again")
    answers = callers.stop()
    assert load.check_all(answers) == len(answers)
    assert all(answer.document["complete"] for _, answer in answers)


def test_target_listed_as_leaving_gets_no_work(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against work for a leaving target whose health check reports ready."""
    callers = load.Callers(entry, "lots")
    rig.wait_for(lambda: _receives_work(processes), "the target receives work")
    _publish_list(processes, "leaving")
    time.sleep(MAX_DRAIN_DELAY_SECONDS)
    before = _received_count(processes)
    time.sleep(OBSERVED_SECONDS)
    assert _received_count(processes) == before
    _publish_list(processes, "live")
    rig.wait_for(lambda: _receives_work(processes), "the target receives work again")
    answers = callers.stop()
    assert load.check_all(answers) == len(answers)
