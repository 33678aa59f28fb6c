"""All targets are slow at once, so that extra sub-requests would only add load."""

from jackdawpass.bench import experiment, layout

SLOW_FACTOR = 8.0


def _slow_all(current: experiment.Round) -> None:
    current.testbed.control_all("faults", {"slow_factor": SLOW_FACTOR})


EXPERIMENT = experiment.Experiment(
    name="all-slow",
    title="All targets slow at once",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(12),
    windows=experiment.make_windows(("before", 1, 2), ("slow", 3, 12)),
    events=(experiment.Event(2, _slow_all),),
)
