"""When an unanswered attempt is worth a hedge."""


class NoHedging:
    """Never hedges."""

    def delay(self, now: float, target: str) -> float | None:
        """Return None: no hedge."""
        return None
