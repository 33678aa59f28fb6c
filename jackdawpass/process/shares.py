"""Share of a target's connection limit that one instance may use."""

# A share of 0 would cut the instance off from the target. One connection per instance
# keeps the sum within the limit only while the limit is at least `instances_max`;
# under that, operators have to raise the limit or lower `instances_max`.
MIN_CONNECTIONS = 1


def connection_share(limit: int, instances_max: int, seen: int) -> int:
    """Return the largest number of connections that this instance opens.

    Parameters
    ----------
    limit : int
        Connections that the target accepts from all instances together.
    instances_max : int
        Declared ceiling of instances alive at once, overlap of replacements included.
    seen : int
        Live and leaving instances in the last known list. A stale or empty list can
        only be too small, and the ceiling then decides; a larger one lowers the share.
    """
    return max(MIN_CONNECTIONS, limit // max(1, instances_max, seen))
