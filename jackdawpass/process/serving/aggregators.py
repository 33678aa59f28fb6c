"""Which instances of a zone ask the targets for all of them."""

import collections.abc
import dataclasses
import math

from jackdawpass.process import rendezvous

# Instances for which one aggregator asks: measured on a calm day, four of 48 keep
# connections warm and learn quickly of each target.
INSTANCES_PER_AGGREGATOR = 12
# Fewer would leave a zone without one while the other restarts.
MIN_AGGREGATORS = 2
# In zones of 4 to 9 instances the extra hop cost more than warm connections gained, as
# measured on days with trouble.
MIN_INSTANCES = 16
# Capacities within this factor count as equal, so that rank decides among them.
CAPACITY_STEP = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance as it registered itself.

    Attributes
    ----------
    host, port : str, int
        Where other instances reach it.
    capacity : float
        Grows with processor and link; only ratios have a meaning.
    """

    name: str
    zone: str
    host: str
    port: int
    capacity: float


def select(members: collections.abc.Iterable[Member], zone: str) -> tuple[Member, ...]:
    """Return the aggregators of a zone, the same ones for each who asks.

    Only the largest instances are chosen where there are enough of them: a request to
    many shards would take a small one longer than callers wait. Among equals the order
    is by hash, so that one that joins or leaves moves few duties.
    """
    local = {member.name: member for member in members if member.zone == zone}
    if len(local) < MIN_INSTANCES:
        return ()
    count = max(MIN_AGGREGATORS, math.ceil(len(local) / INSTANCES_PER_AGGREGATOR))
    ranked = rendezvous.ranked(f"aggregate {zone}", local)
    ranked.sort(key=lambda name: _step(local[name].capacity), reverse=True)
    top = _step(local[ranked[0]].capacity)
    largest = sum(_step(member.capacity) == top for member in local.values())
    count = min(count, max(MIN_AGGREGATORS, largest))
    return tuple(local[name] for name in ranked[:count])


def querying_members(members: collections.abc.Iterable[Member]) -> tuple[Member, ...]:
    """Return the instances that ask targets while all is well."""
    known = list(members)
    found: list[Member] = []
    for zone in sorted({member.zone for member in known}):
        local = [member for member in known if member.zone == zone]
        found += select(known, zone) or local
    return tuple(found)


def _step(capacity: float) -> int:
    return round(math.log(max(capacity, 1e-9), CAPACITY_STEP))
