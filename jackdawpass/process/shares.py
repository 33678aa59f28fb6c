"""Share of a target's connection limit that one instance may use."""

# An instance with a share of 0 could not reach the target. With one connection for each
# instance, the sum is only within the limit while the limit is at least
# `instances_max`. Otherwise operators have to raise the limit or lower `instances_max`.
MIN_CONNECTIONS = 1


def connection_share(limit: int, instances_max: int, instances_seen: int) -> int:
    """Return the maximum number of connections that this instance opens.

    Parameters
    ----------
    limit : int
        Connections that the target accepts from all instances together.
    instances_max : int
        Declared maximum of concurrent instances, including overlap in replacements.
    instances_seen : int
        Live and leaving instances in the last known list. A larger number than
        `instances_max` lowers the share. A smaller one, as in a stale or empty list,
        has no effect.
    """
    return max(MIN_CONNECTIONS, limit // max(1, instances_max, instances_seen))
