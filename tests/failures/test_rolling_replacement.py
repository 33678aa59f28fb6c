"""Tests that a graceful shutdown interrupts no request."""

import concurrent.futures
import itertools
import pathlib
import signal
import time

import pytest

from tests import rig
from tests.failures import load

PLACEMENT = {"lots-a": [0, 1], "lots-b": [2, 3]}
INSTANCES = 3
GRACE_SECONDS = 0.5


class Balancer:
    """Sends each query to a ready instance, as the platform's load balancer does."""

    def __init__(self, entries: list[rig.Process]) -> None:
        self.entries = entries
        self._turns = itertools.count()
        self._stopping = False

    def send_queries(self) -> list[tuple[str, rig.HttpAnswer]]:
        """Send queries until stopped; a closed connection raises an error."""
        answers = []
        while not self._stopping:
            ready = [each for each in list(self.entries) if self._is_ready(each)]
            turn = next(self._turns)
            text = f"query-{turn}"
            entry = ready[turn % len(ready)]
            answers.append((text, load.query(entry, "lots", text)))
        return answers

    def stop(self) -> None:
        self._stopping = True

    def _is_ready(self, entry: rig.Process) -> bool:
        try:
            return rig.call("GET", entry.url + "/readyz").status == 200
        except OSError:
            return False


@pytest.fixture
def balancer(processes: rig.Rig, tmp_path: pathlib.Path) -> Balancer:
    for name in PLACEMENT:
        held = {"s1": PLACEMENT[name]}
        processes.add_target(name, snapshots=held, slots=16, service_ms=30)
    targets = processes.target_settings({"lots-a": "a", "lots-b": "a"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=4))
    return Balancer([_start(processes, tmp_path, n) for n in range(INSTANCES)])


def _start(processes: rig.Rig, tmp_path: pathlib.Path, number: int) -> rig.Process:
    return processes.add_entry(
        tmp_path, instance=f"entry-{number}", drain_grace_seconds=GRACE_SECONDS
    )


def test_replacing_every_instance_interrupts_no_query(
    processes: rig.Rig, tmp_path: pathlib.Path, balancer: Balancer
) -> None:
    """Guards against queries lost during a rolling replacement under load."""
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        running = [pool.submit(balancer.send_queries) for _ in range(6)]
        time.sleep(0.3)
        for old in list(balancer.entries):
            new = _start(processes, tmp_path, INSTANCES + len(balancer.entries))
            balancer.entries.append(new)
            old.signal(signal.SIGTERM)
            assert old.wait() == 0
            balancer.entries.remove(old)
        balancer.stop()
        answers = [each for callers in running for each in callers.result()]
    assert load.check_all(answers) == len(answers)
    assert all(answer.document["complete"] for _, answer in answers)
