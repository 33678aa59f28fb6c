"""One target among those of 60 shards straggles on every request."""

from jackdawpass.bench import experiment, layout

STRAGGLER = layout.target_name(7, 0)
STRAGGLE_MS = 150.0
# A straggler with 2 slots can serve half of these queries; at a higher rate it would
# saturate, and latencies would reflect the timeout instead of the injected delay.
SIZES = layout.Layout(rate=18.0)


def _slow_target(current: experiment.Round) -> None:
    current.testbed.set_faults(STRAGGLER, straggle_share=1.0, straggle_ms=STRAGGLE_MS)


EXPERIMENT = experiment.Experiment(
    name="one-straggler",
    title="One straggler in 60 shards",
    sizes=SIZES,
    phases=experiment.make_steady_load(14),
    windows=experiment.make_windows(("before", 1, 2), ("straggling", 4, 14)),
    events=(experiment.Event(2, _slow_target),),
)
