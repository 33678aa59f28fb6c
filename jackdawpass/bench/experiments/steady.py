"""Load without faults, the reference for all other experiments."""

from jackdawpass.bench import experiment, layout

EXPERIMENT = experiment.Experiment(
    name="steady",
    title="Steady load without a fault",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(12),
    windows=experiment.make_windows(("steady", 2, 12)),
)
