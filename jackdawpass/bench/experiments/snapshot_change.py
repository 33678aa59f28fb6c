"""A new snapshot with more shards is published; the old one is withdrawn later."""

from jackdawpass.bench import experiment, layout

NEW_SNAPSHOT = "s2"
ADDED_SHARDS = 12


def _new_placement(sizes: layout.Layout) -> dict[str, list[int]]:
    """Move each shard to the next position and add shards to the first ones."""
    placement: dict[str, list[int]] = {name: [] for name in sizes.placement}
    for shard in range(sizes.shards + ADDED_SHARDS):
        for replica in range(sizes.replicas):
            position = (shard + 1) % sizes.shards
            placement[layout.target_name(position, replica)].append(shard)
    return placement


def _publish(current: experiment.Round) -> None:
    sizes = current.testbed.sizes
    placement = _new_placement(sizes)
    for name, shards in sizes.placement.items():
        held = {layout.SNAPSHOT: shards, NEW_SNAPSHOT: placement[name]}
        current.testbed.control(name, "snapshots", {"snapshots": held})
    index = {
        "snapshot": NEW_SNAPSHOT,
        "shards": sizes.shards + ADDED_SHARDS,
        "placement": placement,
    }
    current.testbed.commit(None, index)


def _withdraw(current: experiment.Round) -> None:
    for name, shards in _new_placement(current.testbed.sizes).items():
        held = {NEW_SNAPSHOT: shards}
        current.testbed.control(name, "snapshots", {"snapshots": held})


EXPERIMENT = experiment.Experiment(
    name="snapshot-change",
    title="Snapshot change and repartition under load",
    sizes=layout.Layout(),
    phases=experiment.make_steady_load(14),
    windows=experiment.make_windows(
        ("before", 1, 4), ("changing", 4, 9), ("after", 9, 14)
    ),
    events=(experiment.Event(4, _publish), experiment.Event(6, _withdraw)),
)
