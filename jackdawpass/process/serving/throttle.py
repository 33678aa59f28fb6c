"""Refusal of requests to many shards while most of them fail at full targets.

During an overload, each request that fails after some of its targets have shed it has
already put load on all others, and its caller sends it again. Refusing a part of the
requests before anything is sent leaves the targets to those that can be answered.
"""

import collections.abc
import random

from jackdawpass.request import model, problems
from jackdawpass.version import routes

# Requests are admitted at this multiple of the rate of those answered in time. The
# surplus detects the end of an overload, and is the work that is wasted meanwhile.
ADMITTED_RATIO = 2.0
# Half-life of the counts: a few requests of one instance on one route.
HALF_LIFE_SECONDS = 0.5
# Range of the delay after which refused callers return, spread so that they do not all
# return at once, and the share of their timeout that callers accept as a delay.
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 0.9
MAX_RETRY_SHARE = 1 / 3
# Failed requests that are tolerated before the first one is refused.
TOLERATED_FAILURES = 1.0

Outcome = model.Answer | problems.Problem


class Throttle:
    """Adaptive throttle of one route, based on its own recent outcomes.

    A request is refused with the probability that keeps the admitted ones at
    `ADMITTED_RATIO` times the answered ones (client-side throttling as in "Site
    Reliability Engineering", O'Reilly 2016, chapter 21).

    Parameters
    ----------
    generator : random.Random
        Chooses the requests to refuse.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._requests = 0.0
        self._answered = 0.0
        self._updated_at = 0.0

    def refusal_probability(self, now: float) -> float:
        """Return the probability, from 0 to 1, of refusing the next request."""
        self._decay(now)
        surplus = self._requests - ADMITTED_RATIO * self._answered - TOLERATED_FAILURES
        return max(0.0, surplus / (self._requests + 1))

    def admits(self, now: float) -> bool:
        """Return whether to send a request, which is counted if it is refused."""
        if self._random.random() >= self.refusal_probability(now):
            return True
        self._requests += 1
        return False

    def on_answered(self, now: float) -> None:
        """Record a request that was answered in time, or failed for another reason."""
        self._decay(now)
        self._requests += 1
        self._answered += 1

    def on_overload(self, now: float) -> None:
        """Record a request that failed, or came late, because targets were full."""
        self._decay(now)
        self._requests += 1

    def reset(self) -> None:
        """Forget all outcomes."""
        self._requests = self._answered = 0.0

    def _decay(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_SECONDS)
        self._requests *= kept
        self._answered *= kept
        self._updated_at = now


class RouteThrottles:
    """Throttles of all routes to many shards.

    Parameters
    ----------
    generator : random.Random
        Source of all random choices.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._throttles: dict[str, Throttle] = {}

    def apply_routes(self, all_routes: collections.abc.Iterable[routes.Route]) -> None:
        """Apply the routes; the outcomes of remaining routes are kept."""
        self._throttles = {
            route.name: self._throttles.get(route.name) or Throttle(self._random)
            for route in all_routes
            if route.shards
        }

    def refusal(
        self, now: float, route: routes.Route, timeout: float
    ) -> problems.Problem | None:
        """Return the problem of a refused request, or None to send it.

        `timeout` is the time in seconds that the caller waits.
        """
        throttle = self._throttles.get(route.name)
        if throttle is None or throttle.admits(now):
            return None
        longest = min(MAX_RETRY_SECONDS, MAX_RETRY_SHARE * timeout)
        delay = self._random.uniform(min(MIN_RETRY_SECONDS, longest), longest)
        return problems.not_run(
            problems.ProblemKind.OVERLOADED,
            "most requests of this route fail because its targets are full; "
            "retry after the delay",
            delay,
        )

    def on_outcome(
        self,
        now: float,
        route: routes.Route,
        outcome: Outcome,
        is_late: bool = False,
        is_target_full: bool = False,
    ) -> None:
        """Record the outcome of a request that was sent.

        Parameters
        ----------
        is_late : bool
            True if the outcome took longer than the route's objective.
        is_target_full : bool
            True if a target of the route has recently refused an attempt. Without it,
            late answers come from slow targets, which are no faster with fewer
            requests.
        """
        throttle = self._throttles.get(route.name)
        if throttle is None:
            return
        if _is_overload(outcome) or (is_late and is_target_full):
            throttle.on_overload(now)
        else:
            throttle.on_answered(now)

    def reset(self) -> None:
        """Forget all outcomes: targets of a zone have become reachable again."""
        for throttle in self._throttles.values():
            throttle.reset()


def _is_overload(outcome: Outcome) -> bool:
    if isinstance(outcome, model.Answer):
        return False
    if outcome.kind is problems.ProblemKind.OVERLOADED:
        return True
    return outcome.coverage is not None and any(
        missing.reason is model.MissingReason.REFUSED
        for missing in outcome.coverage.missing
    )
