"""Tests that a caller receives only the answer to its own request."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

PLACEMENT = {"lots-a": [0, 1, 2], "lots-b": [0, 1, 2]}


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name in PLACEMENT:
        held = {"s1": PLACEMENT[name]}
        processes.add_target(name, snapshots=held, slots=8, service_ms=2, spread=1.0)
    targets = processes.target_settings({"lots-a": "a", "lots-b": "a"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=3))
    return processes.add_entry(tmp_path)


@pytest.mark.parametrize(
    "faults",
    [
        {"cross": True},
        {"repeat": True},
        {"reset": True},
        {"straggle_share": 0.3, "straggle_ms": 100},
    ],
    ids=["crossed", "repeated", "reset", "late"],
)
def test_faulty_replies_reach_no_other_request(
    processes: rig.Rig, entry: rig.Process, faults: dict[str, object]
) -> None:
    """Guards against a late, crossed or repeated reply that answers another request."""
    for target in processes.targets.values():
        processes.faults(target, **faults)
    callers = load.Callers(entry, "lots", count=8)
    time.sleep(0.8)
    for target in processes.targets.values():
        processes.faults(target)
    time.sleep(0.3)
    answers = callers.stop()
    assert load.check_all(answers) > 0
    for _, answer in answers:
        if answer.status != 200:
            assert answer.document["outcome"] in ("incomplete", "not_run")
    for _ in range(20):
        load.check_answer("after", load.query(entry, "lots", "after"))


def test_late_reply_answers_no_other_query(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against the reply to a timed-out query that answers the next one."""
    for target in processes.targets.values():
        processes.faults(target, delay_ms=150)
    for number in range(5):
        load.query(entry, "lots", f"late-{number}", timeout_ms=50)
    for target in processes.targets.values():
        processes.faults(target)
    for number in range(20):
        text = f"after-{number}"
        answer = load.query(entry, "lots", text)
        assert answer.status == 200
        load.check_answer(text, answer)
