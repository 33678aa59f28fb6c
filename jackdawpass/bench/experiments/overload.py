"""Twice the normal load for 20 s, followed by recovery."""

from jackdawpass.bench import experiment, layout, schedule

# Each shard has 2 targets with 2 slots, which serve 100 queries/s at the median service
# time. The mean is longer because of the spread, so the load is 60% of the capacity at
# 1x and 1.2 times the capacity at 2x.
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
