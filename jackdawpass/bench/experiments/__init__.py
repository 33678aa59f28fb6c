"""The experiments, one per module; `ALL` maps their names to them."""

from jackdawpass.bench import experiment
from jackdawpass.bench.experiments import (
    all_slow,
    cold_start,
    draining,
    false_endpoints,
    one_straggler,
    overload,
    replica_lost,
    rolling_replacement,
    snapshot_change,
    steady,
    stragglers,
    stragglers_three,
    zone_cut,
)

ALL: dict[str, experiment.Experiment] = {
    module.EXPERIMENT.name: module.EXPERIMENT
    for module in (
        steady,
        one_straggler,
        stragglers,
        stragglers_three,
        replica_lost,
        draining,
        cold_start,
        false_endpoints,
        overload,
        all_slow,
        zone_cut,
        snapshot_change,
        rolling_replacement,
    )
}
