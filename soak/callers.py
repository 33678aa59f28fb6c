"""Callers that keep asking until they are told to stop."""

import http.client
import random
import threading
import time

from soak import checks, testbed

PATIENCE_MS = 1500
PAUSE_SECONDS = 0.15


class Caller(threading.Thread):
    """One caller; keeps its connection to a front until that closes it."""

    def __init__(self, number: int, seed: int, running: testbed.Testbed) -> None:
        super().__init__(daemon=True)
        self._name = f"c{number}"
        self._random = random.Random(f"{seed} caller {number}")
        self._testbed = running
        self._stopping = threading.Event()
        self.seen: list[checks.Seen] = []

    def stop(self) -> None:
        """End after the request under way."""
        self._stopping.set()

    def run(self) -> None:
        """Ask one front after another."""
        while not self._stopping.is_set():
            name = self._random.choice(sorted(self._testbed.fronts))
            front = self._testbed.fronts[name]
            process = f"{name}#{front.incarnation}"
            connection = http.client.HTTPConnection("127.0.0.1", front.port, timeout=4)
            for _ in range(self._random.randint(1, 20)):
                if self._stopping.wait(self._random.uniform(0, 2 * PAUSE_SECONDS)):
                    break
                self.seen.append(self._ask(connection, process))
                if self.seen[-1].status == 0:
                    break
            connection.close()

    def _ask(self, connection: http.client.HTTPConnection, process: str) -> checks.Seen:
        number = len(self.seen)
        kind = self._random.choice(["search", "search", "lookup", "reserve", "v"])
        if kind == "v":
            kind = f"v{self._random.randint(1, self._testbed.version)}"
        path = f"/{kind}/{number}"
        request_id = f"{self._name}-{number}"
        method = "POST" if kind == "reserve" else "GET"
        fields = {
            "Host": testbed.HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline": str(PATIENCE_MS),
        }
        sent = time.monotonic()
        try:
            connection.request(method, path, b"x" if method == "POST" else None, fields)
            got = connection.getresponse()
            body = got.read()
        except (OSError, http.client.HTTPException):
            return checks.Seen(request_id, path, process, sent, time.monotonic())
        named = got.headers.get("X-Part-Stamps") or got.headers.get("X-Response-Stamp")
        signatures = tuple(filter(None, (named or "").replace(" ", "").split(",")))
        return checks.Seen(
            request_id,
            path,
            process,
            sent,
            time.monotonic(),
            got.status,
            signatures,
            int(got.headers.get("X-Parts-Missing", "0")),
            body,
        )
