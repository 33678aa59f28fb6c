"""End-to-end tests of the query path with separate processes."""

import pathlib

from tests import rig

PLACEMENT = {"lots-a": [0, 1, 2], "lots-b": [3, 4, 5]}


def _start(processes: rig.Rig, tmp_path: pathlib.Path) -> list[rig.Process]:
    for name, zone in (("lots-a", "a"), ("lots-b", "b")):
        processes.add_target(name, zone=zone, snapshots={"s1": PLACEMENT[name]})
    targets = processes.target_settings({"lots-a": "a", "lots-b": "b"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=6))
    return [
        processes.add_entry(tmp_path, instance=f"entry-{zone}", zone=zone)
        for zone in ("a", "b")
    ]


def test_query_is_answered_by_each_instance(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a query path that works only within one process."""
    for entry in _start(processes, tmp_path):
        answer = rig.call(
            "POST", entry.url + "/v1/services/lots/query", {"query": "offers"}
        )
        assert answer.status == 200
        assert answer.document["complete"] is True
        assert answer.document["snapshot"] == "s1"
        ids = [item["id"] for item in answer.document["results"]]
        assert len(ids) == len(set(ids)) == 30


def test_killed_target_gives_a_correct_partial_answer(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against coverage that includes shards of a killed target."""
    entry = _start(processes, tmp_path)[0]
    processes.targets["lots-b"].stop()
    answer = rig.call(
        "POST", entry.url + "/v1/services/lots/query", {"query": "offers"}
    )
    assert answer.status == 200
    assert answer.document["complete"] is False
    missing = [entry["shard"] for entry in answer.document["coverage"]["missing"]]
    assert missing == [3, 4, 5]


def test_malformed_requests_reach_no_target(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against `not_run` for a malformed request that was sent to a target."""
    entry = _start(processes, tmp_path)[0]
    url = entry.url + "/v1/services/lots/query"
    bodies = (
        b"{",
        b"[]",
        b"{}",
        b'{"query": 1, "timeout_ms": 0}',
        b'{"query": 1, "timeout_ms": -5}',
        b'{"query": 1, "timeout_ms": "7"}',
        b'{"query": 1, "min_coverage": 2}',
        b'{"query": 1, "unknown": 2}',
        b'{"query": 1, "idempotent": false}',
    )
    for body in bodies:
        answer = rig.call_raw("POST", url, body)
        assert answer.status == 400
        assert answer.document["outcome"] == "not_run"
    large = rig.call("POST", url, {"query": "x" * 2_000_000})
    assert large.status == 413
    unknown = rig.call("POST", entry.url + "/v1/services/no/query", {"query": 1})
    assert unknown.status == 404
    assert processes.totals("lots-a").get("received", 0) == 0
    assert processes.totals("lots-b").get("received", 0) == 0
