"""Refusal of requests that this instance is unlikely to answer."""

import collections.abc
import math

from jackdawpass.process.serving import (
    caller_requests,
    durations,
    immediate_refusals,
    targets,
    throttle,
)
from jackdawpass.request import problems
from jackdawpass.version import routes


class RefusalPolicy:
    """Policy that refuses a request before anything is sent for it.

    Parameters
    ----------
    listed_targets : Targets
        The listed targets.
    throttles : RouteThrottles
        Throttles of the routes to many shards.
    request_durations : RequestDurations
        Durations of recent requests.
    """

    def __init__(
        self,
        listed_targets: targets.Targets,
        throttles: throttle.RouteThrottles,
        request_durations: durations.RequestDurations,
    ) -> None:
        self._targets = listed_targets
        self._throttles = throttles
        self._durations = request_durations

    def refusal(
        self,
        now: float,
        request: caller_requests.CallerRequest,
        route: routes.Route,
        groups: collections.abc.Collection[str],
        isolated: bool,
    ) -> problems.Problem | None:
        """Return the problem of a refused request, or None to serve it.

        Parameters
        ----------
        groups : collection of str
            Groups of targets that hold the request's shards.
        isolated : bool
            True while a network partition separates this instance from other zones.
        """
        if isolated and self._lacks_local_coverage(now, route, groups):
            return immediate_refusals.ISOLATED
        if not self.finishes_within(request, route, request.stops_in):
            return immediate_refusals.STOPPING
        pause = self._pause_left(now, route, groups)
        if pause > 0:
            return immediate_refusals.pausing(pause)
        return self._throttles.refusal(now, route, request.timeout)

    def finishes_within(
        self,
        request: caller_requests.CallerRequest,
        route: routes.Route,
        seconds: float | None,
    ) -> bool:
        """Return whether a request is likely to end within some seconds.

        None stands for an unlimited time.
        """
        if seconds is None:
            return True
        return self._durations.likely(route, request.timeout) <= seconds

    def _pause_left(
        self, now: float, route: routes.Route, groups: collections.abc.Collection[str]
    ) -> float:
        """Return the seconds for which pauses prevent an answer; 0 if they do not."""
        if not self._targets.pauses.may_pause(now):
            return 0.0
        pauses = sorted(
            left
            for group in groups
            if (left := self._targets.pause_left(now, group)) is not None
        )
        needed = max(1, math.ceil(route.min_coverage * len(groups)))
        excess = needed - (len(groups) - len(pauses))
        return pauses[excess - 1] if 0 < excess <= len(pauses) else 0.0

    def _lacks_local_coverage(
        self, now: float, route: routes.Route, groups: collections.abc.Collection[str]
    ) -> bool:
        """Return whether targets of this zone alone miss the route's min_coverage."""
        reachable = sum(self._targets.has_local(now, group) for group in groups)
        needed = max(route.min_coverage * len(groups), 1)
        return reachable < needed
