"""Budget of repeated sub-requests to one group, reserve by all instances together."""

import collections
import dataclasses

# Part of the budget that is used; the rest covers what other instances count late.
USABLE_SHARE = 0.85
# Part of the allowance that hedges leave for retries after a failure.
RETRY_RESERVE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLimits:
    """Limits that hold for all instances together.

    Attributes
    ----------
    ratio : float
        Repeats as a share of requests.
    slack : float
        Repeats allowed beyond that share in each window.
    window : float
        Seconds.
    """

    ratio: float
    slack: float
    window: float


class _SlidingWindow:
    """Count of what happened in the last seconds."""

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
    """Share of one instance in the repeats that one group may get."""

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self._requests = _SlidingWindow(limits.window)
        self._repeats = _SlidingWindow(limits.window)

    def on_request(self, now: float) -> None:
        """Note a caller's request for the group."""
        self._requests.add(now)

    def remaining(self, now: float, instances: float) -> float:
        """Return how many repeats may still be sent now."""
        return self._allowance(now, instances) - self._repeats.count(now)

    def remaining_share(self, now: float, instances: float) -> float:
        """Return the unused part of the allowance, from 0 to 1."""
        allowance = self._allowance(now, instances)
        return (
            max(0.0, self.remaining(now, instances) / allowance) if allowance else 0.0
        )

    def hedge_share(self, now: float, instances: float) -> float:
        """Return the unused part of the allowance, from 0 to 1.

        It is 0 while a hedge would not leave enough for retries, one at least.
        """
        allowance = self._allowance(now, instances)
        remaining = allowance - self._repeats.count(now)
        reserve = max(1.0, RETRY_RESERVE_SHARE * allowance)
        return remaining / allowance if remaining >= reserve + 1 else 0.0

    def try_spend(self, now: float, instances: float) -> bool:
        """Count a repeat if one may be sent; False otherwise."""
        if self.remaining(now, instances) < 1:
            return False
        self._repeats.add(now)
        return True

    def _allowance(self, now: float, instances: float) -> float:
        earned = self.limits.ratio * self._requests.count(now)
        return USABLE_SHARE * (earned + self.limits.slack / max(1, instances))


class Budgets:
    """Budgets of all groups.

    Parameters
    ----------
    limits : RepeatLimits
        Limits for all instances together.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, GroupBudget] = {}

    def group(self, name: str) -> GroupBudget:
        """Return the budget of a group, the same one for each call."""
        if name not in self._budgets:
            self._budgets[name] = GroupBudget(self._limits)
        return self._budgets[name]

    def keep(self, names: set[str]) -> None:
        """Forget the groups that no configuration names any more."""
        for name in self._budgets.keys() - names:
            del self._budgets[name]

    def change_limits(self, limits: RepeatLimits) -> None:
        """Take over changed limits; what was counted stays."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def least_remaining_share(self, now: float, instances: float) -> float:
        """Return the unused part of the poorest group's allowance, from 0 to 1."""
        shares = (
            each.remaining_share(now, instances) for each in self._budgets.values()
        )
        return min(shares, default=1.0)
