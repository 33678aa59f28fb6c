"""Measurement of the cost of control and of the time until changes are in force.

Run as ``python -m jackdawpass.bench.control_cost``; prints one JSON document.
"""

import argparse
import collections.abc
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from jackdawpass.bench import fleet
from jackdawpass.connection import blocking
from jackdawpass.version import parts

INSTANCE_COUNTS = (5, 10, 20, 40)
SERVICE_COUNT = 50
TARGETS_PER_SERVICE = 2
FIRST_TARGET_PORT = 2000
IDLE_SECONDS = 8.0
DISTRIBUTION_SECONDS = 0.5
SETTLE_SECONDS = 6.0
# Links that are no longer needed close 10 s after the start.
START_SETTLE_SECONDS = 14.0
OUTAGE_SECONDS = 15.0
CUT_SECONDS = 8.0
TIMEOUT_SECONDS = 60.0
CALL_KINDS = ("watch", "head", "chunk", "list")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

Document = dict[str, typing.Any]


class Totals:
    """Counters of all running instances, summed at one time."""

    def __init__(self, cluster: fleet.Cluster) -> None:
        running = cluster.running()
        self.measured_at = time.monotonic()
        self.count = len(running)
        self.cpu_seconds = sum(_cpu_seconds(each) for each in running)
        statuses = [each.status for each in running]
        traffic = [each["traffic"] for each in statuses]
        self.bytes = sum(t["bytes_sent"] + t["bytes_received"] for t in traffic)
        self.messages = sum(
            t["messages_sent"] + t["messages_received"] for t in traffic
        )
        self.calls = {
            kind: sum(each["calls"][kind] for each in statuses) for kind in CALL_KINDS
        }
        self.memory = [_memory_bytes(each) for each in running]

    @property
    def total_calls(self) -> int:
        """Number of platform calls of all kinds."""
        return sum(self.calls.values())


def service_parts(number: int, revision: int) -> dict[str, bytes]:
    """Return the parts of one service; `revision` affects only its index."""
    name = f"service-{number}"
    # No target listens, but the schema requires distinct addresses.
    first_port = FIRST_TARGET_PORT + number * TARGETS_PER_SERVICE
    targets = {
        f"{name}-{n}": {
            "host": "127.0.0.1",
            "port": first_port + n,
            "zone": fleet.ZONES[n],
        }
        for n in range(TARGETS_PER_SERVICE)
    }
    placement = {target: list(range(8)) for target in targets}
    index = {"snapshot": f"s{revision}", "shards": 8, "placement": placement}
    changes = parts.split_base({"services": {name: {"targets": targets}}})
    changes[parts.INDEX_PREFIX + name] = parts.encode(index)
    return changes


def change_index(cluster: fleet.Cluster) -> None:
    """Commit a new index of one service."""
    revision = cluster.version + 1
    name = f"{parts.INDEX_PREFIX}service-{revision % SERVICE_COUNT}"
    cluster.commit({name: service_parts(revision % SERVICE_COUNT, revision)[name]})


def in_force_seconds(
    instances: collections.abc.Iterable[fleet.Instance], committed_at: float
) -> list[float]:
    """Return the time in seconds from a commit until it was in force at each instance.

    Each instance reports the age of its catalog, so that no polling adds load while the
    change is distributed.
    """
    seconds = []
    for each in instances:
        status = each.status
        seconds.append(time.monotonic() - status["in_force_age"] - committed_at)
    return seconds


def measure_change(
    cluster: fleet.Cluster, instances: list[fleet.Instance] | None = None
) -> list[float]:
    """Commit one change and return the seconds until each instance had it in force."""
    committed_at = time.monotonic()
    change_index(cluster)
    time.sleep(DISTRIBUTION_SECONDS)
    awaited = cluster.running() if instances is None else instances
    cluster.wait_in_force(TIMEOUT_SECONDS, awaited)
    return in_force_seconds(awaited, committed_at)


