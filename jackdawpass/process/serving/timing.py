"""Delays after which sub-requests are hedged and partial answers returned."""

import collections.abc

from jackdawpass.process import latencies
from jackdawpass.process.serving import repeats
from jackdawpass.request import machine
from jackdawpass.version import routes

# Percentile of a route's recent latencies after which an attempt is hedged. While the
# budget lasts, an earlier hedge gains more than its extra load costs.
HEDGE_PERCENTILE = 88.0
# While a smaller share of the budget remains, only the slowest attempts are hedged.
LOW_BUDGET_SHARE = 0.5
LOW_BUDGET_HEDGE_PERCENTILE = 96.0
# Share of the objective after which an attempt is hedged at the latest; the rest must
# suffice for the second target.
MAX_HEDGE_SHARE = 0.38
MIN_HEDGE_SECONDS = 0.004
# Share of the objective after which the shards of a subquery are queried directly,
# unless the other instance has accepted the subquery. Acceptance takes two crossings of
# 1.4 ms and an iteration of the event loop; from then on the other instance hedges.
SUBQUERY_HEDGE_SHARE = 0.2
# Latency assumed until there are enough replies, as a share of the objective.
ASSUMED_LATENCY_SHARE = 0.2
# Transit of a request from the caller and of the answer back, 3 ms each, plus the time
# to write the answer.
CALLER_TRANSIT_SECONDS = 0.009


class RouteLatencies:
    """Recent latencies of the sub-requests of one route."""

    def __init__(self) -> None:
        self._recent = latencies.ServiceLatencies()

    def add(self, now: float, latency: float) -> None:
        """Add the latency of a reply in seconds."""
        self._recent.add(now, latency)

    def typical(self, route: routes.Route) -> float:
        """Return the typical latency in seconds."""
        if not self._recent.ready:
            return route.latency_objective * ASSUMED_LATENCY_SHARE
        return max(0.001, self._recent.percentile(50))

    def hedge_after(self, route: routes.Route, budget_low: bool) -> float:
        """Return the delay in seconds after which an attempt is hedged."""
        latest_delay = route.latency_objective * MAX_HEDGE_SHARE
        if not self._recent.ready:
            return latest_delay
        percentile = LOW_BUDGET_HEDGE_PERCENTILE if budget_low else HEDGE_PERCENTILE
        percentile_latency = self._recent.percentile(percentile)
        return max(MIN_HEDGE_SECONDS, min(latest_delay, percentile_latency))


def answer_by(now: float, age: float, route: routes.Route) -> float:
    """Return the time from which a partial answer is better than a late complete one.

    `age` is the time in seconds since the request reached the first instance.
    """
    left = route.latency_objective - CALLER_TRANSIT_SECONDS - age
    return now + max(left, route.latency_objective / 2)


def subquery_hedge_after(route: routes.Route) -> float:
    """Return the seconds after which an unaccepted subquery counts as lost."""
    return route.latency_objective * SUBQUERY_HEDGE_SHARE


GroupOf = collections.abc.Callable[[str], str]


class RequestBudget:
    """Repeats of one request, charged to the budget of each target's group."""

    def __init__(
        self, budgets: repeats.Budgets, instances: float, group_of: GroupOf
    ) -> None:
        self._budgets = budgets
        self._instances = instances
        self._group_of = group_of

    def on_first_attempts(self, now: float, count: int) -> None:
        """Do nothing: requests are counted on arrival, whether they are sent or not."""

    def try_spend(self, now: float, target: str = "") -> bool:
        """Count an additional sub-request and return True if the budget allows it."""
        budget = self._budgets.group(self._group_of(target))
        return budget.try_spend(now, self._instances)

    def hedge_share(self, now: float, target: str) -> float:
        """Return the unused share of a group's budget; 0 if it allows no hedge."""
        budget = self._budgets.group(self._group_of(target))
        return budget.hedge_share(now, self._instances)


class RouteHedging:
    """Hedging policy of one request, based on the latencies of its route."""

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
        # Cached: all shards of a request use the delays computed first.
        self._delays: dict[bool, float] = {}

    def delay(self, now: float, target: str) -> float | None:
        """Return the seconds until the hedge, or None for no hedge."""
        if self._is_peer(target):
            return subquery_hedge_after(self._route)
        budget_share = self._budget.hedge_share(now, target)
        if budget_share <= 0:
            return None
        is_budget_low = budget_share < LOW_BUDGET_SHARE
        if is_budget_low not in self._delays:
            self._delays[is_budget_low] = self._timing.hedge_after(
                self._route, is_budget_low
            )
        return self._delays[is_budget_low]


class NoNewerSnapshot:
    """Snapshot source without updates: a request keeps its configuration version."""

    def published_after(self, snapshot: str) -> machine.PinnedSnapshot | None:
        """Return None."""
        return None
