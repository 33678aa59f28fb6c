"""Selection of a zone's aggregators: instances that query targets for the others."""

import collections.abc
import dataclasses
import math

from jackdawpass.process import rendezvous

# With four aggregators for 48 instances, connections stay warm, and each aggregator
# learns quickly about every target.
INSTANCES_PER_AGGREGATOR = 12
# A single one would leave the zone without an aggregator while it restarts.
MIN_AGGREGATORS = 2
# Smallest zone with aggregators. In zones of 4 to 9 instances the extra hop costs more
# than warm connections gain when targets or instances fail.
MIN_ZONE_INSTANCES = 16
# Capacities are rounded to powers of this factor; rank decides among equal ones.
CAPACITY_STEP = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance as registered in the store.

    Attributes
    ----------
    host, port : str, int
        Address on which it accepts requests from other instances.
    capacity : float
        Relative capacity of its processor and network link; only ratios matter.
    """

    name: str
    zone: str
    host: str
    port: int
    capacity: float


def select(members: collections.abc.Iterable[Member], zone: str) -> tuple[Member, ...]:
    """Return the aggregators of a zone; all instances compute the same result.

    Only the largest instances are selected if there are enough of them: a small one
    would take longer for a request to many shards than callers wait. Instances of equal
    capacity are ordered by hash, so that a join or a leave changes few aggregators.
    """
    local = {member.name: member for member in members if member.zone == zone}
    if len(local) < MIN_ZONE_INSTANCES:
        return ()
    count = max(MIN_AGGREGATORS, math.ceil(len(local) / INSTANCES_PER_AGGREGATOR))
    ranked = rendezvous.ranked(f"aggregate {zone}", local)
    ranked.sort(key=lambda name: _capacity_step(local[name].capacity), reverse=True)
    top = _capacity_step(local[ranked[0]].capacity)
    largest = sum(_capacity_step(member.capacity) == top for member in local.values())
    count = min(count, max(MIN_AGGREGATORS, largest))
    return tuple(local[name] for name in ranked[:count])


def querying_members(members: collections.abc.Iterable[Member]) -> tuple[Member, ...]:
    """Return the instances that query targets in normal operation."""
    known = list(members)
    found: list[Member] = []
    for zone in sorted({member.zone for member in known}):
        local = [member for member in known if member.zone == zone]
        found += select(known, zone) or local
    return tuple(found)


def _capacity_step(capacity: float) -> int:
    return round(math.log(max(capacity, 1e-9), CAPACITY_STEP))
