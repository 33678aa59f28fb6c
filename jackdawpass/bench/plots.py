"""Plots of the latency, coverage and extra load of an experiment."""

import pathlib
import typing

import matplotlib

from jackdawpass.bench import cluster, measure, runner
from jackdawpass.bench import experiment as experiments

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

CURVE_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9)
FIGURE_INCHES = (11, 7)


def write(
    path: pathlib.Path,
    spec: experiments.Experiment,
    results: list[runner.RoundResult],
    summary: dict[str, typing.Any],
) -> None:
    """Write a figure with the latency, coverage and extra load of both policies."""
    figure, axes = plt.subplots(2, 2, figsize=FIGURE_INCHES)
    for policy in cluster.POLICIES:
        _plot_percentiles(axes[0][0], policy, spec, results)
        rows = summary[policy]["per_second"]
        starts = [row.begin for row in rows]
        axes[0][1].plot(starts, [row.p99_ms for row in rows], label=policy)
        axes[1][0].plot(starts, [row.coverage * 100 for row in rows], label=policy)
    extra = [summary[policy]["extra_load"] * 100 for policy in cluster.POLICIES]
    axes[1][1].bar(cluster.POLICIES, extra)
    _label(axes[0][0], "percentile", "latency, ms")
    _label(axes[0][1], "time, s", "99th percentile, ms")
    _label(axes[1][0], "time, s", "coverage, %")
    axes[1][1].set_ylabel("extra sub-requests, %")
    for axis in axes[0]:
        axis.set_yscale("log")
    figure.suptitle(spec.title)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _plot_percentiles(
    axis: typing.Any,
    policy: str,
    spec: experiments.Experiment,
    results: list[runner.RoundResult],
) -> None:
    record = measure.join(each.record for each in results if each.policy == policy)
    positions = range(len(record.starts))
    counts = measure.histogram(record, positions, spec.sizes.timeout_ms)
    values = [counts.get_value_at_percentile(p) / 1000 for p in CURVE_PERCENTILES]
    axis.plot([f"{each:g}" for each in CURVE_PERCENTILES], values, label=policy)


def _label(axis: typing.Any, x: str, y: str) -> None:
    axis.set_xlabel(x)
    axis.set_ylabel(y)
    axis.legend()
