"""Runs an experiment: both policies, alternating in several rounds."""

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

LEAD_SECONDS = 0.5
SETTLE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """What one round of one policy gave.

    Attributes
    ----------
    received : int
        Sub-requests that the targets received.
    cpu_seconds : float
        Processor time of the entry instances that lived through the whole round.
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
    chosen: experiment.Experiment,
    seed: int,
    rounds: int,
    policies: tuple[str, ...] = cluster.POLICIES,
) -> list[RoundResult]:
    """Run all rounds; the policy that begins alternates.

    All policies get the same arrivals in a round.
    """
    running = cluster.Cluster(chosen.sizes, seed, policies)
    results = []
    try:
        for number in range(rounds):
            order = policies if number % 2 == 0 else policies[::-1]
            for policy in order:
                results.append(_run_round(chosen, running, policy, seed + number))
                _restore(running)
    finally:
        running.close()
    return results


def _run_round(
    chosen: experiment.Experiment, running: cluster.Cluster, policy: str, seed: int
) -> RoundResult:
    sizes = chosen.sizes
    phases = [schedule.Phase(p.seconds, p.rate * sizes.rate) for p in chosen.phases]
    entries = list(running.entries(policy))
    received = running.received()
    cpu_before = {server: server.cpu_seconds for server in [*entries, *running.hosts]}
    start_at = time.monotonic() + LEAD_SECONDS
    addresses = [entry.port for entry in entries]
    generating = generators.Generators(sizes, phases, addresses, seed, start_at)
    current = experiment.Round(running, policy, generating)
    try:
        for event in chosen.events:
            time.sleep(max(0.0, start_at + event.at - time.monotonic()))
            event.act(current)
        record = generating.finish()
    finally:
        generating.close()
    kept = [entry for entry in entries if entry in running.entries(policy)]
    cpu = sum(entry.cpu_seconds - cpu_before[entry] for entry in kept)
    busiest = {
        "entry": _busiest(kept, cpu_before, chosen.seconds),
        "host": _busiest(running.hosts, cpu_before, chosen.seconds),
        "generator": generating.busy_share,
    }
    received = running.received() - received
    return RoundResult(policy, record, received, cpu, busiest, current.notes)


def _busiest(
    servers: list[processes.Server],
    before: dict[processes.Server, float],
    seconds: float,
) -> float:
    used = [server.cpu_seconds - before[server] for server in servers]
    return max(used, default=0.0) / seconds


def _restore(running: cluster.Cluster) -> None:
    """Undo what events did, so that each round starts alike."""
    running.control_all("faults")
    running.list_leaving()
    running.control_all(
        "options", {"cold_seconds": 0.0, "cold_factor": running.sizes.cold_factor}
    )
    running.control_all("restart")
    for name, shards in running.sizes.placement.items():
        running.control(name, "snapshots", {"snapshots": {layout.SNAPSHOT: shards}})
    running.commit(None, running.sizes.index())
    time.sleep(SETTLE_SECONDS)


def summarize(
    chosen: experiment.Experiment, results: list[RoundResult]
) -> dict[str, typing.Any]:
    """Return the measures of each policy over all of its rounds."""
    return {
        policy: _summarize_policy(
            chosen, [result for result in results if result.policy == policy]
        )
        for policy in cluster.POLICIES
    }


def _summarize_policy(
    chosen: experiment.Experiment, rounds: list[RoundResult]
) -> dict[str, typing.Any]:
    timeout_ms = chosen.sizes.timeout_ms
    records = [each.record for each in rounds]
    joined = measure.join(records)
    windows = {
        window.name: dataclasses.asdict(measure.summarize(records, window, timeout_ms))
        for window in chosen.windows
    }
    received = sum(each.received for each in rounds)
    queries = len(joined.starts)
    rows = measure.per_second(joined, chosen.seconds, timeout_ms)
    summary = {
        "windows": windows,
        "received": received,
        "extra_load": measure.extra_load(received, queries, chosen.sizes.shards),
        "entry_cpu_ms_per_query": _per_query_ms(rounds, queries),
        "busiest_share": {
            kind: max(each.busiest[kind] for each in rounds)
            for kind in ("entry", "host", "generator")
        },
        "generator_lag_ms_max": max(joined.lags_ms, default=0.0),
        "per_second": rows,
        "notes": [each.notes for each in rounds],
    }
    if chosen.recovers_after is not None:
        steady_p99_ms = windows[chosen.windows[0].name]["latency_ms"]["p99"]
        summary["recovery_seconds"] = measure.recovery_seconds(
            joined,
            chosen.recovers_after,
            chosen.seconds,
            timeout_ms,
            steady_p99_ms,
        )
    return summary


def _per_query_ms(results: list[RoundResult], queries: int) -> float:
    cpu = sum(result.cpu_seconds for result in results)
    return cpu / queries * 1000 if queries else 0.0
