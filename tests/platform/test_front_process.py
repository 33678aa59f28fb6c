"""Tests of real front processes with stand-ins for store and targets, and faults."""

import concurrent.futures
import dataclasses
import http.client
import pathlib
import signal
import socket
import time

import pytest

from jackdawpass.standins import listed_target
from tests import rig
from tests.platform import site

GROUPS = ("s0", "s1", "s2")
SEARCH = site.route("search", fanout=list(GROUPS), top_k=5, min_shard_ratio=0.6)
LOOKUP = site.route("lookup", service="s0")
RESERVE = site.route("reserve", service="s0", type="non_idempotent")


@pytest.fixture
def deployment(processes: rig.Rig, tmp_path: pathlib.Path) -> site.Site:
    """Start a store with two targets of each group in two zones, and three routes."""
    deployment = site.Site(processes, tmp_path)
    for group in GROUPS:
        deployment.add_target(f"{group}-a", group, "a")
        deployment.add_target(f"{group}-b", group, "b")
    deployment.configure(1, [SEARCH, LOOKUP, RESERVE])
    return deployment


def expected_records(path: str, limit: int) -> bytes:
    records = [
        record
        for group in GROUPS
        for record in listed_target.group_records(group, path, 4)
    ]
    return b"".join(sorted(records, reverse=True)[:limit])


def test_search_merges_one_reply_of_each_shard(deployment: site.Site) -> None:
    """Guards against wrong records, a duplicate shard or a wrong coverage."""
    reply = deployment.add_front().request("/search/x")
    assert reply.status == 200
    assert reply.body == expected_records("/search/x", 5)
    assert {each.split(":")[0] for each in reply.signatures} == set(GROUPS)
    assert reply.headers["x-parts-missing"] == "0"


def test_lookup_relays_the_reply(deployment: site.Site) -> None:
    """Guards against changing the reply of a single target."""
    reply = deployment.add_front().request("/lookup/x")
    assert reply.body == b"".join(listed_target.group_records("s0", "/lookup/x", 4))
    assert reply.headers["x-response-stamp"].startswith("s0:r1:")


