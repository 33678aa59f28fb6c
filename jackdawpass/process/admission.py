"""Early refusal of queries whose targets are overloaded."""

import collections.abc

# Waits are averages; half of the sub-requests take longer than expected.
USABLE_DEADLINE_SHARE = 0.6
# With fewer late shards, the fault is with their targets and a partial answer is due:
# the targets of a zone that is cut off look overloaded.
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
        Expected seconds until each shard is answered; 0 where nothing queues, so
        that a target whose last known latency is long is still tried.
    shards : int
        Number of shards.
    available : float
        Seconds until the deadline.
    min_coverage : float
        Share of shards that the answer needs.
    """
    allowed = shards * min(MAX_LATE_SHARE, 1 - min_coverage)
    bound = available * USABLE_DEADLINE_SHARE
    late = 0
    for wait in waits:
        late += wait > bound
        if late > allowed:
            return False
    return True
