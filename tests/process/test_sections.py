"""Tests of the status sections and gauges of an instance with real processes."""

import pathlib
import socket

from tests import rig
from tests.failures import load

PLACEMENT = {"lots-a": [0, 1]}


def test_status_and_gauges_contain_policy_and_control(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against status and gauges without limits, budgets or platform calls."""
    processes.add_target("lots-a", snapshots={"s1": PLACEMENT["lots-a"]})
    targets = processes.target_settings({"lots-a": "a"})
    processes.commit(rig.service_parts("lots", targets, PLACEMENT, shards=2))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(20.0)
        entry = processes.add_entry(
            tmp_path, statsd_host="127.0.0.1", statsd_port=server.getsockname()[1]
        )
        assert load.query(entry, "lots", "offers").status == 200
        status = rig.call("GET", entry.url + "/v1/status").document
        assert status["policy"]["targets"]["lots-a"]["limit"] > 0
        assert status["policy"]["services"]["lots"]["budget"] >= 0
        assert status["control"]["calls"]["watch"] >= 1
        missing = {"limits.lots-a", "budgets.lots", "platform_calls.watch"}
        while missing:
            lines = server.recv(4096).decode().splitlines()
            names = {line.split(":")[0] for line in lines}
            missing = {
                w for w in missing if not any(name.endswith(w) for name in names)
            }
