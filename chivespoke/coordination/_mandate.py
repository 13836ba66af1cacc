"""The time for which a process may act as the leader."""

import abc


class Mandate(abc.ABC):
    """Tell how long the last proof of leadership holds."""

    @property
    @abc.abstractmethod
    def valid_until(self) -> float:
        """Return the monotonic time in seconds at which it expires."""

    @abc.abstractmethod
    def extend(self, proven_at: float) -> None:
        """Record that no other process led at a monotonic time in seconds."""
