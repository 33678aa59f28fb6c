"""Callers that send requests until they are stopped."""

import http.client
import random
import threading
import time

from soak import checks, testbed

DEADLINE_MS = 1500
MEAN_PAUSE_SECONDS = 0.15


class Caller(threading.Thread):
    """One caller; sends up to 20 requests on each connection until it fails."""

    def __init__(self, number: int, seed: int, running: testbed.Testbed) -> None:
        super().__init__(daemon=True)
        self._name = f"c{number}"
        self._random = random.Random(f"{seed} caller {number}")
        self._testbed = running
        self._stopping = threading.Event()
        self.observations: list[checks.Observation] = []

    def stop(self) -> None:
        """Stop after the current request."""
        self._stopping.set()

    def run(self) -> None:
        """Send requests to one front after another."""
        while not self._stopping.is_set():
            name = self._random.choice(sorted(self._testbed.fronts))
            front = self._testbed.fronts[name]
            process = f"{name}#{front.incarnation}"
            connection = http.client.HTTPConnection("127.0.0.1", front.port, timeout=4)
            for _ in range(self._random.randint(1, 20)):
                if self._stopping.wait(self._random.uniform(0, 2 * MEAN_PAUSE_SECONDS)):
                    break
                self.observations.append(self._send(connection, process))
                if self.observations[-1].status == 0:
                    break
            connection.close()

    def _send(
        self, connection: http.client.HTTPConnection, process: str
    ) -> checks.Observation:
        number = len(self.observations)
        route = self._random.choice(["search", "search", "lookup", "reserve", "v"])
        if route == "v":
            route = f"v{self._random.randint(1, self._testbed.version)}"
        path = f"/{route}/{number}"
        request_id = f"{self._name}-{number}"
        method = "POST" if route == "reserve" else "GET"
        headers = {
            "Host": testbed.HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline": str(DEADLINE_MS),
        }
        sent_at = time.monotonic()
        try:
            connection.request(
                method, path, b"x" if method == "POST" else None, headers
            )
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            return checks.Observation(
                request_id, path, process, sent_at, time.monotonic()
            )
        signature_header = response.headers.get(
            "X-Part-Stamps"
        ) or response.headers.get("X-Response-Stamp")
        signatures = tuple(
            filter(None, (signature_header or "").replace(" ", "").split(","))
        )
        return checks.Observation(
            request_id,
            path,
            process,
            sent_at,
            time.monotonic(),
            response.status,
            signatures,
            int(response.headers.get("X-Parts-Missing", "0")),
            body,
        )
