"""Reuse of connections to targets, tested with real processes."""

import pathlib

from tests import rig


def test_queries_reuse_their_connection(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a new connection for each sub-request."""
    processes.add_target("lots-a", snapshots={"s1": [0, 1]})
    targets = processes.target_settings({"lots-a": "a"})
    placement = {"lots-a": [0, 1]}
    processes.commit(rig.service_parts("lots", targets, placement, shards=2))
    entry = processes.add_entry(tmp_path)
    for _ in range(5):
        url = entry.url + "/v1/services/lots/query"
        assert rig.call("POST", url, {"query": "x"}).status == 200
    totals = processes.totals("lots-a")
    assert totals["received"] == 5
    # One connection asked for the totals.
    assert totals["connections_opened"] == 2
