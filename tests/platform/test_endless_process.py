"""A real front process and a target whose bytes do not end until the front closes."""

import collections.abc
import concurrent.futures
import contextlib
import pathlib
import socketserver
import threading

import pytest

from tests import rig
from tests.platform import site

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n"
CHUNK_BYTES = 64 * 1024
ENDLESS = {
    "no response": (b"", b"\x00\xff" * 32),
    "status line": (b"HTTP/1.1 200 ", b"x" * 64),
    "short headers": (HEAD, b"a: b\r\n"),
    "one header": (HEAD + b"a: ", b"x" * 64),
    "body until close": (HEAD + b"\r\n", b"x" * 64),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"8\r\nxxxxxxxx\r\n"),
    "interim replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
ROUTES = [
    site.route("lookup", service="s0"),
    site.route("reserve", service="bad", type="non_idempotent", timeout_ms=1000),
]
CALLERS = 24


class _EndlessTarget(socketserver.ThreadingTCPServer):
    """Target that answers the first bytes of a request without end."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, prefix: bytes, repeated: bytes) -> None:
        super().__init__(("127.0.0.1", 0), _EndlessHandler)
        self.prefix = prefix
        self.repeated = repeated * (CHUNK_BYTES // len(repeated))
        self.stopping = False

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"


class _EndlessHandler(socketserver.BaseRequestHandler):
    server: _EndlessTarget

    def handle(self) -> None:
        with contextlib.suppress(OSError):
            if self.request.recv(CHUNK_BYTES):
                self.request.sendall(self.server.prefix)
            while not self.server.stopping:
                self.request.sendall(self.server.repeated)


@pytest.fixture(params=ENDLESS)
def endless(request: pytest.FixtureRequest) -> collections.abc.Iterator[_EndlessTarget]:
    """Run a target for each kind of bytes."""
    with _EndlessTarget(*ENDLESS[request.param]) as target:
        thread = threading.Thread(target=target.serve_forever)
        thread.start()
        yield target
        target.stopping = True
        target.shutdown()
        thread.join()


def test_bytes_without_end_harm_no_other_request(
    processes: rig.Rig, tmp_path: pathlib.Path, endless: _EndlessTarget
) -> None:
    """Guards against a target that ends a process with all of its requests."""
    deployment = site.Site(processes, tmp_path)
    for name, group in (("s0-a", "s0"), ("s0-b", "s0"), ("bad", "bad")):
        deployment.add_target(name, group)
    for name in ("s0-a", "bad"):
        deployment.list_target(name, address=endless.address)
    deployment.configure(1, ROUTES)
    front = deployment.add_front()
    highest = 0
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        for turn in range(3):
            reserved = [
                executor.submit(
                    front.request, "/reserve/x", f"r{turn}-{number}", 1000, "POST", b""
                )
                for number in range(CALLERS // 2)
            ]
            looked_up = [
                executor.submit(front.request, "/lookup/x", f"l{turn}-{number}")
                for number in range(CALLERS // 2)
            ]
            while not all(each.done() for each in reserved + looked_up):
                highest = max(highest, front.resident_bytes())
            assert {each.result().status for each in looked_up} == {200}
            assert {each.result().status for each in reserved} <= {502, 503, 504}
    assert highest <= site.MEMORY_BYTES
