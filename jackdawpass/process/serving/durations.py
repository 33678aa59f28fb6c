"""Durations of recent requests, and how long the next one is likely to take."""

import collections.abc

from jackdawpass.process import latencies
from jackdawpass.version import routes

# Percentile of the recent durations within which a request is expected to end.
LIKELY_PERCENTILE = 95.0


class RequestDurations:
    """Durations of the recent requests of each route, in seconds."""

    def __init__(self) -> None:
        self._recent: dict[str, latencies.ServiceLatencies] = {}

    def apply_routes(self, all_routes: collections.abc.Iterable[routes.Route]) -> None:
        """Apply the routes; the durations of remaining routes are kept."""
        self._recent = {
            route.name: self._recent.get(route.name) or latencies.ServiceLatencies()
            for route in all_routes
        }

    def add(self, now: float, route: routes.Route, seconds: float) -> None:
        """Add the duration of a request, from its arrival to its answer."""
        recent = self._recent.get(route.name)
        if recent is not None:
            recent.add(now, seconds)

    def likely(self, route: routes.Route, timeout: float) -> float:
        """Return the seconds within which a request is likely to be answered.

        The estimate is at least the route's latency objective, and at most `timeout`
        or the route's own timeout, when the request ends in any case.
        """
        longest = min(timeout, route.timeout)
        recent = self._recent.get(route.name)
        likely = route.latency_objective
        if recent is not None and recent.count:
            likely = max(likely, recent.percentile(LIKELY_PERCENTILE))
        return min(longest, likely)
