"""Measurement of the processor time and memory of an entry instance's data path."""

import dataclasses
import json
import pathlib
import statistics
import time
import typing

from jackdawpass.bench import cluster, generators, layout, processes, schedule

TITLE = "Processor time and memory of an entry instance"
TARGET_COUNTS = (10, 50, 100, 190)
ROUND_COUNT = 3
LOAD_SECONDS = 4.0
# Sub-requests per second at which an entry instance is mostly idle.
SUB_REQUESTS_PER_SECOND = 1500.0
HELD_QUERY_COUNT = 40
PROFILED_QUERIES_PER_SECOND = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Measured costs of an entry instance.

    Attributes
    ----------
    query_us : dict of int to float
        Processor time per query in microseconds by the number of targets.
    per_query_us, per_sub_request_us : float
        Intercept and slope of a linear regression of `query_us`.
    agent_us : float
        Processor time per exchange of ``twisted.web``'s Agent.
    connection_bytes : float
        Memory per connection to a target.
    held_query_bytes : float
        Memory per query in flight to 190 targets, including its connections.
    """

    query_us: dict[int, float]
    per_query_us: float
    per_sub_request_us: float
    agent_us: float
    connection_bytes: float
    held_query_bytes: float


def run(seed: int, scale: float, out: pathlib.Path) -> Costs:
    """Measure the costs; also write a cProfile profile at the most targets."""
    agent_us = _agent_us(seed, scale)
    query_us = {
        count: _query_us(count, seed, LOAD_SECONDS * scale) for count in TARGET_COUNTS
    }
    slope, intercept = statistics.linear_regression(
        list(query_us.keys()), list(query_us.values())
    )
    _profile(seed, LOAD_SECONDS * scale, out / "path-cost.prof")
    held = _measure_memory(seed)
    return Costs(query_us, intercept, slope, agent_us, *held)


def render(costs: Costs) -> str:
    """Return the costs as text."""
    lines = [TITLE]
    for count, cost in costs.query_us.items():
        lines.append(f"{count:>4} targets: {cost:>9.0f} us per query")
    lines += [
        f"per sub-request {costs.per_sub_request_us:.0f} us, "
        f"per query {costs.per_query_us:.0f} us",
        f"twisted.web Agent: {costs.agent_us:.0f} us per exchange",
        f"memory per connection {costs.connection_bytes / 1024:.1f} KiB, per query in "
        f"flight to {TARGET_COUNTS[-1]} targets "
        f"{costs.held_query_bytes / 1024:.0f} KiB",
    ]
    return "\n".join(lines)


def _sizes(targets: int, **changes: typing.Any) -> layout.Layout:
    defaults = layout.Layout(
        shards=targets,
        replicas=1,
        zones=("a",),
        connect_ms=0.0,
        service_ms=0.5,
        spread=0.0,
        timeout_ms=5000,
        instances_max=1,
    )
    return dataclasses.replace(defaults, **changes)


def _query_us(targets: int, seed: int, seconds: float) -> float:
    """Return the median over the rounds of the processor time per query."""
    sizes = _sizes(targets)
    testbed = cluster.Cluster(sizes, seed, (cluster.CHOSEN,))
    try:
        entry = testbed.entries(cluster.CHOSEN)[0]
        rate = SUB_REQUESTS_PER_SECOND / targets
        _load(sizes, entry, rate, 1.0, seed)
        costs = []
        for number in range(ROUND_COUNT):
            before = entry.cpu_seconds
            queries = _load(sizes, entry, rate, seconds, seed + number)
            costs.append((entry.cpu_seconds - before) / queries * 1_000_000)
        return statistics.median(costs)
    finally:
        testbed.close()


def _load(
    sizes: layout.Layout,
    entry: processes.Server,
    rate: float,
    seconds: float,
    seed: int,
) -> int:
    """Send load to an entry instance; return the number of complete answers."""
    phases = [schedule.Phase(seconds, rate)]
    start_at = time.monotonic() + 0.5
    load_generators = generators.Generators(sizes, phases, [entry.port], seed, start_at)
    try:
        record = load_generators.finish()
    finally:
        load_generators.close()
    if any(covered != sizes.shards for covered in record.covered):
        raise RuntimeError("an answer was incomplete, so the costs would be wrong")
    return len(record.starts)


def _profile(seed: int, seconds: float, path: pathlib.Path) -> None:
    sizes = _sizes(TARGET_COUNTS[-1])
    flags = ("--profile", str(path))
    testbed = cluster.Cluster(sizes, seed, (cluster.CHOSEN,), flags)
    try:
        entry = testbed.entries(cluster.CHOSEN)[0]
        _load(sizes, entry, PROFILED_QUERIES_PER_SECOND, seconds, seed)
        testbed.stop_entry(entry)
    finally:
        testbed.close()


def _measure_memory(seed: int) -> tuple[float, float]:
    """Return the memory per connection, and per query in flight, in bytes.

    The targets never answer. The first half of the queries opens connections up to the
    limit; the second half waits without a connection.
    """
    sizes = _sizes(TARGET_COUNTS[-1], connections=HELD_QUERY_COUNT, timeout_ms=60_000)
    testbed = cluster.Cluster(sizes, seed, (cluster.CHOSEN,))
    try:
        entry = testbed.entries(cluster.CHOSEN)[0]
        _load(sizes, entry, SUB_REQUESTS_PER_SECOND / sizes.shards, 1.0, seed)
        testbed.control_all("faults", {"stall": True})
        idle_bytes = entry.resident_bytes
        opened_before = _count_connections(testbed)
        first = _start_held_queries(sizes, entry, seed)
        connected_bytes = entry.resident_bytes
        opened = _count_connections(testbed) - opened_before
        second = _start_held_queries(sizes, entry, seed + 1)
        waiting_bytes = entry.resident_bytes
        for each in (first, second):
            each.close()
    finally:
        testbed.close()
    per_query = (waiting_bytes - connected_bytes) / HELD_QUERY_COUNT
    connections = connected_bytes - idle_bytes - per_query * HELD_QUERY_COUNT
    return connections / opened, per_query


def _count_connections(testbed: cluster.Cluster) -> int:
    totals = testbed.control_all("totals").values()
    return sum(each["connections_opened"] for each in totals)


def _start_held_queries(
    sizes: layout.Layout, entry: processes.Server, seed: int
) -> generators.Generators:
    """Start queries that stay in flight, and wait until all have been sent."""
    rate = 20.0
    start_at = time.monotonic() + 0.5
    phases = [schedule.Phase(HELD_QUERY_COUNT / rate, rate)]
    load_generators = generators.Generators(sizes, phases, [entry.port], seed, start_at)
    time.sleep(0.5 + HELD_QUERY_COUNT / rate + 2.0)
    return load_generators


def _agent_us(seed: int, scale: float) -> float:
    """Return the processor time of an exchange through ``twisted.web``'s Agent."""
    sizes = _sizes(TARGET_COUNTS[0])
    testbed = cluster.Cluster(sizes, seed, ())
    try:
        task = {
            "ports": [testbed.ports[name] for name in sizes.placement],
            "exchanges": max(200, round(3000 * scale)),
        }
        process = processes.start("jackdawpass.bench.agent_cost")
        output, _ = process.communicate(json.dumps(task))
        return float(json.loads(output)["cpu_us"])
    finally:
        testbed.close()
