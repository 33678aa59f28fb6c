"""Tests of the control plane with six instances in three zones, one process each."""

import pathlib
import signal
import time

from jackdawpass.bench import fleet
from tests import rig

# Allows for a busy machine; the benchmarks measure the actual times.
TIMEOUT_SECONDS = 60.0
INSTANCES = 6


def _commit(instances: fleet.Cluster) -> None:
    snapshot = f"s{instances.version + 1}"
    instances.commit(rig.service_parts("lots", {}, {}, shards=1, snapshot=snapshot))


def _start(processes: rig.Rig, tmp_path: pathlib.Path) -> fleet.Cluster:
    instances = processes.add_cluster(tmp_path, INSTANCES)
    unready = rig.call("GET", instances.instances["e0"].url + "/readyz")
    assert unready.status == 503
    assert unready.document == {"ready": False, "reason": "no_configuration"}
    _commit(instances)
    instances.wait_in_force(TIMEOUT_SECONDS)
    return instances


def _live_count(instance: fleet.Instance) -> int:
    return int(instance.status["view"]["live"])


def test_replacement_gets_the_configuration_from_peers(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a new instance that cannot become ready without the platform."""
    instances = _start(processes, tmp_path)
    processes.faults(processes.platform, down=True)
    instances.kill("e0")
    seed = instances.instances["e1"].address
    replacement = instances.replace("e0", [seed])
    instances.wait_in_force(TIMEOUT_SECONDS, [replacement])
    assert rig.call("GET", replacement.url + "/readyz").status == 200
    fleet.wait_for(
        lambda: _live_count(replacement) == INSTANCES, "all are known", TIMEOUT_SECONDS
    )


def test_paused_reader_delays_no_instance_and_catches_up(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a paused reader that delays its zone or reverts its version."""
    instances = _start(processes, tmp_path)
    reader = instances.instances[instances.readers("a")[0]]
    instances.signal(reader.name, signal.SIGSTOP)
    _commit(instances)
    instances.wait_in_force(TIMEOUT_SECONDS)
    instances.signal(reader.name, signal.SIGCONT)
    _commit(instances)
    instances.wait_in_force(TIMEOUT_SECONDS)
    assert reader.status["in_force"] == 3


def test_partitioned_zone_keeps_serving_and_catches_up(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a zone that loses its version, or keeps an old one afterwards."""
    instances = _start(processes, tmp_path)
    instances.set_delay(0.0014)
    instances.cut_zone("b")
    _commit(instances)
    partitioned = [instance for instance in instances.running() if instance.zone == "b"]
    others = [instance for instance in instances.running() if instance.zone != "b"]
    instances.wait_in_force(TIMEOUT_SECONDS, others)
    for instance in partitioned:
        assert instance.status["in_force"] == 1
        assert rig.call("GET", instance.url + "/readyz").status == 200
    instances.heal()
    instances.wait_in_force(TIMEOUT_SECONDS)


def test_platform_outage_costs_bounded_calls(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against unbounded calls while the platform is down and afterwards."""
    instances = _start(processes, tmp_path)
    processes.faults(processes.platform, down=True)
    before = _calls(instances)
    start = time.monotonic()
    time.sleep(8.0)
    processes.faults(processes.platform)
    _commit(instances)
    instances.wait_in_force(TIMEOUT_SECONDS)
    seconds = time.monotonic() - start
    # After a short backoff, a reader makes at most one list call and one watch per
    # second.
    assert _calls(instances) - before <= INSTANCES * (10 + 3 * seconds)


def test_listed_members_and_leaving_targets_reach_every_instance(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against a leaving target that is known only to the readers."""
    instances = _start(processes, tmp_path)
    target = {"id": "lots-a", "role": "target", "zone": "a", "address": "127.0.0.1:1"}
    instances.publish_list([{**target, "state": "leaving"}])

    def all_know_the_target() -> bool:
        views = [instance.status["view"] for instance in instances.running()]
        return all(view["leaving_targets"] == ["lots-a"] for view in views)

    fleet.wait_for(all_know_the_target, "all know the leaving target", TIMEOUT_SECONDS)
    instances.instances["e1"].process.send_signal(signal.SIGTERM)
    assert instances.instances["e1"].process.wait(TIMEOUT_SECONDS) == 0


def _calls(instances: fleet.Cluster) -> int:
    totals = 0
    for instance in instances.running():
        calls = instance.status["calls"]
        totals += sum(calls[kind] for kind in ("watch", "head", "chunk", "list"))
    return totals
