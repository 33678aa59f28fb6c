"""Tests of the graceful shutdown of an entry instance in a separate process."""

import concurrent.futures
import http.client
import json
import pathlib
import signal
import threading
import typing

from tests import rig

DELAY_MS = 700.0
PATH = "/v1/services/lots/query"
BODY = json.dumps({"query": "offers", "timeout_ms": 10_000})


def _start(
    processes: rig.Rig, tmp_path: pathlib.Path, **settings: typing.Any
) -> rig.Process:
    target = processes.add_target(
        "lots-a", zone="a", slots=64, snapshots={"s1": [0, 1]}
    )
    targets = processes.target_settings({"lots-a": "a"})
    changes = rig.service_parts("lots", targets, {"lots-a": [0, 1]}, shards=2)
    processes.commit(changes)
    entry = processes.add_entry(tmp_path, **settings)
    processes.faults(target, delay_ms=DELAY_MS)
    return entry


def _open(entry: rig.Process) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=20)
    connection.request("GET", "/healthz")
    connection.getresponse().read()
    return connection


def _query(
    connection: http.client.HTTPConnection, barrier: threading.Barrier
) -> tuple[int, bool, str | None]:
    """Send one query; return status, completeness and the Connection header."""
    connection.request("POST", PATH, BODY)
    barrier.wait()
    reply = connection.getresponse()
    document = json.loads(reply.read())
    return reply.status, document["complete"], reply.headers["Connection"]


def test_sigterm_does_not_interrupt_running_queries(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a shutdown that resets running queries or open connections."""
    count = 8
    entry = _start(processes, tmp_path, drain_grace_seconds=0.1)
    kept = [_open(entry) for _ in range(count // 2)]
    fresh = [
        http.client.HTTPConnection("127.0.0.1", entry.port, timeout=20)
        for _ in range(count // 2)
    ]
    idle = _open(entry)
    barrier = threading.Barrier(count + 1)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        running = [
            pool.submit(_query, connection, barrier) for connection in kept + fresh
        ]
        barrier.wait()
        rig.wait_for(
            lambda: (
                rig.call("GET", entry.url + "/v1/status").document["in_flight"] == count
            ),
            "all queries run",
        )
        entry.signal(signal.SIGTERM)
        outcomes = [future.result() for future in running]
    assert outcomes == [(200, True, "close")] * count
    assert entry.wait() == 0
    idle.close()


def test_requests_are_accepted_during_the_grace_period(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against refusing requests that the load balancer still routes here."""
    entry = _start(processes, tmp_path, drain_grace_seconds=2.0)
    kept = _open(entry)
    answer = rig.call("POST", entry.url + "/v1/drain")
    assert answer.status == 202
    assert rig.call("GET", entry.url + "/readyz").status == 503
    late = rig.call("POST", entry.url + PATH, json.loads(BODY))
    assert (late.status, late.document["complete"]) == (200, True)
    outcome = _query(kept, threading.Barrier(1))
    assert outcome == (200, True, "close")
    assert entry.wait() == 0


def test_drain_ends_after_its_time_limit(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against an instance that never exits because one query hangs."""
    entry = _start(
        processes, tmp_path, drain_grace_seconds=0, drain_timeout_seconds=0.3
    )
    processes.faults(processes.targets["lots-a"], stall=True)
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=20)
    connection.request("POST", PATH, BODY)
    rig.wait_for(
        lambda: rig.call("GET", entry.url + "/v1/status").document["in_flight"] == 1,
        "the query runs",
    )
    entry.signal(signal.SIGTERM)
    assert entry.wait() == 1
    connection.close()


def test_repeated_signals_during_the_start_are_handled(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against an instance that a signal kills before it is ready."""
    entry = processes.start_entry(tmp_path, drain_grace_seconds=0.2)
    for _ in range(3):
        entry.signal(signal.SIGTERM)
    assert entry.wait() == 0