def measure_size(cluster: fleet.Cluster, changes: int) -> Document:
    """Measure the cost of an idle cluster and of changes."""
    time.sleep(START_SETTLE_SECONDS)
    start = Totals(cluster)
    time.sleep(IDLE_SECONDS)
    idle = Totals(cluster)
    cluster_seconds = []
    instance_seconds: list[float] = []
    for _ in range(changes):
        seconds = measure_change(cluster)
        cluster_seconds.append(max(seconds))
        instance_seconds += seconds
    end = Totals(cluster)
    idle_call_rate = (idle.total_calls - start.total_calls) / (
        idle.measured_at - start.measured_at
    )
    change_calls = (
        end.total_calls
        - idle.total_calls
        - idle_call_rate * (end.measured_at - idle.measured_at)
    )
    chunk_reads = end.calls["chunk"] - idle.calls["chunk"]
    return {
        "instances": start.count,
        "links_max": max(len(each.status["links"]) for each in cluster.running()),
        "readers": [len(cluster.readers(zone)) for zone in fleet.ZONES],
        "everywhere_p50_ms": _ms(statistics.median(cluster_seconds)),
        "everywhere_max_ms": _ms(max(cluster_seconds)),
        "instance_p50_ms": _ms(statistics.median(instance_seconds)),
        "idle_calls_per_second": round(idle_call_rate, 2),
        "calls_per_change": round(change_calls / changes, 2),
        "calls_per_change_and_instance": round(change_calls / changes / end.count, 3),
        "chunk_reads_per_change": round(chunk_reads / changes, 2),
        "idle": _rates(start, idle),
        "changing": _rates(idle, end),
        "memory_mb_max": round(max(end.memory) / 2**20, 1),
    }


def _rates(start: Totals, end: Totals) -> Document:
    seconds = (end.measured_at - start.measured_at) * end.count
    # Each message is counted at both its sender and its receiver, since both spend
    # resources on it.
    return {
        "bytes_per_instance_second": round((end.bytes - start.bytes) / seconds),
        "messages_per_instance_second": round(
            (end.messages - start.messages) / seconds, 2
        ),
        "cpu_percent_per_instance": round(
            100 * (end.cpu_seconds - start.cpu_seconds) / seconds, 3
        ),
    }


def killed_reader(cluster: fleet.Cluster) -> Document:
    """Kill a reader, change the configuration immediately, then replace the reader."""
    reader = cluster.readers("a")[0]
    cluster.kill(reader)
    seconds = measure_change(cluster)
    cluster.set_faults(down=True)
    seed = cluster.running()[0].address
    started = time.monotonic()
    replacement = cluster.replace(reader, [seed])
    cluster.wait_in_force(TIMEOUT_SECONDS, [replacement])
    ready = in_force_seconds([replacement], started)[0]
    cluster.set_faults()
    cluster.publish_list()
    return {
        "everywhere_ms": _ms(max(seconds)),
        "replacement_ready_platform_down_ms": _ms(ready),
    }


def stopped_reader(cluster: fleet.Cluster) -> Document:
    """Suspend a reader, change the configuration, resume the reader."""
    reader = cluster.instances[cluster.readers("b")[0]]
    cluster.signal(reader.name, signal.SIGSTOP)
    seconds = measure_change(cluster)
    time.sleep(SETTLE_SECONDS)
    later = measure_change(cluster)
    cluster.signal(reader.name, signal.SIGCONT)
    resumed_at = time.monotonic()
    cluster.wait_in_force(TIMEOUT_SECONDS, [reader])
    return {
        "others_ms": _ms(max(seconds)),
        "others_after_suspicion_ms": _ms(max(later)),
        "resumed_catches_up_ms": _ms(in_force_seconds([reader], resumed_at)[0]),
    }


def cut_zone(cluster: fleet.Cluster) -> Document:
    """Partition a zone, change the configuration, end the partition."""
    cut = [each for each in cluster.running() if each.zone == "c"]
    others = [each for each in cluster.running() if each.zone != "c"]
    cluster.cut_zone("c")
    before = cluster.version
    time.sleep(CUT_SECONDS)
    seconds = measure_change(cluster, others)
    kept = all(each.status["in_force"] == before for each in cut)
    ready = all(
        blocking.call("GET", f"{each.url}/readyz").status == 200 for each in cut
    )
    healed_at = time.monotonic()
    cluster.heal()
    cluster.wait_in_force(TIMEOUT_SECONDS, cut)
    return {
        "others_ms": _ms(max(seconds)),
        "cut_zone_keeps_version": kept,
        "cut_zone_ready": ready,
        "caught_up_after_heal_ms": _ms(max(in_force_seconds(cut, healed_at))),
    }


