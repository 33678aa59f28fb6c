"""Twice the load for 20 s, then recovery."""

from jackdawpass.bench import experiment, layout, schedule

# 10 shards of 2 targets with 2 slots carry 10 queries a second and millisecond of
# running time; at 1x they are used to 60%, at 2x the load is 1.2 times the capacity.
SIZES = layout.Layout(shards=10, service_ms=40.0, rate=57.0, timeout_ms=500)

EXPERIMENT = experiment.Experiment(
    name="overload",
    title="2x overload for 20 s",
    sizes=SIZES,
    phases=(
        schedule.Phase(8, 1.0),
        schedule.Phase(20, 2.0),
        schedule.Phase(12, 1.0),
    ),
    windows=experiment.make_windows(("1x", 2, 8), ("2x", 9, 28), ("after 5 s", 33, 40)),
    recovers_after=28.0,
)
