"""Comparison of routers under the same arrivals while some targets are slow."""

import dataclasses
import typing

from jackdawpass.bench import (
    experiment,
    layout,
    measure,
    routers,
    runner,
)

TITLE = "Routers compared, every eighth target slow"
SLOW_STRIDE = 8
SLOW_FACTOR = 5.0
# 20 shards of 4 targets serve up to 400 queries/s; a slow target serves a fifth of its
# share.
SIZES = layout.Layout(shards=20, replicas=4, service_ms=20.0, rate=60.0)
WINDOW = measure.Window("slow", 3, 12)


def _slow_targets(current: experiment.Round) -> None:
    for name in current.testbed.targets[::SLOW_STRIDE]:
        current.testbed.set_faults(name, slow_factor=SLOW_FACTOR)


EXPERIMENT = experiment.Experiment(
    name="routing",
    title=TITLE,
    sizes=SIZES,
    phases=experiment.make_steady_load(12),
    windows=(WINDOW,),
    events=(experiment.Event(0, _slow_targets),),
)


def run(seed: int, scale: float, rounds: int) -> dict[str, typing.Any]:
    """Return the measures of each router."""
    scaled = EXPERIMENT.scaled(scale)
    results = runner.run(scaled, seed, rounds, tuple(routers.SELECTORS))
    measured = {}
    for name in routers.SELECTORS:
        records = [each.record for each in results if each.policy == name]
        window = measure.summarize(records, scaled.windows[0], SIZES.timeout_ms)
        measured[name] = dataclasses.asdict(window)
    return measured


def render(measured: dict[str, typing.Any]) -> str:
    """Return the measures as a table."""
    lines = [TITLE, f"{'router':<18}{'queries':>8}{'p50 ms':>9}{'p99 ms':>9}"]
    for name, measures in measured.items():
        latency = measures["latency_ms"]
        lines.append(
            f"{name:<18}{measures['queries']:>8}{latency['p50']:>9.1f}"
            f"{latency['p99']:>9.1f}"
        )
    return "\n".join(lines)
