"""Review of requests that another instance may already be serving.

The instance that forwarded a request sends it to a second aggregator when the first one
falls silent or is lost. The first may have sent it to targets.
"""

import dataclasses

from jackdawpass.process.serving import repeats, targets
from jackdawpass.version import routes


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """Whether a request may be served once more.

    Attributes
    ----------
    runs_once_within : float or None
        For a request that must run at most once, the route's timeout in seconds, within
        which the first aggregator may still answer it; None for other requests.
    """

    accepted: bool
    runs_once_within: float | None = None


DECLINED = Review(False)


def review(
    now: float,
    route: routes.Route,
    listed_targets: targets.Targets,
    budgets: repeats.Budgets,
    instances: float,
) -> Review:
    """Review a request of a route.

    It is accepted if its route is idempotent, the budget of each group allows a repeat,
    and both aggregators together cannot use more targets than `max_attempts`.
    """
    if not route.idempotent:
        return Review(False, route.timeout)
    groups = route.shards or tuple(part.group for part in route.split)
    if not route.shards and len(groups) > 1:
        # The first aggregator may have picked another group.
        return DECLINED
    accepted = all(
        listed_targets.count_listed(group) <= route.max_attempts
        and budgets.group(group).remaining(now, instances) >= 1
        for group in groups
    )
    return Review(accepted)
