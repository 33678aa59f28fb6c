"""One target dies; another replica of its shard lives."""

from jackdawpass.bench import experiment, layout

LOST = layout.target_name(7, 0)


def _lose(current: experiment.Round) -> None:
    current.running.control(LOST, "stop")


EXPERIMENT = experiment.Experiment(
    name="replica-lost",
    title="A replica is lost",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(12),
    windows=experiment.make_windows(
        ("before", 1, 4), ("first second", 4, 5), ("after", 5, 12)
    ),
    events=(experiment.Event(4, _lose),),
)
