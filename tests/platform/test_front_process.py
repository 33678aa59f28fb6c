"""Whole path on real processes in the platform's dialect, with induced faults."""

import concurrent.futures
import http.client
import pathlib
import signal
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
def users(processes: rig.Rig, tmp_path: pathlib.Path) -> site.Site:
    """Give a store with two targets of each group in two zones, and three routes."""
    found = site.Site(processes, tmp_path)
    for group in GROUPS:
        found.add_target(f"{group}-a", group, "a")
        found.add_target(f"{group}-b", group, "b")
    found.configure(1, [SEARCH, LOOKUP, RESERVE])
    return found


def best_records(path: str, limit: int) -> bytes:
    records = [
        record
        for group in GROUPS
        for record in listed_target.group_records(group, path, 4)
    ]
    return b"".join(sorted(records, reverse=True)[:limit])


def test_search_merges_one_reply_of_each_shard(users: site.Site) -> None:
    """Guards against a wrong top, a doubled shard or an untrue coverage."""
    reply = users.add_front().ask("/search/x")
    assert reply.status == 200
    assert reply.body == best_records("/search/x", 5)
    assert {each.split(":")[0] for each in reply.signatures} == set(GROUPS)
    assert reply.headers["x-parts-missing"] == "0"


def test_lookup_relays_the_reply(users: site.Site) -> None:
    """Guards against a changed reply of a single target."""
    reply = users.add_front().ask("/lookup/x")
    assert reply.body == b"".join(listed_target.group_records("s0", "/lookup/x", 4))
    assert reply.headers["x-response-stamp"].startswith("s0:r1:")


