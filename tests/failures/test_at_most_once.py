"""Tests that a non-idempotent request runs at most once."""

import concurrent.futures
import pathlib
import signal
import time
import typing

import pytest

from tests import rig

PLACEMENT = {"book-a": [0, 1], "book-b": [0, 1]}
DELAY_MS = 300
# Longer than a busy machine takes to send some requests, or to kill a process.
LONG_DELAY_MS = 2000
LONG_TIMEOUT_MS = 8000


class Cluster:
    """Two entry instances and two targets."""

    def __init__(self, processes: rig.Rig, tmp_path: pathlib.Path) -> None:
        self.processes = processes
        for name in PLACEMENT:
            processes.add_target(name, snapshots={"s1": PLACEMENT[name]})
        targets = processes.target_settings({"book-a": "a", "book-b": "a"})
        processes.commit(rig.service_parts("book", targets, PLACEMENT, shards=2))
        self.entries = [
            processes.add_entry(tmp_path, instance=f"entry-{number}")
            for number in range(2)
        ]

    def delay_targets(self, delay_ms: int = DELAY_MS, **faults: typing.Any) -> None:
        for target in self.processes.targets.values():
            self.processes.faults(target, delay_ms=delay_ms, **faults)

    def send(self, entry: int, key: str | None, **fields: typing.Any) -> rig.HttpAnswer:
        document = {"query": "reserve", "idempotent": False, "shard_key": "lot-7"}
        headers = {} if key is None else {"Idempotency-Key": key}
        url = self.entries[entry].url + "/v1/services/book/query"
        return rig.call("POST", url, document | fields, headers)

    def total_runs(self) -> int:
        totals = [self.processes.totals(name) for name in PLACEMENT]
        return sum(each.get("run", 0) for each in totals)

    def total_received(self) -> int:
        totals = [self.processes.totals(name) for name in PLACEMENT]
        return sum(each.get("received", 0) for each in totals)


@pytest.fixture
def cluster(processes: rig.Rig, tmp_path: pathlib.Path) -> Cluster:
    return Cluster(processes, tmp_path)


def test_repeat_on_another_instance_gets_the_same_answer(cluster: Cluster) -> None:
    """Guards against a second run when the load balancer repeats a request."""
    first = cluster.send(0, "k1")
    second = cluster.send(1, "k1")
    assert (first.status, second.status) == (200, 200)
    # Only the elapsed time differs from the recorded answer.
    ignored = {"elapsed_ms": 0}
    assert second.document | ignored == first.document | ignored
    assert second.headers["Idempotency-Replayed"] == "true"
    assert cluster.total_runs() == 1


def test_racing_repeats_run_once(cluster: Cluster) -> None:
    """Guards against two instances that hold the claim of one key at the same time."""
    cluster.delay_targets(LONG_DELAY_MS)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(cluster.send, n % 2, "k1", timeout_ms=LONG_TIMEOUT_MS)
            for n in range(8)
        ]
        statuses = sorted(each.result().status for each in sent)
    assert cluster.total_runs() == 1
    assert statuses == [200] + [409] * 7


def test_killed_instance_leaves_the_outcome_unknown(cluster: Cluster) -> None:
    """Guards against a second run after the first instance was killed."""
    cluster.delay_targets(LONG_DELAY_MS)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(cluster.send, 0, "k1", timeout_ms=LONG_TIMEOUT_MS)
        rig.wait_for(lambda: cluster.total_runs() == 1, "the request runs")
        cluster.entries[0].signal(signal.SIGKILL)
        with pytest.raises(OSError):
            first.result()
    second = cluster.send(1, "k1")
    assert (second.status, second.document["outcome"]) == (409, "unknown")
    assert cluster.total_runs() == 1


