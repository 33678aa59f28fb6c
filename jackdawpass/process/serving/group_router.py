"""Routes the shards of one request to targets, or to instances nearer to them."""

import collections.abc

from jackdawpass.process.serving import peers, targets
from jackdawpass.request import machine

OnRequest = collections.abc.Callable[[float, str], None]


class GroupRouter:
    """Routes each shard of a request to a target of its group.

    First attempts at shards without a target in the own zone go together to an instance
    of a zone that has targets for them; all others go to targets.

    Parameters
    ----------
    known : Targets
        The listed targets.
    nearby : Peers or None
        Instances of other zones; None when targets alone are to be asked.
    groups : tuple of str
        Group of each shard.
    max_attempts : int
        Targets that the sub-request of a shard may be sent to.
    on_request : callable
        Called with the group of each shard that this instance has to answer for; those
        handed over are another one's.
    """

    def __init__(
        self,
        known: targets.Targets,
        nearby: peers.Peers | None,
        groups: tuple[str, ...],
        max_attempts: int,
        on_request: OnRequest,
    ) -> None:
        self._targets = known
        self._peers = nearby
        self._groups = groups
        self._max_attempts = max_attempts
        self._on_request = on_request

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.Excluded
    ) -> tuple[machine.Assignment, ...]:
        """Assign each shard that a usable target holds."""
        handed = () if excluded else self._hand_over(now, shards)
        rest = shards.difference(*(entry.shards for entry in handed))
        if not excluded:
            for shard in rest:
                self._on_request(now, self._groups[shard])
        direct = (self._direct(now, shard, excluded) for shard in sorted(rest))
        return handed + tuple(entry for entry in direct if entry is not None)

    def _direct(
        self, now: float, shard: int, excluded: machine.Excluded
    ) -> machine.Assignment | None:
        tried = excluded.get(shard, frozenset())
        shunned = [zone for name in tried if (zone := self._zone_of(name)) is not None]
        chosen = self._targets.choose(now, self._groups[shard], tried, shunned)
        if chosen is None:
            return None
        return machine.Assignment(chosen.listed.name, frozenset((shard,)))

    def _hand_over(
        self, now: float, shards: frozenset[int]
    ) -> tuple[machine.Assignment, ...]:
        if self._peers is None:
            return ()
        away = [s for s in shards if self._may_hand_over(now, self._groups[s])]
        if len(away) < peers.MIN_SHARDS:
            return ()
        found: dict[str, frozenset[int]] = {
            zone: frozenset(
                s for s in away if self._targets.has_in_zone(now, self._groups[s], zone)
            )
            for zone in self._peers.zones(now)
        }
        zone = max(found, key=lambda name: len(found[name]), default=None)
        if zone is None or len(found[zone]) < peers.MIN_SHARDS:
            return ()
        chosen = self._peers.choose(now, zone)
        if chosen is None:
            return ()
        return (machine.Assignment(chosen, found[zone]),)

    def _may_hand_over(self, now: float, group: str) -> bool:
        """Return whether another instance may try all targets of a group.

        With more targets than one request may be sent to, both instances together could
        send it to too many.
        """
        return (
            not self._targets.has_local(now, group)
            and self._targets.size(now, group) <= self._max_attempts
        )

    def _zone_of(self, name: str) -> str | None:
        return None if self._peers is None else self._peers.zone_of(name)
