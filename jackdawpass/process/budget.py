"""Budget of extra sub-requests: hedges and retries."""


class TokenBudget:
    """Earns a share of a token with each first attempt; an extra one costs a token.

    Parameters
    ----------
    share : float
        Tokens earned per first attempt.
    burst : float
        Largest number of tokens saved up.
    """

    def __init__(self, share: float, burst: float = 10.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_first_attempts(self, now: float, count: int) -> None:
        """Note first attempts, which earn budget."""
        self._tokens = min(self._burst, self._tokens + self._share * count)

    def try_spend(self, now: float) -> bool:
        """Take one token; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
