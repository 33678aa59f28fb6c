"""Plan of a request: its shards, deadline and limits."""

from jackdawpass.process.serving import caller_requests, timing
from jackdawpass.request import model
from jackdawpass.version import routes

# The last answer leaves this long before the caller's deadline, to arrive in time.
ANSWER_MARGIN_SECONDS = 0.010
MIN_DEADLINE_SECONDS = 0.001


def make_plan(
    now: float,
    request: caller_requests.CallerRequest,
    route: routes.Route,
    shards: int,
    version: int,
) -> model.QueryPlan:
    """Return the plan of a request.

    Parameters
    ----------
    now : float
        Monotonic seconds at the arrival of the request.
    shards : int
        Number of groups that hold a part of the answer.
    version : int
        Configuration version by which the request is served.
    """
    timeout = min(request.timeout, route.timeout)
    early = timing.answer_by(now, request.age, route) if route.shards else None
    return model.QueryPlan(
        request_id=request.request_id,
        service=route.name,
        snapshot=route.fanout_digest if route.shards else str(version),
        shards=frozenset(range(shards)),
        deadline=now + max(MIN_DEADLINE_SECONDS, timeout - ANSWER_MARGIN_SECONDS),
        limit=route.limit,
        min_coverage=route.min_coverage,
        early_after=early,
        early_coverage=route.min_coverage,
        max_attempts=route.max_attempts,
        hedge_from_start=True,
    )
