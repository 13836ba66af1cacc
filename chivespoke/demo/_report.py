"""What the demonstration tells its reader, step by step."""

import abc
import collections.abc

import msgspec


class Reporter(abc.ABC):
    """Tell the reader what happens."""

    @abc.abstractmethod
    def begin_step(self, title: str) -> None:
        """Begin a step."""

    @abc.abstractmethod
    def tell(self, sentence: str) -> None:
        """Tell one fact of the step."""


class Measures(msgspec.Struct, kw_only=True):
    """Hold what the demonstration measured."""

    user: str
    calls: int = 0
    outcomes: dict[str, int] = {}
    # Milliseconds of calls before and while the data centre was out.
    p50_before: float = 0.0
    p99_before: float = 0.0
    p50_during: float = 0.0
    p99_during: float = 0.0
    # Calls that ran twice; must stay 0.
    runs_beyond_calls: int = 0
    tasks: int = 0
    tasks_completed: int = 0
    attempts: int = 0
    evictions: int = 0
    # Seconds from submission until the last task was counted.
    job_seconds: float = 0.0
    # Starts in the data centre later than the bound after it was taken out.
    late_starts: int = 0
    # Tasks that were running there when it was taken out.
    tasks_there: int = 0
    # Tasks counted while the data centre was out.
    completed_while_out: int = 0


def find_percentile(
    values: collections.abc.Iterable[float], share: float
) -> float:
    """Return the value below which the share lies; 0.0 if there is none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
