"""5% of the requests straggle, on every target."""

from jackdawpass.bench import experiment, layout

STRAGGLE_SHARE = 0.05
STRAGGLE_MS = 300.0


def _slow_some(current: experiment.Round) -> None:
    current.running.control_all(
        "faults", {"straggle_share": STRAGGLE_SHARE, "straggle_ms": STRAGGLE_MS}
    )


EXPERIMENT = experiment.Experiment(
    name="stragglers",
    title="5% stragglers on every target",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(14),
    windows=experiment.make_windows(("before", 1, 2), ("straggling", 4, 14)),
    events=(experiment.Event(2, _slow_some),),
)
