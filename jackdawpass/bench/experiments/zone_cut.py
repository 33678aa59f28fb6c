"""One availability zone is cut off from the targets of the others, and vice versa."""

from jackdawpass.bench import experiment, layout

CUT_ZONE = "c"


def _cut_zone(current: experiment.Round) -> None:
    sizes = current.testbed.sizes
    others = [zone for zone in sizes.zones if zone != CUT_ZONE]
    for name, zone in sizes.zone_of.items():
        cut_zones = others if zone == CUT_ZONE else [CUT_ZONE]
        current.testbed.set_faults(name, cut_zones=cut_zones)


def _heal_zone(current: experiment.Round) -> None:
    current.testbed.control_all("faults")


EXPERIMENT = experiment.Experiment(
    name="zone-cut",
    title="A zone is cut off",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(18),
    windows=experiment.make_windows(
        ("before", 1, 4), ("cut", 4, 11), ("after", 12, 18)
    ),
    events=(experiment.Event(4, _cut_zone), experiment.Event(11, _heal_zone)),
    recovers_after=11.0,
)
