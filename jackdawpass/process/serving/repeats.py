"""Budget of repeats (retries and hedges) per group, divided among all instances."""

import collections
import dataclasses

# Usable share of the budget; the rest covers repeats that other instances count late.
USABLE_SHARE = 0.85
# Share of the budget that hedges leave for retries after a failure.
RETRY_RESERVE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLimits:
    """Limits on the repeats of all instances together.

    Attributes
    ----------
    ratio : float
        Repeats per request.
    slack : float
        Repeats per window that are allowed in addition.
    window : float
        Length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window: float


class _SlidingWindow:
    """Count of the events in a sliding window of time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


class GroupBudget:
    """Share of one instance in the repeats that one group may receive."""

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self._requests = _SlidingWindow(limits.window)
        self._repeats = _SlidingWindow(limits.window)

    def on_request(self, now: float) -> None:
        """Count a caller's request to the group."""
        self._requests.add(now)

    def remaining(self, now: float, instances: float) -> float:
        """Return how many repeats may be sent now."""
        return self._allowance(now, instances) - self._repeats.count(now)

    def remaining_share(self, now: float, instances: float) -> float:
        """Return the unused share of the budget, from 0 to 1."""
        allowance = self._allowance(now, instances)
        return (
            max(0.0, self.remaining(now, instances) / allowance) if allowance else 0.0
        )

    def hedge_share(self, now: float, instances: float) -> float:
        """Return the unused share of the budget that is available to hedges.

        It is 0 if a hedge would leave less than the reserve for retries, which is at
        least one repeat.
        """
        allowance = self._allowance(now, instances)
        remaining = allowance - self._repeats.count(now)
        reserve = max(1.0, RETRY_RESERVE_SHARE * allowance)
        return remaining / allowance if remaining >= reserve + 1 else 0.0

    def try_spend(self, now: float, instances: float) -> bool:
        """Count a repeat and return True if the budget allows one."""
        if self.remaining(now, instances) < 1:
            return False
        self._repeats.add(now)
        return True

    def _allowance(self, now: float, instances: float) -> float:
        proportional = self.limits.ratio * self._requests.count(now)
        return USABLE_SHARE * (proportional + self.limits.slack / max(1, instances))


class Budgets:
    """Budgets of all groups.

    Parameters
    ----------
    limits : RepeatLimits
        Limits on the repeats of all instances together.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, GroupBudget] = {}

    def group(self, name: str) -> GroupBudget:
        """Return the budget of a group; create it at the first call."""
        if name not in self._budgets:
            self._budgets[name] = GroupBudget(self._limits)
        return self._budgets[name]

    def keep(self, names: set[str]) -> None:
        """Drop the budgets of all other groups."""
        for name in self._budgets.keys() - names:
            del self._budgets[name]

    def change_limits(self, limits: RepeatLimits) -> None:
        """Apply changed limits; counted requests and repeats are kept."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def least_remaining_share(self, now: float, instances: float) -> float:
        """Return the unused budget share of the most exhausted group, from 0 to 1."""
        shares = (
            each.remaining_share(now, instances) for each in self._budgets.values()
        )
        return min(shares, default=1.0)
