"""Budget of extra sub-requests: hedges and retries."""

import typing

# Each query needs about one hedge per 20 of its stragglers for a hedge that straggles
# as well, which the share does not earn when it equals the share of stragglers.
BURST_TOKENS = 60.0
# Kept for retries: no hedge is planned when fewer tokens than this are left.
RETRY_TOKENS = 4.0
# While the whole service is slow, only this reserve pays, for the few retries that a
# drain or a lost replica needs.
RESERVE_SHARE = 0.005
RESERVE_TOKENS = 10.0


class Slowness(typing.Protocol):
    """Says whether a whole service is slow."""

    @property
    def slow(self) -> bool:
        """True while the service is slower than in the long term."""


class TokenBudget:
    """Earns a share of a token with each first attempt; an extra one costs a token.

    Parameters
    ----------
    share : float
        Tokens earned per first attempt.
    burst : float
        Largest number of tokens saved up.
    """

    def __init__(self, share: float, burst: float = BURST_TOKENS) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    @property
    def missing(self) -> float:
        """Tokens that may still be saved up."""
        return self._burst - self._tokens

    def earn(self, tokens: float) -> None:
        """Add tokens up to the burst."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def on_first_attempts(self, now: float, count: int) -> None:
        """Note first attempts, which earn budget."""
        self.earn(self._share * count)

    def try_spend(self, now: float, target: str = "") -> bool:
        """Take one token; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceBudget:
    """Budget that closes, but for a small reserve, when the whole service is slow.

    Parameters
    ----------
    share : float
        Extra sub-requests as a share of first attempts; 0 permits none.
    slowness : Slowness
        State of the service.
    """

    def __init__(self, share: float, slowness: Slowness) -> None:
        self._share = share
        self._open = TokenBudget(share, BURST_TOKENS if share > 0 else 0.0)
        self._reserve = TokenBudget(share, RESERVE_TOKENS if share > 0 else 0.0)
        self._slowness = slowness

    @property
    def tokens(self) -> float:
        """Extra sub-requests that may be sent now."""
        if self._slowness.slow:
            return self._reserve.tokens
        return self._open.tokens + self._reserve.tokens

    @property
    def allows_hedges(self) -> bool:
        """True while there is budget left beyond what retries need."""
        return not self._slowness.slow and self._open.tokens >= RETRY_TOKENS

    @property
    def scarce(self) -> bool:
        """True while less than half of the burst is left."""
        return self._open.tokens < BURST_TOKENS / 2

    def on_first_attempts(self, now: float, count: int) -> None:
        """Note first attempts, which earn budget."""
        earned = self._share * count
        reserved = min(earned, RESERVE_SHARE * count, self._reserve.missing)
        self._reserve.earn(reserved)
        if not self._slowness.slow:
            self._open.earn(earned - reserved)

    def try_spend(self, now: float, target: str = "") -> bool:
        """Take the budget for one extra sub-request; False when there is none."""
        if not self._slowness.slow and self._open.try_spend(now):
            return True
        return self._reserve.try_spend(now)
