"""Budget of extra sub-requests: hedges and retries."""

import typing

# About one in 20 hedges straggles too and needs another hedge. First attempts do not
# earn these tokens if the declared share equals the share of stragglers.
BURST_TOKENS = 60.0
# Reserved for retries: no hedge is planned when fewer tokens are left.
RETRY_TOKENS = 4.0
# While the whole service is slow, only this reserve is available, for the few retries
# that a drain or a lost replica needs.
RESERVE_SHARE = 0.005
RESERVE_TOKENS = 10.0


class SlownessDetector(typing.Protocol):
    """Detector of a service that is slow as a whole."""

    @property
    def slow(self) -> bool:
        """True while the service is slower than in the long term."""


class TokenBudget:
    """Token bucket: first attempts earn a share of a token, extra ones cost one.

    Parameters
    ----------
    share : float
        Tokens earned per first attempt.
    capacity : float
        Capacity of the bucket.
    """

    def __init__(self, share: float, capacity: float = BURST_TOKENS) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    @property
    def free_capacity(self) -> float:
        """Tokens that still fit in the bucket."""
        return self._capacity - self._tokens

    def earn(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def on_first_attempts(self, now: float, count: int) -> None:
        """Add the tokens that first attempts earn."""
        self.earn(self._share * count)

    def try_spend(self, now: float, target: str = "") -> bool:
        """Take one token; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceBudget:
    """Budget that is limited to a small reserve while the whole service is slow.

    Parameters
    ----------
    share : float
        Extra sub-requests as a share of first attempts; 0 permits none.
    detector : SlownessDetector
        Detects that the service is slow.
    """

    def __init__(self, share: float, detector: SlownessDetector) -> None:
        self._share = share
        self._regular = TokenBudget(share, BURST_TOKENS if share > 0 else 0.0)
        self._reserve = TokenBudget(share, RESERVE_TOKENS if share > 0 else 0.0)
        self._detector = detector

    @property
    def tokens(self) -> float:
        """Extra sub-requests that may be sent now."""
        if self._detector.slow:
            return self._reserve.tokens
        return self._regular.tokens + self._reserve.tokens

    @property
    def allows_hedges(self) -> bool:
        """True while there are more tokens than retries need."""
        return not self._detector.slow and self._regular.tokens >= RETRY_TOKENS

    @property
    def scarce(self) -> bool:
        """True while less than half of the tokens are left."""
        return self._regular.tokens < BURST_TOKENS / 2

    def on_first_attempts(self, now: float, count: int) -> None:
        """Add the tokens that first attempts earn."""
        earned = self._share * count
        reserved = min(earned, RESERVE_SHARE * count, self._reserve.free_capacity)
        self._reserve.earn(reserved)
        if not self._detector.slow:
            self._regular.earn(earned - reserved)

    def try_spend(self, now: float, target: str = "") -> bool:
        """Take a token for one extra sub-request; False when there is none."""
        if not self._detector.slow and self._regular.try_spend(now):
            return True
        return self._reserve.try_spend(now)
