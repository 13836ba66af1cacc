"""Tracking and adjusting the pace of a worker's runs.

The pace of a run is its share of full speed in percent.
"""

import collections.abc

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('paces')

# Consecutive polls that may omit a run before it is dropped: a start may take
# three attempts.
MAX_UNLISTED_POLLS = 15


class PaceTracker:
    """Track runs and their paces, and compute changes of paces."""

    __slots__ = (
        '_worker',
        '_pacer',
        '_interference',
        '_runs',
        '_unlisted_polls',
        '_current_paces',
        '_new_tasks',
    )

    def __init__(self, worker: str) -> None:
        self._worker = worker
        self._pacer = decisions.Pacer()
        self._interference = decisions.FixedInterferenceModel()
        # The current runs, by task.
        self._runs: dict[str, coordination.AdoptedRun] = {}
        # Consecutive polls that did not list the run, by task.
        self._unlisted_polls: dict[str, int] = {}
        # Last pace set, by task; a run starts at full speed.
        self._current_paces: dict[str, int] = {}
        # Tasks with a start order whose run has not been listed yet.
        self._new_tasks: set[str] = set()

    def update_interference(
        self,
        interference: collections.abc.Iterable[
            decisions.InterferenceCoefficient
        ],
    ) -> None:
        """Replace the leader's estimates of how fillers slow serving tasks."""
        self._interference = decisions.FixedInterferenceModel(interference)

    def record_start_order(self, order: coordination.StartOrder) -> None:
        """Record the run that an order starts."""
        self.record_run(
            coordination.AdoptedRun(
                order.task,
                order.run,
                order.image,
                order.target_latency_ms,
                order.filler,
            )
        )
        if not order.repeated:
            self._current_paces.pop(order.task, None)
            self._new_tasks.add(order.task)

    def record_run(self, run: coordination.AdoptedRun) -> None:
        """Record a run that the worker has."""
        self._runs[run.task] = run
        self._unlisted_polls[run.task] = 0

    def record_pace(self, change: decisions.PaceChange) -> None:
        """Record a pace that the worker has accepted."""
        self._new_tasks.discard(change.task)
        self._current_paces[change.task] = change.percent

    def adjust(
        self,
        status: platform.WorkerStatus,
        capacity_millis: int,
        now: float,
    ) -> list[decisions.PaceChange]:
        """Return the changes of pace for the runs that a poll listed.

        capacity_millis is the worker's processor capacity, in thousandths of a
        core, and now the monotonic time in seconds.
        """
        self._drop_unlisted(status)
        runs = self._list_runs(status)
        changes = self._pacer.adjust(
            runs, self._interference, capacity_millis, now
        )
        if changes:
            LOGGER.info(
                'Changing paces.',
                worker=self._worker,
                paces={change.task: change.percent for change in changes},
                tails={
                    run.task: (run.measure, run.target_latency_ms)
                    for run in runs
                    if run.target_latency_ms
                },
            )
        return changes

    def _list_runs(
        self, status: platform.WorkerStatus
    ) -> list[decisions.PacedRun]:
        runs = []
        for row in status.running:
            run = self._runs.get(row.task)
            if run is None or run.run != row.run:
                continue
            runs.append(
                decisions.PacedRun(
                    row.task,
                    row.run,
                    run.image,
                    run.filler,
                    run.target_latency_ms,
                    row.measure,
                    self._current_paces.get(
                        row.task, decisions.FULL_PACE_PERCENT
                    ),
                    row.task in self._new_tasks,
                )
            )
            self._new_tasks.discard(row.task)
        return runs

    def _drop_unlisted(self, status: platform.WorkerStatus) -> None:
        listed = {row.task for row in status.running}
        for task in tuple(self._runs):
            # A poll sent before a run started does not list it, so that a
            # single omission does not show that the run has ended.
            unlisted_polls = self._unlisted_polls.get(task, 0) + 1
            self._unlisted_polls[task] = (
                0 if task in listed else unlisted_polls
            )
            if self._unlisted_polls[task] > MAX_UNLISTED_POLLS:
                del self._runs[task]
                del self._unlisted_polls[task]
                self._new_tasks.discard(task)
                self._current_paces.pop(task, None)
