"""Tracking and adjusting the pace of a worker's runs.

The pace of a run is its share of full speed in percent.
"""

import collections.abc

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import workloads

LOGGER = logs.make_logger('paces')

# Consecutive polls that may omit a run before it is dropped: a start may take
# three attempts.
MAX_UNLISTED_POLLS = 15
# Time after which the standings that the leader named last do not count any
# more. A directive follows each 0.4 s, and a change of leader takes 2.5 s.
MAX_STANDINGS_AGE_SECONDS = 3.0


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
        '_standings',
        '_standings_at',
        '_telemetry',
    )

    def __init__(self, worker: str, instruments: telemetry.Telemetry) -> None:
        self._worker = worker
        self._telemetry = instruments
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
        # Jobs that are not to be in time, and when the leader named them.
        self._standings: dict[str, decisions.Standing] = {}
        self._standings_at = float('-inf')

    def update_interference(
        self,
        interference: collections.abc.Iterable[
            decisions.InterferenceCoefficient
        ],
    ) -> None:
        """Replace the leader's estimates of how fillers slow serving tasks."""
        self._interference = decisions.FixedInterferenceModel(interference)

    def update_standings(
        self,
        standings: collections.abc.Iterable[coordination.JobStanding],
        now: float,
    ) -> None:
        """Replace the jobs that the leader does not serve in time."""
        self._standings = {item.job: item.standing for item in standings}
        self._standings_at = now

    def record_start_order(self, order: coordination.StartOrder) -> None:
        """Record the run that an order starts."""
        self.record_run(
            coordination.AdoptedRun(
                order.task,
                order.run,
                order.image,
                order.target_latency_ms,
                order.filler,
                order.cpu_millis,
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

    def list_reduced_paces(
        self, status: platform.WorkerStatus
    ) -> tuple[coordination.RunPace, ...]:
        """Return the paces of the listed fillers below full speed."""
        return tuple(
            coordination.RunPace(row.task, row.run, self._find_pace(row.task))
            for row in status.running
            if self._find_pace(row.task) < decisions.FULL_PACE_PERCENT
            and (run := self._runs.get(row.task)) is not None
            and run.run == row.run
        )

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
        self._drop_old_standings(now)
        runs = self._list_runs(status)
        self._count_fillers(runs)
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
                standings={
                    run.task: run.standing.name
                    for run in runs
                    if run.standing is not decisions.Standing.TIMELY
                },
                standings_age=round(now - self._standings_at, 3)
                if self._standings
                else None,
            )
        return changes

    def _drop_old_standings(self, now: float) -> None:
        """Pace all fillers alike once the leader is not heard any more."""
        if (
            not self._standings
            or now <= self._standings_at + MAX_STANDINGS_AGE_SECONDS
        ):
            return
        LOGGER.warning(
            'The standings of jobs are too old; fillers are paced alike.',
            worker=self._worker,
            jobs=len(self._standings),
            age=round(now - self._standings_at, 3),
        )
        self._standings.clear()

    def _count_fillers(
        self, runs: collections.abc.Iterable[decisions.PacedRun]
    ) -> None:
        for run in runs:
            if run.filler:
                self._telemetry.filler_polls.add(
                    1,
                    {
                        'standing': run.standing.name.lower(),
                        'held': run.pace < decisions.HELD_PACE_PERCENT,
                    },
                )

    def _find_pace(self, task: str) -> int:
        return self._current_paces.get(task, decisions.FULL_PACE_PERCENT)

    def _find_standing(self, task: str) -> decisions.Standing:
        name = workloads.parse_task_name(task) if self._standings else None
        if name is None:
            return decisions.Standing.TIMELY
        return self._standings.get(name.job, decisions.Standing.TIMELY)

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
                    self._find_pace(row.task),
                    row.task in self._new_tasks,
                    self._find_standing(row.task),
                    run.cpu_millis,
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
