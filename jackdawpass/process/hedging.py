"""Delay after which an unanswered attempt is hedged."""

import typing

from jackdawpass.process import latencies

MIN_DELAY_SECONDS = 0.002
# Bound of the hedge delay as a multiple of the median latency. If more attempts
# straggle than the percentile leaves out, the percentile is a straggler's latency,
# which is too late. If about as many straggle, the percentile is an ordinary latency,
# and hedges of ordinary attempts would use up the budget.
MAX_MEDIAN_RATIO = 2.5


class HedgeBudget(typing.Protocol):
    """Budget that permits or refuses hedges."""

    @property
    def allows_hedges(self) -> bool:
        """True while there is more budget than retries need."""

    @property
    def scarce(self) -> bool:
        """True while hedges spend the budget faster than it is earned."""


class PercentileHedging:
    """Hedging after a percentile of the service's recent latencies.

    Parameters
    ----------
    recent : ServiceLatencies
        Latencies of the service.
    budget : HedgeBudget
        The service's budget.
    percentile : float
        From 0 to 100; 0 disables hedges.
    """

    def __init__(
        self,
        recent: latencies.ServiceLatencies,
        budget: HedgeBudget,
        percentile: float,
    ) -> None:
        self._recent = recent
        self._budget = budget
        self._percentile = percentile

    def delay(self, now: float, target: str) -> float | None:
        """Return the seconds from sending to hedging, or None for no hedge."""
        if self._percentile <= 0 or not self._recent.ready:
            return None
        if self._recent.slow or not self._budget.allows_hedges:
            return None
        at_percentile = self._recent.percentile(self._percentile)
        bound = MAX_MEDIAN_RATIO * self._recent.percentile(50)
        if not self._budget.scarce:
            bound = min(at_percentile, bound)
        return max(MIN_DELAY_SECONDS, bound)
