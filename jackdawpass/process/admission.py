"""Admission control, which refuses queries whose targets are overloaded."""

import collections.abc

# Expected waits are averages: half of the sub-requests take longer.
USABLE_DEADLINE_SHARE = 0.6
# If a smaller share of the shards is late, only their targets are at fault, and the
# query gets a partial answer: the targets of a partitioned zone look overloaded.
MAX_LATE_SHARE = 0.5


def admits(
    waits: collections.abc.Iterable[float],
    shards: int,
    available: float,
    min_coverage: float,
) -> bool:
    """Return False when too many shards are expected to miss the deadline.

    Parameters
    ----------
    waits : iterable of float
        Expected seconds until each shard is answered; 0 if no attempt is queued, so
        that a target whose last known latency is long is still tried.
    shards : int
        Number of shards.
    available : float
        Seconds until the deadline.
    min_coverage : float
        Minimum share of shards in the answer.
    """
    allowed = shards * min(MAX_LATE_SHARE, 1 - min_coverage)
    bound = available * USABLE_DEADLINE_SHARE
    late = 0
    for wait in waits:
        late += wait > bound
        if late > allowed:
            return False
    return True
