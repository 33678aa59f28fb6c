"""Runner of an experiment: rounds of all policies, in alternating order."""

import dataclasses
import time
import typing

from jackdawpass.bench import (
    cluster,
    experiment,
    generators,
    layout,
    load,
    measure,
    processes,
    schedule,
)

START_DELAY_SECONDS = 0.5
SETTLE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """Result of one round of one policy.

    Attributes
    ----------
    received : int
        Number of sub-requests that the targets received.
    cpu_seconds : float
        Processor time of the entry instances that ran for the whole round.
    busiest : dict of str to float
        Share of a core that the busiest process of each kind used.
    """

    policy: str
    record: load.Record
    received: int
    cpu_seconds: float
    busiest: dict[str, float]
    notes: experiment.Notes


def run(
    spec: experiment.Experiment,
    seed: int,
    rounds: int,
    policies: tuple[str, ...] = cluster.POLICIES,
) -> list[RoundResult]:
    """Run all rounds; their order of policies alternates.

    All policies get the same arrivals within a round.
    """
    testbed = cluster.Cluster(spec.sizes, seed, policies)
    results = []
    try:
        for number in range(rounds):
            order = policies if number % 2 == 0 else policies[::-1]
            for policy in order:
                results.append(_run_round(spec, testbed, policy, seed + number))
                _reset(testbed)
    finally:
        testbed.close()
    return results


def _run_round(
    spec: experiment.Experiment, testbed: cluster.Cluster, policy: str, seed: int
) -> RoundResult:
    sizes = spec.sizes
    phases = [schedule.Phase(p.seconds, p.rate * sizes.rate) for p in spec.phases]
    entries = list(testbed.entries(policy))
    received = testbed.count_received()
    cpu_before = {server: server.cpu_seconds for server in [*entries, *testbed.hosts]}
    start_at = time.monotonic() + START_DELAY_SECONDS
    addresses = [entry.port for entry in entries]
    load_generators = generators.Generators(sizes, phases, addresses, seed, start_at)
    current = experiment.Round(testbed, policy, load_generators)
    try:
        for event in spec.events:
            time.sleep(max(0.0, start_at + event.at - time.monotonic()))
            event.act(current)
        record = load_generators.finish()
    finally:
        load_generators.close()
    kept = [entry for entry in entries if entry in testbed.entries(policy)]
    cpu = sum(entry.cpu_seconds - cpu_before[entry] for entry in kept)
    busiest = {
        "entry": _busiest(kept, cpu_before, spec.seconds),
        "host": _busiest(testbed.hosts, cpu_before, spec.seconds),
        "generator": load_generators.busy_share,
    }
    received = testbed.count_received() - received
    return RoundResult(policy, record, received, cpu, busiest, current.notes)


def _busiest(
    servers: list[processes.Server],
    before: dict[processes.Server, float],
    seconds: float,
) -> float:
    used = [server.cpu_seconds - before[server] for server in servers]
    return max(used, default=0.0) / seconds


def _reset(testbed: cluster.Cluster) -> None:
    """Undo the effects of events, so that every round starts in the same state."""
    testbed.control_all("faults")
    testbed.list_leaving()
    testbed.control_all(
        "options", {"cold_seconds": 0.0, "cold_factor": testbed.sizes.cold_factor}
    )
    testbed.control_all("restart")
    for name, shards in testbed.sizes.placement.items():
        testbed.control(name, "snapshots", {"snapshots": {layout.SNAPSHOT: shards}})
    testbed.commit(None, testbed.sizes.index())
    time.sleep(SETTLE_SECONDS)


def summarize(
    spec: experiment.Experiment, results: list[RoundResult]
) -> dict[str, typing.Any]:
    """Return the measures of each policy over all its rounds."""
    return {
        policy: _summarize_policy(
            spec, [result for result in results if result.policy == policy]
        )
        for policy in cluster.POLICIES
    }


def _summarize_policy(
    spec: experiment.Experiment, rounds: list[RoundResult]
) -> dict[str, typing.Any]:
    timeout_ms = spec.sizes.timeout_ms
    records = [each.record for each in rounds]
    joined = measure.join(records)
    windows = {
        window.name: dataclasses.asdict(measure.summarize(records, window, timeout_ms))
        for window in spec.windows
    }
    received = sum(each.received for each in rounds)
    queries = len(joined.starts)
    rows = measure.per_second(joined, spec.seconds, timeout_ms)
    summary = {
        "windows": windows,
        "received": received,
        "extra_load": measure.extra_load(received, queries, spec.sizes.shards),
        "entry_cpu_ms_per_query": _per_query_ms(rounds, queries),
        "busiest_share": {
            kind: max(each.busiest[kind] for each in rounds)
            for kind in ("entry", "host", "generator")
        },
        "generator_lag_ms_max": max(joined.lags_ms, default=0.0),
        "per_second": rows,
        "notes": [each.notes for each in rounds],
    }
    if spec.recovers_after is not None:
        steady_p99_ms = windows[spec.windows[0].name]["latency_ms"]["p99"]
        summary["recovery_seconds"] = measure.recovery_seconds(
            joined,
            spec.recovers_after,
            spec.seconds,
            timeout_ms,
            steady_p99_ms,
        )
    return summary


def _per_query_ms(results: list[RoundResult], queries: int) -> float:
    cpu = sum(result.cpu_seconds for result in results)
    return cpu / queries * 1000 if queries else 0.0
