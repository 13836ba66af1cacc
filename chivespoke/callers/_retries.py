"""A budget for retries, as a share of first tries."""

# Retries that may be saved up.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Allow a share of retries over first tries, and a small reserve."""

    __slots__ = ('share', '_tokens')

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Count a first try."""
        self._tokens = min(self._tokens + self.share, MAX_SAVED_RETRIES)

    def try_spend(self) -> bool:
        """Spend a retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
