"""One target drains; after 3 s it must receive no new sub-requests."""

from jackdawpass.bench import experiment, layout

DRAINING = layout.target_name(7, 0)


def _drain(current: experiment.Round) -> None:
    current.testbed.set_faults(DRAINING, draining=True)
    # Instances that send the target no requests learn of the drain only from the list.
    current.testbed.list_leaving(DRAINING)


def _received(current: experiment.Round) -> int:
    return int(current.testbed.control(DRAINING, "totals").get("received", 0))


def _note_at_grace_end(current: experiment.Round) -> None:
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
        experiment.Event(7, _note_at_grace_end),
        experiment.Event(14, _note_at_end),
    ),
)
