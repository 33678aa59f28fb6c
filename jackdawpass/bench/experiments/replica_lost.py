"""One target stops; another replica of its shard still runs."""

from jackdawpass.bench import experiment, layout

STOPPED_TARGET = layout.target_name(7, 0)


def _stop_target(current: experiment.Round) -> None:
    current.testbed.control(STOPPED_TARGET, "stop")


EXPERIMENT = experiment.Experiment(
    name="replica-lost",
    title="A replica is lost",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(12),
    windows=experiment.make_windows(
        ("before", 1, 4), ("first second", 4, 5), ("after", 5, 12)
    ),
    events=(experiment.Event(4, _stop_target),),
)
