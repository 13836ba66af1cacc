"""The tasks that are suspected of crashing workers."""

import collections.abc

from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import workloads

# Longest time for which a worker is kept for a suspect that neither crashes it
# nor makes progress.
MAX_HOLD_SECONDS = 4.0


class SuspectTasks:
    """Track the suspects, so that most plans need not look for them."""

    __slots__ = ('_names',)

    def __init__(self) -> None:
        self._names: dict[str, workloads.TaskName] = {}

    def __bool__(self) -> bool:
        return bool(self._names)

    def add(self, name: workloads.TaskName) -> None:
        """Add a task with a crash on record."""
        self._names[name.format()] = name

    def load(self, state: _jobs.JobState) -> None:
        """Add the suspects of a job from the ledger."""
        for name, _ in state.list_suspects():
            self.add(name)

    def clear(self, state: _jobs.JobState, run: _fleet.Run) -> None:
        """Drop the suspicion against a task whose run has survived."""
        self._names.pop(run.task_id, None)
        state.clear_crashes(run.name, run.number)

    def find_held_workers(
        self,
        jobs: collections.abc.Mapping[str, _jobs.JobState],
        workers: collections.abc.Mapping[str, _fleet.Worker],
        now: float,
    ) -> dict[str, str]:
        """Return the workers on which suspects have started, and their jobs.

        Forgets the tasks that need no other start.
        """
        held: dict[str, str] = {}
        for task_id, name in tuple(self._names.items()):
            state = jobs.get(name.job)
            task = state.find_task(name) if state else None
            if (
                state is None
                or task is None
                or state.final
                or task.status is workloads.TaskStatus.DONE
            ):
                del self._names[task_id]
                continue
            worker = workers.get(task.worker)
            run = worker.runs.get(task_id) if worker else None
            if run is not None and is_on_trial(run, now):
                held[task.worker] = name.job
        return held


def is_on_trial(run: _fleet.Run, now: float) -> bool:
    """Return whether a suspect may still show that it crashes its worker."""
    return run.started_at is None or now < run.started_at + MAX_HOLD_SECONDS


def is_young(run: _fleet.Run, now: float) -> bool:
    """Return whether a run would be suspected if its worker crashed now."""
    return (
        run.started_at is None
        or now < run.started_at + decisions.SUSPECT_AGE_SECONDS
    )
