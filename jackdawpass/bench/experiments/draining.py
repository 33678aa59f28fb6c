"""One target drains; 3 s later it must receive nothing new."""

from jackdawpass.bench import experiment, layout

DRAINING = layout.target_name(7, 0)


def _drain(current: experiment.Round) -> None:
    current.running.faults(DRAINING, draining=True)
    # An instance that sends the target nothing learns of the drain from the list only.
    current.running.list_leaving(DRAINING)


def _received(current: experiment.Round) -> int:
    return int(current.running.control(DRAINING, "totals").get("received", 0))


def _note_after_grace(current: experiment.Round) -> None:
    current.notes["received_after_grace"] = -_received(current)


def _note_at_end(current: experiment.Round) -> None:
    current.notes["received_after_grace"] += _received(current)


EXPERIMENT = experiment.Experiment(
    name="draining",
    title="A target drains",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(14),
    windows=experiment.make_windows(("before", 1, 4), ("draining", 4, 14)),
    events=(
        experiment.Event(4, _drain),
        experiment.Event(7, _note_after_grace),
        experiment.Event(14, _note_at_end),
    ),
)
