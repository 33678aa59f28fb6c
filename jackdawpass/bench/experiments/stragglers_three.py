"""5% of the requests straggle, with three replicas of each shard.

With two replicas, both straggle for 0.25% of the shards, which affects 14% of the
queries to 60 shards. As no third target is left, hedging cannot improve the 99th
percentile.
"""

import dataclasses

from jackdawpass.bench.experiments import stragglers

EXPERIMENT = dataclasses.replace(
    stragglers.EXPERIMENT,
    name="stragglers-3-replicas",
    title="5% stragglers on every target, three replicas",
    sizes=dataclasses.replace(stragglers.SIZES, replicas=3),
)