def test_no_configuration_is_503_and_unknown_route_404(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a 404 for a route that the missing configuration may have."""
    empty = site.Site(processes, tmp_path)
    front = empty.start_front()
    rig.wait_for(lambda: _is_listening(front), "the front listens")
    reply = front.request("/search/x")
    assert reply.status == 503 and "retry-after" in reply.headers
    assert not front.ready()
    empty.add_target("t", "s0")
    empty.configure(1, [LOOKUP])
    rig.wait_for(front.ready, "the front is ready")
    assert front.request("/other/x").status == 404


def _is_listening(front: site.Front) -> bool:
    try:
        front.ready()
        return front.request("/search/x").status > 0
    except OSError:
        return False


@pytest.mark.parametrize(
    "mode",
    [
        "error",
        "shed",
        "reset",
        "cut",
        "cut_head",
        "extra",
        "unframed",
        "copy",
        "anonymous_copy",
        "status_000",
    ],
)
def test_faulty_replica_does_not_affect_answers(
    deployment: site.Site, mode: str
) -> None:
    """Guards against mixed-up, truncated or duplicate replies that reach a caller."""
    front = deployment.add_front()
    for group in GROUPS:
        deployment.inject_faults(deployment.targets[f"{group}-a"], mode=mode)
    for number in range(12):
        path = f"/search/{number}"
        reply = front.request(path, f"r{number}")
        assert reply.status == 200
        assert reply.headers["x-parts-missing"] == "0"
        assert reply.body == expected_records(path, 5)


@pytest.mark.parametrize("mode", ["copy", "anonymous_copy"])
@pytest.mark.parametrize(("path", "method"), [("/lookup", "GET"), ("/reserve", "POST")])
def test_late_copy_reaches_no_other_caller(
    deployment: site.Site, mode: str, path: str, method: str
) -> None:
    """Guards against a copy that answers the next request of its connection."""
    front = deployment.add_front()
    for name in ("s0-a", "s0-b"):
        deployment.inject_faults(deployment.targets[name], mode=mode)
    for number in range(12):
        reply = front.request(f"{path}/{number}", f"r{number}", 2000, method)
        assert reply.status == 200
        assert reply.headers["x-response-stamp"].split(":")[1] == f"r{number}"


@pytest.mark.parametrize("path", ["/lookup/x", "/reserve/x", "/search/x"])
def test_answer_cut_in_its_head_is_no_success(deployment: site.Site, path: str) -> None:
    """Guards against a short answer that looks complete."""
    front = deployment.add_front()
    for target in deployment.targets.values():
        deployment.inject_faults(target, mode="cut_head")
    method = "POST" if path.startswith("/reserve") else "GET"
    assert front.request(path, "r1", 800, method).status in (502, 504)


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("path", ["/lookup/x", "/reserve/x", "/search/x"])
def test_answer_with_an_impossible_status_is_a_failure(
    deployment: site.Site, path: str, status: str
) -> None:
    """Guards against a status without meaning that a caller gets, or waits for."""
    front = deployment.add_front()
    for target in deployment.targets.values():
        deployment.inject_faults(target, mode=f"status_{status}")
    method = "POST" if path.startswith("/reserve") else "GET"
    started = time.monotonic()
    reply = front.request(path, "r1", 2000, method)
    assert reply.status in (502, 504) and "x-response-stamp" not in reply.headers
    assert time.monotonic() - started < 1.0


def test_hanging_replica_is_hedged(deployment: site.Site) -> None:
    """Guards against a single hanging target that delays a whole search."""
    front = deployment.add_front()
    deployment.inject_faults(deployment.targets["s1-a"], mode="hang")
    started = time.monotonic()
    reply = front.request("/search/x")
    assert reply.headers["x-parts-missing"] == "0"
    assert time.monotonic() - started < 1.0


def test_unavailable_shard_gives_a_partial_answer(deployment: site.Site) -> None:
    """Guards against waiting for a shard without targets, or not reporting it."""
    front = deployment.add_front()
    deployment.targets["s2-a"].stop()
    deployment.targets["s2-b"].stop()
    reply = front.request("/search/x")
    assert reply.status == 200
    assert reply.headers["x-parts-missing"] == "1"
    assert {each.split(":")[0] for each in reply.signatures} == {"s0", "s1"}


@pytest.mark.parametrize("mode", ["reset", "cut", "hang"])
def test_non_idempotent_request_runs_once(deployment: site.Site, mode: str) -> None:
    """Guards against a request that runs twice, or is reported as not run."""
    front = deployment.add_front()
    for name in ("s0-a", "s0-b"):
        deployment.inject_faults(deployment.targets[name], mode=mode)
    reply = front.request("/reserve/x", "once", 600, "POST", b"data")
    assert reply.status in (502, 504)
    runs = [r for name in ("s0-a", "s0-b") for r in deployment.runs(name)]
    assert [(run["request_id"], run["body"]) for run in runs] == [("once", "data")]


def test_refused_non_idempotent_request_has_not_run(deployment: site.Site) -> None:
    """Guards against a 503 for a request that ran, which its caller would repeat."""
    front = deployment.add_front()
    for name in ("s0-a", "s0-b"):
        deployment.inject_faults(deployment.targets[name], mode="shed")
    reply = front.request("/reserve/x", "never", 600, "POST", b"data")
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
    assert deployment.runs("s0-a") == deployment.runs("s0-b") == []


def test_leaving_target_gets_no_more_work(deployment: site.Site) -> None:
    """Guards against sending requests to a target that is listed as draining."""
    front = deployment.add_front()
    deployment.list_target("s0-a", state="draining")
    time.sleep(1.0)
    before = len(deployment.runs("s0-a"))
    for number in range(10):
        assert front.request("/lookup/x", f"r{number}").status == 200
    assert len(deployment.runs("s0-a")) == before


def test_target_at_a_reused_address_runs_no_request(deployment: site.Site) -> None:
    """Guards against a request that runs at a target of another group.

    The new target listens at the address that is still listed for the old one.
    """
    front = deployment.add_front()
    reused_port = deployment.targets["s1-a"].port
    deployment.list_target("s0-a", address=f"127.0.0.1:{reused_port}")
    time.sleep(0.5)
    for number in range(10):
        assert front.request("/lookup/x", f"r{number}").status == 200
    assert deployment.runs("s1-a") == []


def test_restarted_front_uses_no_target_that_has_left(deployment: site.Site) -> None:
    """Guards against state from before a restart that outlives a target's leave."""
    front = deployment.add_front()
    assert front.request("/lookup/x", "before").status == 200
    deployment.list_target("s0-a", state="draining")
    deployment.list_target("s0-b", service="s9")
    front.process.signal(signal.SIGKILL)
    restarted = deployment.add_front()
    assert restarted.request("/lookup/x", "after").status == 503
    assert restarted.request("/search/x", "after").headers["x-parts-missing"] == "1"
    runs = deployment.runs("s0-a") + deployment.runs("s0-b")
    assert "after" not in {run["request_id"] for run in runs}


def test_change_swallowed_by_a_silent_store_is_in_force_after_it(
    deployment: site.Site,
) -> None:
    """Guards against a watch that waits for an event that it has already missed."""
    front = deployment.add_front()
    time.sleep(0.5)
    # The next watch starts 50 ms after this change, when the store no longer responds.
    deployment.configure(2, [SEARCH, LOOKUP])
    deployment.inject_faults(deployment.store, silent=True)
    time.sleep(2.5)
    assert front.request("/lookup/x").status == 200
    deployment.inject_faults(deployment.store)
    deployment.configure(3, [SEARCH])
    rig.wait_for(
        lambda: front.request("/lookup/x").status == 404, "version 3 is in force", 3.0
    )


# Time after which a version is in force, and a leaving target gets no more requests.
APPLY_SECONDS = 3.0


def test_version_whose_event_is_lost_is_in_force_in_time(deployment: site.Site) -> None:
    """Guards against a lost watch that is noticed only when it times out."""
    front = deployment.add_front()
    time.sleep(0.5)
    deployment.inject_faults(deployment.store, silent=True)
    deployment.configure(2, [SEARCH])
    deployment.inject_faults(deployment.store)
    rig.wait_for(
        lambda: front.request("/lookup/x").status == 404,
        "version 2 is in force",
        APPLY_SECONDS,
    )


def test_target_whose_leave_event_is_lost_gets_no_late_request(
    deployment: site.Site,
) -> None:
    """Guards against a lost watch of the targets that is noticed too late."""
    front = deployment.add_front()
    time.sleep(0.5)
    deployment.inject_faults(deployment.store, silent=True)
    deployment.list_target("s0-a", state="draining")
    deployment.inject_faults(deployment.store)
    time.sleep(APPLY_SECONDS)
    for number in range(20):
        assert front.request("/lookup/x", f"late-{number}").status == 200
    late = {run["request_id"] for run in deployment.runs("s0-a")}
    assert not late, [line for line in front.process.lines if "store" in line]


def test_older_configuration_is_never_put_in_force(deployment: site.Site) -> None:
    """Guards against returning to an older version that is written to the store."""
    front = deployment.add_front()
    deployment.configure(5, [SEARCH])
    rig.wait_for(lambda: front.request("/lookup/x").status == 404, "version 5", 3.0)
    deployment.configure(4, [SEARCH, LOOKUP])
    time.sleep(1.0)
    assert front.request("/lookup/x").status == 404


def test_disconnected_caller_cancels_its_request(deployment: site.Site) -> None:
    """Guards against targets that run requests whose caller has disconnected."""
    front = deployment.add_front()
    for name in ("s0-a", "s0-b"):
        deployment.inject_faults(deployment.targets[name], slow_ms=1500)
    connection = http.client.HTTPConnection("127.0.0.1", front.port)
    connection.request("GET", "/lookup/x", headers={"Host": site.HOST})
    time.sleep(0.2)
    connection.close()
    time.sleep(0.6)
    url = "/control/runs"
    withdrawn = [
        rig.call("GET", deployment.targets[name].url + url).document["withdrawn"]
        for name in ("s0-a", "s0-b")
    ]
    assert sum(withdrawn) >= 1


def test_planned_stop_loses_no_request(deployment: site.Site) -> None:
    """Guards against requests that are lost in a planned restart."""
    front = deployment.add_front()
    for name in ("s0-a", "s0-b"):
        deployment.inject_faults(deployment.targets[name], slow_ms=400)
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        first_futures = [
            callers.submit(front.request, "/lookup/x", f"r{number}")
            for number in range(8)
        ]
        time.sleep(0.1)
        front.process.signal(signal.SIGTERM)
        time.sleep(0.1)
        assert not front.ready()
        later_futures = [
            callers.submit(front.request, "/lookup/x", f"s{number}")
            for number in range(4)
        ]
        replies = [future.result() for future in first_futures + later_futures]
    assert [reply.status for reply in replies] == [200] * 12
    assert replies[-1].headers["connection"] == "close"
    assert front.process.wait(6.0) == 0


@dataclasses.dataclass(frozen=True)
class _LateAnswer:
    """Response to a request, and the seconds from its connection to its sending."""

    response: bytes
    sent_after: float


def _send_late(port: int, delay: float) -> _LateAnswer | None:
    """Open a connection, send a request after a delay, and return the response.

    Returns None if no connection is accepted.
    """
    try:
        connection = socket.create_connection(("127.0.0.1", port), 2.0)
    except OSError:
        return None
    opened_at = time.monotonic()
    with connection:
        time.sleep(delay)
        head = f"GET /lookup/x HTTP/1.1\r\nHost: {site.HOST}\r\n"
        try:
            connection.sendall(f"{head}X-Request-Deadline: 2000\r\n\r\n".encode())
            sent_after = time.monotonic() - opened_at
            return _LateAnswer(connection.recv(65536), sent_after)
        except OSError:
            return _LateAnswer(b"", time.monotonic() - opened_at)


def test_planned_stop_answers_requests_accepted_last(deployment: site.Site) -> None:
    """Guards against cutting off callers that connect up to the exit.

    The balancer sends new callers to stopping instances too, if it has no others.
    """
    front = deployment.add_front()
    answers: list[_LateAnswer] = []

    def call_until_refused() -> None:
        while (answer := _send_late(front.port, 0.05)) is not None:
            answers.append(answer)

    with concurrent.futures.ThreadPoolExecutor(4) as callers:
        loops = [callers.submit(call_until_refused) for _ in range(4)]
        time.sleep(0.2)
        front.process.signal(signal.SIGTERM)
        for loop in loops:
            loop.result()
    assert len(answers) > 100
    assert not [each for each in answers if each.response[:12] != b"HTTP/1.1 200"]
    assert front.process.wait(6.0) == 0
