"""When an unanswered attempt is worth a hedge."""

import typing

from jackdawpass.process import latencies

FLOOR_SECONDS = 0.002
# With more stragglers than the percentile leaves out, the percentile is a straggler's
# latency and would come too late. With about as many, it is an ordinary latency, and
# hedges of ordinary attempts would use up the budget.
MAX_MEDIAN_RATIO = 2.5


class Allowance(typing.Protocol):
    """Says whether hedges may be planned."""

    @property
    def allows_hedges(self) -> bool:
        """True while there is budget left beyond what retries need."""

    @property
    def scarce(self) -> bool:
        """True while hedges use up the budget faster than it is earned."""


class PercentileHedging:
    """Hedges after a percentile of the service's recent latencies.

    Parameters
    ----------
    recent : ServiceLatencies
        Latencies of the service.
    allowance : Allowance
        The service's budget.
    percentile : float
        From 0 to 100; 0 disables hedges.
    """

    def __init__(
        self,
        recent: latencies.ServiceLatencies,
        allowance: Allowance,
        percentile: float,
    ) -> None:
        self._recent = recent
        self._allowance = allowance
        self._percentile = percentile

    def delay(self, now: float, target: str) -> float | None:
        """Return the seconds from sending to hedging, or None for no hedge."""
        if self._percentile <= 0 or not self._recent.ready:
            return None
        if self._recent.slow or not self._allowance.allows_hedges:
            return None
        tracked = self._recent.percentile(self._percentile)
        bound = MAX_MEDIAN_RATIO * self._recent.percentile(50)
        if not self._allowance.scarce:
            bound = min(tracked, bound)
        return max(FLOOR_SECONDS, bound)
