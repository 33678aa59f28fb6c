"""Text report of the summary of an experiment."""

import math
import typing

from jackdawpass.bench import cluster, measure

Summary = dict[str, typing.Any]
_HEADER = (
    f"{'window':<14}{'policy':<9}{'queries':>8}{'p50 ms':>9}{'p99 ms':>9}"
    f"{'p99.9 ms':>10}{'coverage':>10}{'complete':>10}{'goodput/s':>11}"
)


def ratios(summary: Summary) -> dict[str, dict[str, float]]:
    """Return the ratios chosen / naive of the measures of each window."""
    chosen = summary[cluster.CHOSEN]["windows"]
    naive = summary[cluster.NAIVE]["windows"]
    return {name: _window_ratios(chosen[name], naive[name]) for name in chosen}


def render(title: str, summary: Summary) -> str:
    """Return the summary as a table with ratios."""
    lines = [title, _HEADER]
    for window, compared in ratios(summary).items():
        for policy in cluster.POLICIES:
            lines.append(_row(window, policy, summary[policy]["windows"][window]))
        lines.append(
            f"{window:<14}ratio: "
            + ", ".join(f"{name} {value:.3g}" for name, value in compared.items())
        )
    lines += [_policy_line(policy, summary[policy]) for policy in cluster.POLICIES]
    return "\n".join(lines)


def _window_ratios(chosen: Summary, naive: Summary) -> dict[str, float]:
    compared = {
        name: measure.ratio(value, naive["latency_ms"][name])
        for name, value in chosen["latency_ms"].items()
    }
    for name in ("coverage_mean", "goodput"):
        compared[name] = measure.ratio(chosen[name], naive[name])
    return compared


def _row(window: str, policy: str, measures: Summary) -> str:
    latency = measures["latency_ms"]
    return (
        f"{window:<14}{policy:<9}{measures['queries']:>8}{latency['p50']:>9.1f}"
        f"{latency['p99']:>9.1f}{latency['p99.9']:>10.1f}"
        f"{_percent(measures['coverage_mean']):>10}"
        f"{_percent(measures['complete_share']):>10}{measures['goodput']:>11.1f}"
    )


def _policy_line(policy: str, result: Summary) -> str:
    line = (
        f"{policy}: extra load {_percent(result['extra_load'])}, entry processor time "
        f"{result['entry_cpu_ms_per_query']:.2f} ms per query, generator late by up to "
        f"{result['generator_lag_ms_max']:.1f} ms"
    )
    if "recovery_seconds" in result:
        line += f", recovered after {result['recovery_seconds']:.1f} s"
    shares = result["busiest_share"].items()
    line += ", busiest " + ", ".join(f"{k} {_percent(v)}" for k, v in shares)
    notes = [note for note in result["notes"] if note]
    return f"{line}, notes {notes}" if notes else line


def _percent(value: float) -> str:
    return "-" if math.isnan(value) else f"{value * 100:.2f}%"
