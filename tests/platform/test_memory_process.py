"""Memory of a real front process whose callers do not read their answers."""

import contextlib
import os
import pathlib

from tests import rig
from tests.platform import load, site

CALLERS = 60
# As in the settings of the front.
MEMORY_BYTES = 256 * 1024 * 1024


def resident_bytes(front: site.Front) -> int:
    """Return the resident memory of a front process."""
    fields = pathlib.Path(f"/proc/{front.process.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


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
            highest = max(highest, resident_bytes(front))
            if highest > MEMORY_BYTES:
                break
    assert highest <= MEMORY_BYTES
