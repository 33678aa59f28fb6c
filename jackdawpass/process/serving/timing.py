"""When a sub-request of a route is hedged, and when a partial answer is given."""

import collections.abc

from jackdawpass.process import latencies
from jackdawpass.process.serving import repeats
from jackdawpass.request import machine
from jackdawpass.version import routes

# Percentile of a route's recent latencies after which an attempt is hedged: measured,
# an earlier hedge gains more than the extra load costs while the budget lasts.
HEDGE_PERCENTILE = 88.0
# While less than this part of the budget is left, only the slowest attempts are hedged.
LOW_BUDGET_SHARE = 0.5
LOW_BUDGET_HEDGE_PERCENTILE = 96.0
# Share of the objective by which an attempt is hedged at the latest; what is left must
# suffice for the second target.
MAX_HEDGE_SHARE = 0.38
MIN_HEDGE_SECONDS = 0.004
# Share of the objective after which the shards that an instance was asked for are asked
# for directly unless it has said that it took them, which needs two crossings of 1.4 ms
# and a turn of its event loop; from then on it hedges by itself.
SUBQUERY_HEDGE_SHARE = 0.2
# Latency assumed before there are enough replies, as a share of the objective.
ASSUMED_LATENCY_SHARE = 0.2
# Time that an answer needs to the caller, with the time that the request took from it:
# two crossings of 3 ms, as measured towards callers, and writing.
ANSWER_TRANSIT_SECONDS = 0.009


class RouteLatencies:
    """Latencies that the sub-requests of one route had."""

    def __init__(self) -> None:
        self._recent = latencies.ServiceLatencies()

    def add(self, now: float, latency: float) -> None:
        """Note the latency of a reply, in seconds."""
        self._recent.add(now, latency)

    def typical(self, route: routes.Route) -> float:
        """Return the ordinary latency in seconds."""
        if not self._recent.ready:
            return route.objective * ASSUMED_LATENCY_SHARE
        return max(0.001, self._recent.percentile(50))

    def hedge_after(self, route: routes.Route, budget_low: bool) -> float:
        """Return the seconds after which an attempt is hedged."""
        latest = route.objective * MAX_HEDGE_SHARE
        if not self._recent.ready:
            return latest
        percentile = LOW_BUDGET_HEDGE_PERCENTILE if budget_low else HEDGE_PERCENTILE
        tracked = self._recent.percentile(percentile)
        return max(MIN_HEDGE_SECONDS, min(latest, tracked))


def answer_by(now: float, age: float, route: routes.Route) -> float:
    """Return when a partial answer is worth more than a complete but late one.

    `age` is the time, in seconds, that the request has spent on its way to here.
    """
    left = route.objective - ANSWER_TRANSIT_SECONDS - age
    return now + max(left, route.objective / 2)


def subquery_hedge_after(route: routes.Route) -> float:
    """Return the seconds after which an instance that took nothing counts as lost."""
    return route.objective * SUBQUERY_HEDGE_SHARE


GroupOf = collections.abc.Callable[[str], str]


class RequestBudget:
    """Repeats of one request, paid by the budget of each target's group."""

    def __init__(
        self, budgets: repeats.Budgets, instances: float, group_of: GroupOf
    ) -> None:
        self._budgets = budgets
        self._instances = instances
        self._group_of = group_of

    def on_first_attempts(self, now: float, count: int) -> None:
        """Do nothing: requests are counted as they arrive, sent on or not."""

    def try_spend(self, now: float, target: str = "") -> bool:
        """Take the budget for one extra sub-request; False when there is none."""
        budget = self._budgets.group(self._group_of(target))
        return budget.try_spend(now, self._instances)

    def hedge_share(self, now: float, target: str) -> float:
        """Return the unused part of a group's budget, 0 if it allows no hedge."""
        budget = self._budgets.group(self._group_of(target))
        return budget.hedge_share(now, self._instances)


class RouteHedging:
    """Hedges the attempts of one request by the latencies of its route."""

    def __init__(
        self,
        route: routes.Route,
        timing: RouteLatencies,
        budget: RequestBudget,
        is_peer: collections.abc.Callable[[str], bool],
    ) -> None:
        self._route = route
        self._timing = timing
        self._budget = budget
        self._is_peer = is_peer
        # The latencies of one moment do for all shards of a request.
        self._delays: dict[bool, float] = {}

    def delay(self, now: float, target: str) -> float | None:
        """Return the seconds to the hedge, or None for no hedge."""
        if self._is_peer(target):
            return subquery_hedge_after(self._route)
        share = self._budget.hedge_share(now, target)
        if share <= 0:
            return None
        is_budget_low = share < LOW_BUDGET_SHARE
        if is_budget_low not in self._delays:
            self._delays[is_budget_low] = self._timing.hedge_after(
                self._route, is_budget_low
            )
        return self._delays[is_budget_low]


class NoNewerSnapshot:
    """A request keeps the configuration version that it began with."""

    def published_after(self, snapshot: str) -> machine.PinnedSnapshot | None:
        """Return None."""
        return None
