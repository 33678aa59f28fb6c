"""Routing of a request's shards to targets or to instances in the targets' zones."""

import collections.abc

from jackdawpass.process.serving import peers, targets
from jackdawpass.request import machine

OnRequest = collections.abc.Callable[[float, str], None]


class GroupRouter:
    """Router of each shard of a request to a target of its group.

    First attempts at shards without a local target go as one subquery to an instance of
    a zone that has targets for them; all others go to targets directly.

    Parameters
    ----------
    listed_targets : Targets
        The listed targets.
    instances : Peers or None
        Instances of other zones; None to send no subqueries.
    groups : tuple of str
        Group of each shard.
    max_attempts : int
        Number of targets that the sub-request of a shard may be sent to.
    on_request : callable
        Called with the group of each shard that this instance queries itself; the other
        instance counts the shards of a subquery.
    """

    def __init__(
        self,
        listed_targets: targets.Targets,
        instances: peers.Peers | None,
        groups: tuple[str, ...],
        max_attempts: int,
        on_request: OnRequest,
    ) -> None:
        self._targets = listed_targets
        self._peers = instances
        self._groups = groups
        self._max_attempts = max_attempts
        self._on_request = on_request

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard that has a usable target."""
        delegated = () if excluded else self._assign_subquery(now, shards)
        remaining = shards.difference(*(entry.shards for entry in delegated))
        if not excluded:
            for shard in remaining:
                self._on_request(now, self._groups[shard])
        direct = (
            self._assign_target(now, shard, excluded) for shard in sorted(remaining)
        )
        return delegated + tuple(entry for entry in direct if entry is not None)

    def _assign_target(
        self, now: float, shard: int, excluded: machine.ExcludedTargets
    ) -> machine.Assignment | None:
        tried = excluded.get(shard, frozenset())
        avoided_zones = [
            zone for name in tried if (zone := self._zone_of(name)) is not None
        ]
        chosen = self._targets.choose(now, self._groups[shard], tried, avoided_zones)
        if chosen is None:
            return None
        return machine.Assignment(chosen.listed.name, frozenset((shard,)))

    def _assign_subquery(
        self, now: float, shards: frozenset[int]
    ) -> tuple[machine.Assignment, ...]:
        if self._peers is None:
            return ()
        remote = [s for s in shards if self._may_delegate(now, self._groups[s])]
        if len(remote) < peers.MIN_SUBQUERY_SHARDS:
            return ()
        covered: dict[str, frozenset[int]] = {
            zone: frozenset(
                s
                for s in remote
                if self._targets.has_in_zone(now, self._groups[s], zone)
            )
            for zone in self._peers.zones(now)
        }
        zone = max(covered, key=lambda name: len(covered[name]), default=None)
        if zone is None or len(covered[zone]) < peers.MIN_SUBQUERY_SHARDS:
            return ()
        chosen = self._peers.choose(now, zone)
        if chosen is None:
            return ()
        return (machine.Assignment(chosen, covered[zone]),)

    def _may_delegate(self, now: float, group: str) -> bool:
        """Return whether another instance may query all targets of a group.

        If a group has more targets than `max_attempts`, both instances together could
        send the sub-request to more targets than allowed.
        """
        return (
            not self._targets.has_local(now, group)
            and self._targets.count_usable(now, group) <= self._max_attempts
        )

    def _zone_of(self, name: str) -> str | None:
        return None if self._peers is None else self._peers.zone_of(name)