def test_paused_instance_runs_nothing_twice(cluster: Cluster) -> None:
    """Guards against a paused instance that resumes and runs a request again."""
    for _ in range(3):
        cluster.send(0, None)
    before = cluster.total_runs()
    cluster.entries[0].signal(signal.SIGSTOP)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        paused = pool.submit(cluster.send, 0, "k1", timeout_ms=200)
        time.sleep(0.3)
        other = cluster.send(1, "k1", timeout_ms=3000)
        cluster.entries[0].signal(signal.SIGCONT)
        resumed = paused.result()
    assert other.status == 200
    assert resumed.status in (200, 409, 503)
    assert cluster.total_runs() == before + 1


@pytest.mark.parametrize("fault", ["lose_write_replies", "drop_writes"])
def test_lost_claim_replies(cluster: Cluster, fault: str) -> None:
    """Guards against a run without a claim and against a key that stays blocked."""
    cluster.processes.faults(cluster.processes.platform, **{fault: 1})
    assert cluster.send(0, "k1").status == 200
    assert cluster.send(1, "k1").status == 200
    assert cluster.total_runs() == 1


def test_repeat_while_the_platform_is_down_is_not_reported_as_not_run(
    cluster: Cluster,
) -> None:
    """Guards against `not_run` for a caller whose first answer was lost."""
    assert cluster.send(0, "k1").status == 200
    cluster.processes.faults(cluster.processes.platform, down=True)
    for entry in (0, 1):
        repeated = cluster.send(entry, "k1")
        assert (repeated.status, repeated.document["outcome"]) == (503, "unknown")
    cluster.processes.faults(cluster.processes.platform)
    assert cluster.send(1, "k1").status == 200
    assert cluster.total_runs() == 1


def test_platform_down_refuses_without_a_run(cluster: Cluster) -> None:
    """Guards against running a request whose claim is not confirmed.

    The outcome is `unknown`, since an earlier request under the key may have run.
    """
    cluster.processes.faults(cluster.processes.platform, down=True)
    refused = cluster.send(0, "k1")
    assert (refused.status, refused.document["outcome"]) == (503, "unknown")
    assert cluster.total_received() == 0
    cluster.processes.faults(cluster.processes.platform)
    assert cluster.send(1, "k1").status == 200
    assert cluster.total_runs() == 1


@pytest.mark.parametrize("fault", ["reset", "stall"])
def test_uncertain_run_is_not_repeated(cluster: Cluster, fault: str) -> None:
    """Guards against a retry when the target may have run the request."""
    for target in cluster.processes.targets.values():
        cluster.processes.faults(target, **{fault: True})
    first = cluster.send(0, "k1", timeout_ms=500)
    assert first.document["outcome"] == "unknown"
    second = cluster.send(1, "k1", timeout_ms=500)
    assert (second.status, second.document["outcome"]) == (409, "unknown")
    assert cluster.total_runs() == 1


def test_not_run_may_be_repeated_under_the_same_key(cluster: Cluster) -> None:
    """Guards against a blocked key whose request did not run."""
    for target in cluster.processes.targets.values():
        cluster.processes.faults(target, shed=True)
    first = cluster.send(0, "k1")
    assert (first.status, first.document["outcome"]) == (503, "not_run")
    for target in cluster.processes.targets.values():
        cluster.processes.faults(target)
    assert cluster.send(1, "k1").status == 200
    assert cluster.total_runs() == 1


def test_key_of_another_request_is_refused(cluster: Cluster) -> None:
    """Guards against answering one request with the answer of another."""
    assert cluster.send(0, "k1").status == 200
    other = cluster.send(1, "k1", query="something else")
    assert (other.status, other.document["outcome"]) == (409, "not_run")
    assert cluster.total_runs() == 1


def test_without_a_key_each_request_runs_once(cluster: Cluster) -> None:
    """Guards against a retry by the instance when replies are lost."""
    for target in cluster.processes.targets.values():
        cluster.processes.faults(target, reset=True)
    outcomes = [cluster.send(0, None).document["outcome"] for _ in range(5)]
    assert outcomes == ["unknown"] * 5
    assert cluster.total_runs() == 5
