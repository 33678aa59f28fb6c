"""Every tenth target restarts and serves slowly while it is cold."""

from jackdawpass.bench import experiment, layout

RESTART_STRIDE = 10
COLD_SECONDS = 4.0


def _restart_targets(current: experiment.Round) -> None:
    for name in current.testbed.targets[::RESTART_STRIDE]:
        current.testbed.control(name, "options", {"cold_seconds": COLD_SECONDS})
        current.testbed.control(name, "stop")
        current.testbed.control(name, "restart")


EXPERIMENT = experiment.Experiment(
    name="cold-start",
    title="Every tenth target restarts cold",
    sizes=layout.Layout(cold_factor=10.0),
    phases=experiment.make_steady_load(14),
    windows=experiment.make_windows(("before", 1, 4), ("cold", 4, 8), ("after", 9, 14)),
    events=(experiment.Event(4, _restart_targets),),
)