def test_no_configuration_is_503_and_unknown_route_404(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against denying what the configuration may allow."""
    empty = site.Site(processes, tmp_path)
    front = empty.start_front()
    rig.wait_for(lambda: _answers(front), "the front listens")
    reply = front.ask("/search/x")
    assert reply.status == 503 and "retry-after" in reply.headers
    assert not front.ready()
    empty.add_target("t", "s0")
    empty.configure(1, [LOOKUP])
    rig.wait_for(front.ready, "the front is ready")
    assert front.ask("/other/x").status == 404


def _answers(front: site.Front) -> bool:
    try:
        front.ready()
        return front.ask("/search/x").status > 0
    except OSError:
        return False


@pytest.mark.parametrize("mode", ["error", "shed", "reset", "cut", "extra", "unframed"])
def test_faulty_replica_spoils_no_answer(users: site.Site, mode: str) -> None:
    """Guards against crossed, short and doubled replies that reach a caller."""
    front = users.add_front()
    for group in GROUPS:
        users.faults(users.targets[f"{group}-a"], mode=mode)
    for number in range(12):
        path = f"/search/{number}"
        reply = front.ask(path, f"r{number}")
        assert reply.status == 200
        assert reply.headers["x-parts-missing"] == "0"
        assert reply.body == best_records(path, 5)


def test_hanging_replica_is_hedged(users: site.Site) -> None:
    """Guards against one silent target that holds up a whole search."""
    front = users.add_front()
    users.faults(users.targets["s1-a"], mode="hang")
    started = time.monotonic()
    reply = front.ask("/search/x")
    assert reply.headers["x-parts-missing"] == "0"
    assert time.monotonic() - started < 1.0


def test_dead_shard_gives_an_honest_partial_answer(users: site.Site) -> None:
    """Guards against waiting for, or hiding, a shard that nobody holds."""
    front = users.add_front()
    users.targets["s2-a"].stop()
    users.targets["s2-b"].stop()
    reply = front.ask("/search/x")
    assert reply.status == 200
    assert reply.headers["x-parts-missing"] == "1"
    assert {each.split(":")[0] for each in reply.signatures} == {"s0", "s1"}


@pytest.mark.parametrize("mode", ["reset", "cut", "hang"])
def test_non_idempotent_request_runs_once(users: site.Site, mode: str) -> None:
    """Guards against a reservation that is made twice, or denied though made."""
    front = users.add_front()
    for name in ("s0-a", "s0-b"):
        users.faults(users.targets[name], mode=mode)
    reply = front.ask("/reserve/x", "once", 600, "POST", b"data")
    assert reply.status in (502, 504)
    runs = [r for name in ("s0-a", "s0-b") for r in users.runs(name)]
    assert [(run["request_id"], run["body"]) for run in runs] == [("once", "data")]


def test_refused_non_idempotent_request_has_not_run(users: site.Site) -> None:
    """Guards against a promise that is not kept."""
    front = users.add_front()
    for name in ("s0-a", "s0-b"):
        users.faults(users.targets[name], mode="shed")
    reply = front.ask("/reserve/x", "never", 600, "POST", b"data")
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
    assert users.runs("s0-a") == users.runs("s0-b") == []


def test_leaving_target_gets_no_more_work(users: site.Site) -> None:
    """Guards against work for a target that drains."""
    front = users.add_front()
    users.list_target("s0-a", state="draining")
    time.sleep(1.0)
    before = len(users.runs("s0-a"))
    for number in range(10):
        assert front.ask("/lookup/x", f"r{number}").status == 200
    assert len(users.runs("s0-a")) == before


def test_reused_address_runs_nothing_for_another(users: site.Site) -> None:
    """Guards against a request that another service's target runs."""
    front = users.add_front()
    stranger = users.targets["s1-a"].port
    users.list_target("s0-a", address=f"127.0.0.1:{stranger}")
    time.sleep(0.5)
    for number in range(10):
        assert front.ask("/lookup/x", f"r{number}").status == 200
    assert users.runs("s1-a") == []


def test_change_swallowed_by_a_silent_store_is_in_force_after_it(
    users: site.Site,
) -> None:
    """Guards against a watch that waits for what it has missed."""
    front = users.add_front()
    time.sleep(0.5)
    # The next watch begins 50 ms after this change, when the store is silent already.
    users.configure(2, [SEARCH, LOOKUP])
    users.faults(users.store, silent=True)
    time.sleep(2.5)
    assert front.ask("/lookup/x").status == 200
    users.faults(users.store)
    users.configure(3, [SEARCH])
    rig.wait_for(
        lambda: front.ask("/lookup/x").status == 404, "version 3 is in force", 3.0
    )


def test_older_configuration_is_never_put_in_force(users: site.Site) -> None:
    """Guards against a version that goes back."""
    front = users.add_front()
    users.configure(5, [SEARCH])
    rig.wait_for(lambda: front.ask("/lookup/x").status == 404, "version 5", 3.0)
    users.configure(4, [SEARCH, LOOKUP])
    time.sleep(1.0)
    assert front.ask("/lookup/x").status == 404


def test_caller_that_leaves_stops_the_work(users: site.Site) -> None:
    """Guards against targets that work for nobody."""
    front = users.add_front()
    for name in ("s0-a", "s0-b"):
        users.faults(users.targets[name], slow_ms=1500)
    connection = http.client.HTTPConnection("127.0.0.1", front.port)
    connection.request("GET", "/lookup/x", headers={"Host": site.HOST})
    time.sleep(0.2)
    connection.close()
    time.sleep(0.6)
    url = "/control/runs"
    withdrawn = [
        rig.call("GET", users.targets[name].url + url).document["withdrawn"]
        for name in ("s0-a", "s0-b")
    ]
    assert sum(withdrawn) >= 1


def test_planned_stop_cuts_off_no_request(users: site.Site) -> None:
    """Guards against requests that a restart loses."""
    front = users.add_front()
    for name in ("s0-a", "s0-b"):
        users.faults(users.targets[name], slow_ms=400)
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        asked = [callers.submit(front.ask, "/lookup/x", f"r{n}") for n in range(8)]
        time.sleep(0.1)
        front.process.signal(signal.SIGTERM)
        time.sleep(0.1)
        assert not front.ready()
        later = [callers.submit(front.ask, "/lookup/x", f"s{n}") for n in range(4)]
        replies = [each.result() for each in asked + later]
    assert [reply.status for reply in replies] == [200] * 12
    assert replies[-1].headers["connection"] == "close"
    assert front.process.wait(6.0) == 0
