"""Memory of a real front process whose callers do not read their answers."""

import contextlib
import pathlib

from tests import rig
from tests.platform import load, site

CALLERS = 60


def test_unread_answers_stay_within_the_memory(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against callers that end a process by not reading their answers."""
    front = load.start_large_answers(processes, tmp_path)
    highest = 0
    with contextlib.ExitStack() as callers:
        for _ in range(CALLERS):
            caller = load.open_slow_reader(front, "/reserve/x")
            callers.enter_context(caller)
            # The head comes once the front has the whole answer.
            assert caller.recv(1)
            highest = max(highest, front.resident_bytes())
            if highest > site.MEMORY_BYTES:
                break
    assert highest <= site.MEMORY_BYTES
