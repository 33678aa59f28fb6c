"""Callers that a test of a front process plays."""

import concurrent.futures
import http.client
import pathlib
import signal
import socket
import threading
import time

from jackdawpass.standins import listed_target
from tests import rig
from tests.platform import site

READ_TIMEOUT_SECONDS = 6.0
# More than the kernel buffers of a connection, so that the process holds a part.
LARGE_ANSWER_BYTES = 600_000 * listed_target.RECORD_BYTES


def start_large_answers(processes: rig.Rig, directory: pathlib.Path) -> site.Front:
    """Start a front with a route, ``/reserve/``, whose answers are large."""
    deployment = site.Site(processes, directory)
    records = LARGE_ANSWER_BYTES // listed_target.RECORD_BYTES
    deployment.add_target("t", "s0", records=records)
    reserve = site.route("reserve", service="s0", type="non_idempotent")
    deployment.configure(1, [reserve])
    return deployment.add_front()


def open_slow_reader(front: site.Front, path: str) -> socket.socket:
    """Send a request from a socket whose window holds little of the answer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.settimeout(READ_TIMEOUT_SECONDS)
    caller.connect(("127.0.0.1", front.port))
    caller.sendall(
        f"POST {path} HTTP/1.1\r\nHost: {site.HOST}\r\nContent-Length: 0\r\n"
        "X-Attempt-Id: slow\r\nX-Request-Deadline: 8000\r\n\r\n".encode()
    )
    return caller


class Load:
    """Callers on kept and new connections before and during a stop."""

    KEPT_CONNECTIONS = 16
    NEW_PER_SECOND = 6

    def __init__(self, front: site.Front, path: str) -> None:
        self.statuses: dict[str, int | None] = {}
        self._front = front
        self._path = path
        self._ended = threading.Event()

    def run(self, seconds_before: float) -> None:
        """Send requests for some seconds, stop the front, go on until it is gone."""
        workers = self.KEPT_CONNECTIONS + 8 * self.NEW_PER_SECOND
        with concurrent.futures.ThreadPoolExecutor(workers) as executor:
            for number in range(self.KEPT_CONNECTIONS):
                executor.submit(self._keep, number)
            executor.submit(self._open, executor)
            time.sleep(seconds_before)
            self._front.process.signal(signal.SIGTERM)
            assert self._front.process.wait() == 0
            self._ended.set()

    def _keep(self, number: int) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", self._front.port)
        count = 0
        while not self._ended.is_set():
            count += 1
            if not self._send(connection, f"kept-{number}-{count}"):
                return
            time.sleep(0.05)

    def _open(self, executor: concurrent.futures.Executor) -> None:
        count = 0
        while not self._ended.wait(1 / self.NEW_PER_SECOND):
            count += 1
            connection = http.client.HTTPConnection("127.0.0.1", self._front.port)
            executor.submit(self._send, connection, f"new-{count}")

    def _send(self, connection: http.client.HTTPConnection, request_id: str) -> bool:
        """Send a request; return whether its connection may carry the next one."""
        fields = {
            "Host": site.HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline": "8000",
        }
        try:
            connection.request("POST", self._path, b"x", fields)
            response = connection.getresponse()
            response.read()
        except OSError:
            self.statuses[request_id] = None
            return False
        except http.client.HTTPException:
            self.statuses[request_id] = None
            return False
        self.statuses[request_id] = response.status
        return not response.will_close

    def check(self, deployment: site.Site) -> None:
        """Check that each request was answered, refused unrun, or not passed on."""
        runs = [
            run["request_id"]
            for name in deployment.targets
            for run in deployment.runs(name)
        ]
        assert len(runs) == len(set(runs))
        outcomes = {
            status: {name for name, each in self.statuses.items() if each == status}
            for status in (200, 503, None)
        }
        # A request that crosses the close of its connection is not passed on.
        assert not outcomes[None] & set(runs)
        assert not outcomes[503] & set(runs)
        assert set(self.statuses.values()) <= {200, 503, None}
        assert len(outcomes[200]) >= self.KEPT_CONNECTIONS
