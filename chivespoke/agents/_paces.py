"""Tracking and adjusting the pace of a worker's runs.

The pace of a run is its share of full speed in percent.
"""

import collections.abc

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('paces')

# Consecutive polls that may omit a run before its start order is dropped: a
# start may take three attempts.
MAX_UNLISTED_POLLS = 15


class PaceTracker:
    """Track start orders and paces, and compute changes of paces."""

    __slots__ = (
        '_worker',
        '_capacity_millis',
        '_pacer',
        '_interference',
        '_start_orders',
        '_unlisted_polls',
        '_current_paces',
    )

    def __init__(self, worker: str, capacity_millis: int) -> None:
        self._worker = worker
        self._capacity_millis = capacity_millis
        self._pacer = decisions.Pacer()
        self._interference = decisions.FixedInterferenceModel()
        # Start orders of the current runs, by task.
        self._start_orders: dict[str, coordination.StartOrder] = {}
        # Consecutive polls that did not list the run, by task.
        self._unlisted_polls: dict[str, int] = {}
        # Last pace set, by task; a run starts at full speed.
        self._current_paces: dict[str, int] = {}

    def update_interference(
        self,
        interference: collections.abc.Iterable[
            decisions.InterferenceCoefficient
        ],
    ) -> None:
        """Replace the leader's estimates of how fillers slow serving tasks."""
        self._interference = decisions.FixedInterferenceModel(interference)

    def record_start_order(self, order: coordination.StartOrder) -> None:
        """Record the order of a run that is starting or is adopted."""
        self._start_orders[order.task] = order
        self._unlisted_polls[order.task] = 0
        if not order.repeated:
            self._current_paces.pop(order.task, None)

    def record_pace(self, change: decisions.PaceChange) -> None:
        """Record a pace that the worker has accepted."""
        self._current_paces[change.task] = change.percent

    def adjust(
        self, status: platform.WorkerStatus, now: float
    ) -> list[decisions.PaceChange]:
        """Return the changes of pace for the runs that a poll listed.

        now is the monotonic time in seconds.
        """
        self._drop_unlisted(status)
        runs = self._list_runs(status)
        changes = self._pacer.adjust(
            runs, self._interference, self._capacity_millis, now
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
            order = self._start_orders.get(row.task)
            if order is None or order.run != row.run:
                continue
            runs.append(
                decisions.PacedRun(
                    row.task,
                    row.run,
                    order.image,
                    order.filler,
                    order.target_latency_ms,
                    row.measure,
                    self._current_paces.get(
                        row.task, decisions.FULL_PACE_PERCENT
                    ),
                )
            )
        return runs

    def _drop_unlisted(self, status: platform.WorkerStatus) -> None:
        listed = {row.task for row in status.running}
        for task in tuple(self._start_orders):
            # A poll sent before a run started does not list it, so that a
            # single omission does not show that the run has ended.
            unlisted_polls = self._unlisted_polls.get(task, 0) + 1
            self._unlisted_polls[task] = (
                0 if task in listed else unlisted_polls
            )
            if self._unlisted_polls[task] > MAX_UNLISTED_POLLS:
                del self._start_orders[task]
                del self._unlisted_polls[task]
                self._current_paces.pop(task, None)
