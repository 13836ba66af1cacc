"""Output and measurements of the demonstration."""

import abc
import collections.abc

import msgspec


class Reporter(abc.ABC):
    """Receive the progress of the demonstration."""

    @abc.abstractmethod
    def begin_step(self, title: str) -> None:
        """Announce the next step."""

    @abc.abstractmethod
    def report_result(self, sentence: str) -> None:
        """Report one result of the current step."""


class Measures(msgspec.Struct, kw_only=True):
    """Hold the measurements of the demonstration."""

    user: str
    calls: int = 0
    outcomes: dict[str, int] = {}
    # Call latencies in milliseconds, before and while a data centre is out.
    p50_before: float = 0.0
    p99_before: float = 0.0
    p50_during: float = 0.0
    p99_during: float = 0.0
    # Runs in excess of the calls sent (calls that ran twice); must stay 0.
    runs_beyond_calls: int = 0
    tasks: int = 0
    tasks_completed: int = 0
    attempts: int = 0
    evictions: int = 0
    # Seconds from submission until the last task ended.
    job_seconds: float = 0.0
    # Starts in the data centre after it was taken out and the grace period
    # had passed.
    late_starts: int = 0
    # Tasks that were running in the data centre when it was taken out.
    tasks_there: int = 0
    # Tasks completed while the data centre was out.
    completed_while_out: int = 0


def compute_percentile(
    values: collections.abc.Iterable[float], share: float
) -> float:
    """Return the percentile for a share; 0.0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
