"""One availability zone is cut off from the targets of the others, and they from it."""

from jackdawpass.bench import experiment, layout

CUT = "c"


def _cut(current: experiment.Round) -> None:
    sizes = current.running.sizes
    others = [zone for zone in sizes.zones if zone != CUT]
    for name, zone in sizes.zone_of.items():
        cut_zones = others if zone == CUT else [CUT]
        current.running.faults(name, cut_zones=cut_zones)


def _heal(current: experiment.Round) -> None:
    current.running.control_all("faults")


EXPERIMENT = experiment.Experiment(
    name="zone-cut",
    title="A zone is cut off",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(18),
    windows=experiment.make_windows(
        ("before", 1, 4), ("cut", 4, 11), ("after", 12, 18)
    ),
    events=(experiment.Event(4, _cut), experiment.Event(11, _heal)),
    recovers_after=11.0,
)
