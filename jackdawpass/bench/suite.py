"""Experiments by name: their titles, runs and written results."""

import dataclasses
import json
import pathlib
import typing

from jackdawpass.bench import (
    experiment,
    experiments,
    path_cost,
    plots,
    report,
    routing,
    runner,
)

PATH_COST = "path-cost"
ROUTING = "routing"


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of an experiment; `scale` multiplies all times."""

    seed: int
    scale: float
    rounds: int
    out: pathlib.Path


def titles() -> dict[str, str]:
    """Return the title of each experiment by its name."""
    title_of = {each.name: each.title for each in experiments.ALL.values()}
    title_of[PATH_COST] = path_cost.TITLE
    title_of[ROUTING] = routing.TITLE
    return title_of


def run(name: str, options: Options) -> str:
    """Run an experiment, write its results and return them as text."""
    options.out.mkdir(parents=True, exist_ok=True)
    if name == PATH_COST:
        return _run_path_cost(options)
    if name == ROUTING:
        return _run_routing(options)
    return _run_experiment(experiments.ALL[name].scaled(options.scale), options)


def _run_experiment(spec: experiment.Experiment, options: Options) -> str:
    results = runner.run(spec, options.seed, options.rounds)
    summary = runner.summarize(spec, results)
    document = {
        "experiment": spec.name,
        "seed": options.seed,
        "scale": options.scale,
        "rounds": options.rounds,
        "sizes": dataclasses.asdict(spec.sizes),
        "policies": summary,
        "ratios": report.ratios(summary),
    }
    _write_json(options.out / f"{spec.name}.json", document)
    plots.write(options.out / f"{spec.name}.png", spec, results, summary)
    return report.render(spec.title, summary)


def _run_path_cost(options: Options) -> str:
    costs = path_cost.run(options.seed, options.scale, options.out)
    _write_json(options.out / f"{PATH_COST}.json", dataclasses.asdict(costs))
    return path_cost.render(costs)


def _run_routing(options: Options) -> str:
    measured = routing.run(options.seed, options.scale, options.rounds)
    _write_json(options.out / f"{ROUTING}.json", measured)
    return routing.render(measured)


def _write_json(path: pathlib.Path, document: dict[str, typing.Any]) -> None:
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