def platform_outage(cluster: fleet.Cluster) -> Document:
    """Take the platform down, bring it back and change the configuration."""
    start = Totals(cluster)
    cluster.set_faults(down=True)
    time.sleep(OUTAGE_SECONDS)
    down = Totals(cluster)
    cluster.set_faults()
    returned_at = time.monotonic()
    seconds = measure_change(cluster)
    back = Totals(cluster)
    time.sleep(SETTLE_SECONDS)
    settled = Totals(cluster)
    return {
        "calls_per_second_while_down": _call_rate(start, down),
        "calls_in_first_seconds_back": back.total_calls - down.total_calls,
        "first_seconds_back": round(back.measured_at - returned_at, 2),
        "calls_per_second_after": _call_rate(back, settled),
        "everywhere_after_return_ms": _ms(max(seconds)),
    }


def _call_rate(start: Totals, end: Totals) -> float:
    return round(
        (end.total_calls - start.total_calls) / (end.measured_at - start.measured_at), 2
    )


def slopes(sizes: list[Document]) -> Document:
    """Return the least-squares slope of each measure per added instance."""
    counts = [each["instances"] for each in sizes]
    if len(set(counts)) < 2:
        return {}
    series = {
        "calls_per_change": [each["calls_per_change"] for each in sizes],
        "idle_calls_per_second": [each["idle_calls_per_second"] for each in sizes],
        "everywhere_p50_ms": [each["everywhere_p50_ms"] for each in sizes],
    }
    for name in ("bytes_per_instance_second", "cpu_percent_per_instance"):
        series[name] = [each["changing"][name] for each in sizes]
    return {
        name: round(statistics.linear_regression(counts, values).slope, 4)
        for name, values in series.items()
    }


def run_size(count: int, changes: int, faults: bool) -> Document:
    """Start a cluster of `count` instances, measure it and kill it."""
    command = [sys.executable, "-m", "jackdawpass", "stand-in", "platform"]
    platform = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert platform.stdout is not None
    url = f"http://127.0.0.1:{json.loads(platform.stdout.readline())['port']}"
    with tempfile.TemporaryDirectory() as directory:
        cluster = fleet.Cluster(url, pathlib.Path(directory))
        try:
            return _run(cluster, count, changes, faults)
        finally:
            cluster.close()
            platform.kill()
            platform.wait()


def _run(cluster: fleet.Cluster, count: int, changes: int, faults: bool) -> Document:
    all_parts: dict[str, bytes] = {}
    for number in range(SERVICE_COUNT):
        all_parts.update(service_parts(number, 0))
    cluster.commit(all_parts)
    cluster.start(count)
    cluster.wait_in_force(TIMEOUT_SECONDS)
    document = measure_size(cluster, changes)
    if faults:
        for scenario in (killed_reader, stopped_reader, cut_zone, platform_outage):
            document[scenario.__name__] = scenario(cluster)
            time.sleep(SETTLE_SECONDS)
    return document


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the measurement and print its JSON document."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(INSTANCE_COUNTS))
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument(
        "--faults-at", type=int, default=20, help="size at which faults are injected"
    )
    options = parser.parse_args(argv)
    sizes = [
        run_size(size, options.changes, size == options.faults_at)
        for size in options.sizes
    ]
    print(json.dumps({"sizes": sizes, "slope_per_instance": slopes(sizes)}, indent=2))
    return 0


def _cpu_seconds(instance: fleet.Instance) -> float:
    stat = pathlib.Path(f"/proc/{instance.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _memory_bytes(instance: fleet.Instance) -> int:
    statm = pathlib.Path(f"/proc/{instance.process.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


if __name__ == "__main__":
    sys.exit(main())
