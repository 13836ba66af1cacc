"""A budget for retries, as a share of first tries."""

# Retries that may be saved up.
RESERVE = 10.0


class RetryBudget:
    """Allow a share of retries over first tries, and a small reserve."""

    __slots__ = ('share', '_tokens')

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = RESERVE

    def note_request(self) -> None:
        """Count a first try."""
        self._tokens = min(self._tokens + self.share, RESERVE)

    def take(self) -> bool:
        """Spend a retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
