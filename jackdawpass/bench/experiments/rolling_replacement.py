"""All entry instances are replaced one after the other."""

from jackdawpass.bench import experiment, layout


def _replace(position: int) -> experiment.Action:
    def act(current: experiment.Round) -> None:
        entries = current.testbed.entries(current.policy)
        zone = current.testbed.sizes.zones[position]
        old = entries[position]
        entries[position] = current.testbed.start_entry(current.policy, zone)
        current.load.set_addresses([entry.port for entry in entries])
        current.testbed.stop_entry(old)

    return act


EXPERIMENT = experiment.Experiment(
    name="rolling-replacement",
    title="Rolling replacement of all entry instances",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(16),
    windows=experiment.make_windows(
        ("before", 1, 3), ("replacing", 3, 12), ("after", 12, 16)
    ),
    events=(
        experiment.Event(3, _replace(0)),
        experiment.Event(6, _replace(1)),
        experiment.Event(9, _replace(2)),
    ),
)
