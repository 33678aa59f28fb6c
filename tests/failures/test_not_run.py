"""Tests that a request refused as `not_run` did not run."""

import pathlib
import time

import pytest

from tests import rig
from tests.failures import load

PLACEMENT = {"lots-a": [0, 1], "lots-b": [0, 1]}
# Faults that refuse queries while all targets have them.
REFUSING = ("shed", "draining", "cold")


@pytest.fixture
def entry(processes: rig.Rig, tmp_path: pathlib.Path) -> rig.Process:
    for name in PLACEMENT:
        held = {"s1": PLACEMENT[name]}
        processes.add_target(name, snapshots=held, service_ms=5)
    targets = processes.target_settings({"lots-a": "a", "lots-b": "a"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=2))
    return processes.add_entry(tmp_path)


def _run_ids(processes: rig.Rig) -> set[str]:
    """Return the ids of all requests that any target ran."""
    urls = [target.url + "/control/runs" for target in processes.targets.values()]
    return {run for url in urls for run in rig.call("GET", url).document}


@pytest.mark.parametrize("kind", ["shed", "draining", "cold", "reset", "stall"])
def test_refused_requests_ran_nowhere(
    processes: rig.Rig, entry: rig.Process, kind: str
) -> None:
    """Guards against `not_run` for a request that a target ran."""
    callers = load.Callers(entry, "lots", count=6)
    time.sleep(0.1)
    for target in processes.targets.values():
        processes.faults(target, **{kind: True})
    time.sleep(0.3)
    if kind in REFUSING:
        # On a busy machine, queries may wait for longer than that before they end.
        rig.wait_for(lambda: callers.refusals > 0, "a query is refused")
    for target in processes.targets.values():
        processes.faults(target)
    time.sleep(0.2)
    answers = [answer.document for _, answer in callers.stop()]
    refused = {
        each["request_id"] for each in answers if each.get("outcome") == "not_run"
    }
    assert not refused & _run_ids(processes)
    if kind in REFUSING:
        assert refused, "nothing was refused, so the test shows nothing"


def test_killed_targets_refuse_as_not_run(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against `incomplete` for a query that was not sent to any target."""
    for target in processes.targets.values():
        target.stop()
    # The first query may use a pooled connection that the target has closed.
    load.query(entry, "lots", "first")
    answer = load.query(entry, "lots", "second")
    assert answer.status == 503
    assert answer.document["outcome"] == "not_run"
    assert "Retry-After" in answer.headers


def test_overload_refuses_whole_queries_early(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against queries that lose single sub-requests to full queues."""
    for target in processes.targets.values():
        processes.faults(target, delay_ms=100)
    for _ in range(10):
        load.query(entry, "lots", "warm")
    callers = load.Callers(entry, "lots", count=40)
    time.sleep(3.0)
    answers = [answer for _, answer in callers.stop()]
    refused = [each for each in answers if each.document.get("kind") == "overloaded"]
    assert refused, "nothing was refused, so the test shows nothing"
    assert all(each.document["outcome"] == "not_run" for each in refused)
    assert all("Retry-After" in each.headers for each in refused)
    assert not {each.document["request_id"] for each in refused} & _run_ids(processes)


def test_disconnected_caller_cancels_its_work(
    processes: rig.Rig, entry: rig.Process
) -> None:
    """Guards against targets that continue work after the caller disconnected."""
    for target in processes.targets.values():
        processes.faults(target, delay_ms=5000)
    url = entry.url + "/v1/services/lots/query"
    with pytest.raises(TimeoutError):
        rig.call("POST", url, {"query": 1, "timeout_ms": 5000}, timeout=0.3)
    rig.wait_for(
        lambda: sum(processes.totals(t).get("cancelled", 0) for t in PLACEMENT) > 0,
        "a target receives the cancellation",
    )
