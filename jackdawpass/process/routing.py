"""Choice of targets for the shards of a snapshot."""

import collections

from jackdawpass.request import machine
from jackdawpass.version import catalog


class ServiceRouter:
    """Routes the shards of one service, preferring the local zone.

    Parameters
    ----------
    service : Service
        Declares the targets.
    shard_map : ShardMap
        Says which targets hold which shard.
    zone : str
        Availability zone of this instance.
    """

    def __init__(
        self, service: catalog.Service, shard_map: catalog.ShardMap, zone: str
    ) -> None:
        self._service = service
        self._shard_map = shard_map
        self._zone = zone

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.Excluded
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard to a target, using few targets."""
        chosen: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            banned = excluded.get(shard, frozenset())
            names = [n for n in self._shard_map.replicas[shard] if n not in banned]
            if names:
                chosen[min(names, key=self._preference)].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each)) for name, each in chosen.items()
        )

    def _preference(self, name: str) -> tuple[bool, str]:
        return (self._service.targets[name].zone != self._zone, name)
