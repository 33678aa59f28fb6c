"""Planned stops of real front processes while callers wait and read."""

import pathlib
import signal
import time

import pytest

from tests import rig
from tests.platform import load, site

GRACE_SECONDS = 6.0


def test_answers_are_read_to_their_end_after_the_signal(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against an exit that cuts off answers on their way to slow callers."""
    front = load.start_large_answers(processes, tmp_path)
    with load.open_slow_reader(front, "/reserve/x") as caller:
        received = len(caller.recv(4096))
        stopped_at = time.monotonic()
        front.process.signal(signal.SIGTERM)
        # The answer is read evenly until shortly before the end of the grace.
        seconds = GRACE_SECONDS - 1.5
        while data := caller.recv(1 << 16):
            received += len(data)
            expected = min(received, load.LARGE_ANSWER_BYTES)
            due = stopped_at + seconds * expected / (load.LARGE_ANSWER_BYTES)
            time.sleep(max(0.0, due - time.monotonic()))
    assert received > load.LARGE_ANSWER_BYTES
    assert front.process.wait() == 0
    assert time.monotonic() - stopped_at < GRACE_SECONDS


@pytest.mark.parametrize("work_ms", [400, 2500, 4000])
def test_late_requests_are_answered_or_refused_unrun(
    processes: rig.Rig, tmp_path: pathlib.Path, work_ms: int
) -> None:
    """Guards against requests that are taken late in the grace and then cut off."""
    deployment = site.Site(processes, tmp_path)
    for number in range(10):
        deployment.add_target(f"t{number}", "s0", work_ms=work_ms)
    reserve = site.route("reserve", service="s0", type="non_idempotent")
    reserve["timeout_ms"] = 8000
    deployment.configure(1, [reserve])
    callers = load.Load(deployment.add_front(), "/reserve/x")
    callers.run(seconds_before=work_ms / 1000 + 2.0)
    callers.check(deployment)
