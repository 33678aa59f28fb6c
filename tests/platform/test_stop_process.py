"""Planned stops of real front processes while callers wait and read."""

import pathlib
import signal
import socket
import time

from tests import rig
from tests.platform import site

GRACE_SECONDS = 6.0
# More than the kernel buffers of a connection, so that the process holds a part.
RECORDS = 600_000
RECORD_BYTES = 16


def open_slow_reader(front: site.Front, path: str) -> socket.socket:
    """Send a request from a socket whose window holds little of the answer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.settimeout(GRACE_SECONDS)
    caller.connect(("127.0.0.1", front.port))
    caller.sendall(
        f"POST {path} HTTP/1.1\r\nHost: {site.HOST}\r\nContent-Length: 0\r\n"
        "X-Attempt-Id: slow\r\nX-Request-Deadline: 8000\r\n\r\n".encode()
    )
    return caller


def test_answers_are_read_to_their_end_after_the_signal(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against an exit that cuts off answers on their way to slow callers."""
    deployment = site.Site(processes, tmp_path)
    deployment.add_target("t", "s0", records=RECORDS)
    reserve = site.route("reserve", service="s0", type="non_idempotent")
    deployment.configure(1, [reserve])
    front = deployment.add_front()
    with open_slow_reader(front, "/reserve/x") as caller:
        received = len(caller.recv(4096))
        stopped_at = time.monotonic()
        front.process.signal(signal.SIGTERM)
        # The answer is read evenly until shortly before the end of the grace.
        seconds = GRACE_SECONDS - 1.5
        while data := caller.recv(1 << 16):
            received += len(data)
            expected = min(received, RECORDS * RECORD_BYTES)
            due = stopped_at + seconds * expected / (RECORDS * RECORD_BYTES)
            time.sleep(max(0.0, due - time.monotonic()))
    assert received > RECORDS * RECORD_BYTES
    assert front.process.wait() == 0
    assert time.monotonic() - stopped_at < GRACE_SECONDS
