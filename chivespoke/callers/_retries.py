"""Retry budget: limits retries to a share of the requests."""

# Limit on the retries that the budget accumulates.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Allow retries for a share of the requests, plus a small reserve."""

    __slots__ = ('share', '_tokens')

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(self._tokens + self.share, MAX_SAVED_RETRIES)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
