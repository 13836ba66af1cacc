"""How long the runs of a worker have been at work; no input or output."""

import collections.abc

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import platform


class RunAges:
    """Track since when the runs of one worker incarnation may be at work.

    Times are monotonic, in seconds.
    """

    __slots__ = ('last_sign_at', '_started_at', '_begun', '_listed')

    def __init__(self) -> None:
        # When the worker last answered a call; None before the first answer.
        self.last_sign_at: float | None = None
        # By task and run. The time of the order if this process has sent it,
        # otherwise that of the first listing.
        self._started_at: dict[tuple[str, int], float] = {}
        # Runs whose start was answered, or that were listed.
        self._begun: set[tuple[str, int]] = set()
        # Runs of the last listing.
        self._listed: frozenset[tuple[str, int]] = frozenset()

    def record_order(self, task: str, run: int, now: float) -> None:
        """Record that an order to start a run is sent, or sent again."""
        if (task, run) not in self._listed:
            # The earlier calls may have been lost.
            self._started_at[task, run] = now

    def record_refusal(self, task: str, run: int) -> None:
        """Record that a run has not started."""
        self._forget((task, run))

    def record_start(self, task: str, run: int, now: float) -> None:
        """Record that the worker has answered that a run has started."""
        self._begun.add((task, run))
        self.record_sign(now)

    def record_sign(self, now: float) -> None:
        """Record that the worker has answered a call."""
        self.last_sign_at = now

    def record_status(self, status: platform.WorkerStatus, now: float) -> None:
        """Record the runs that the worker lists as running or as ended."""
        self.record_sign(now)
        listed = frozenset((row.task, row.run) for row in status.running)
        gone = self._listed - listed
        gone |= {(end.task, end.run) for end in status.ended}
        for key in gone:
            self._forget(key)
        for key in listed:
            self._started_at.setdefault(key, now)
        self._begun |= listed
        self._listed = listed

    def list_suspects(self) -> tuple[coordination.SuspectRun, ...]:
        """Return the runs that a crash of the worker can be blamed on."""
        return tuple(self._iterate_suspects())[: coordination.MAX_SUSPECTS]

    def count_runs(self) -> int:
        """Return the number of runs that a crash of the worker loses."""
        return len(self._started_at)

    def _forget(self, key: tuple[str, int]) -> None:
        self._started_at.pop(key, None)
        self._begun.discard(key)

    def _iterate_suspects(
        self,
    ) -> collections.abc.Iterator[coordination.SuspectRun]:
        last_sign_at = self.last_sign_at
        if last_sign_at is None:
            return
        youngest_first = sorted(
            self._started_at.items(), key=lambda item: -item[1]
        )
        for (task, run), started_at in youngest_first:
            age = max(0.0, last_sign_at - started_at)
            if age < decisions.SUSPECT_AGE_SECONDS:
                yield coordination.SuspectRun(
                    task, run, int(age * 1000), (task, run) in self._begun
                )
