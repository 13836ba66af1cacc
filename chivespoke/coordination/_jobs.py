"""The state of one job as the leader keeps it."""

import collections.abc

from chivespoke import decisions
from chivespoke import errors
from chivespoke import workloads

# Shortest objective that is reckoned with, in seconds, so that jobs without
# any estimate still rank by when they came.
SHORTEST_OBJECTIVE = 0.1


class JobState:
    """Apply what happens to the tasks of a job."""

    __slots__ = (
        'job',
        'progress',
        'terms',
        'dirty',
        'has_new_checkpoint',
        'due',
        'objective',
        '_open',
        '_assigned',
        '_idle_since',
    )

    def __init__(
        self, job: workloads.Job, progress: workloads.JobProgress | None
    ) -> None:
        self.job = job
        self.progress = progress or workloads.make_initial_progress(job)
        self.terms = job.terms
        # Differs from what the store holds.
        self.dirty = progress is None
        # A task has a later checkpoint than the store knows.
        self.has_new_checkpoint = False
        chain = decisions.measure_critical_path(job)
        self.objective = max(
            SHORTEST_OBJECTIVE,
            chain * job.terms.stretch + job.terms.margin_ms / 1000,
        )
        self.due = job.accepted_ms / 1000 + self.objective
        # Tasks that are not done, by occurrence and step.
        self._open = [
            [sum(not is_done(task) for task in tasks) for tasks in steps]
            for steps in self.progress.tasks
        ]
        # Number of tasks that a worker has or may have.
        self._assigned = sum(1 for _ in self.list_assigned())
        # Since when work of the job waits and none is assigned.
        self._idle_since: float | None = None

    @property
    def final(self) -> bool:
        """Tell whether the job will change no more."""
        return self.progress.phase.final

    def find(self, name: workloads.TaskName) -> workloads.TaskProgress | None:
        """Return a task's progress, None if the job has no such task."""
        try:
            return self.progress.tasks[name.occurrence][name.step][name.index]
        except IndexError:
            return None

    def list_ready(
        self, wall: float
    ) -> collections.abc.Iterator[tuple[int, int]]:
        """Yield occurrence and step whose turn has come."""
        for occurrence, counts in enumerate(self._open):
            if wall < self.measure_due(occurrence):
                continue
            for number, step in enumerate(self.job.steps):
                if counts[number] and not any(
                    counts[other] for other in step.depends_on
                ):
                    yield occurrence, number

    def measure_due(self, occurrence: int) -> float:
        """Return the second since 1970 at which an occurrence begins."""
        if not self.job.occurrences:
            return 0.0
        offset = occurrence * self.job.interval_ms
        return (self.job.first_due_ms + offset) / 1000

    def list_waiting(
        self, occurrence: int, step: int
    ) -> list[workloads.TaskName]:
        """Return the tasks of a step that no worker has."""
        return [
            workloads.TaskName(self.job.identifier, occurrence, step, index)
            for index, task in enumerate(self.progress.tasks[occurrence][step])
            if task.status is workloads.TaskStatus.WAITING
        ]

    def list_assigned(
        self,
    ) -> collections.abc.Iterator[
        tuple[workloads.TaskName, workloads.TaskProgress]
    ]:
        """Yield the tasks that a worker has or may have."""
        for occurrence, steps in enumerate(self.progress.tasks):
            for number, tasks in enumerate(steps):
                for index, task in enumerate(tasks):
                    if task.status is workloads.TaskStatus.ASSIGNED:
                        yield (
                            workloads.TaskName(
                                self.job.identifier, occurrence, number, index
                            ),
                            task,
                        )

    def measure_idle(self, now: float) -> float:
        """Return for how long, in seconds, the job has had only waiting work.

        To be asked whenever work of the job waits for a place.
        """
        if self._assigned:
            return 0.0
        if self._idle_since is None:
            self._idle_since = now
        return now - self._idle_since

    def assign(self, name: workloads.TaskName, worker: str, run: int) -> None:
        """Give a waiting task to a worker."""
        task = self._demand(name)
        errors.check_invariant(
            task.status is workloads.TaskStatus.WAITING and not self.final,
            'one run of a task at a time',
            name.format(),
        )
        errors.check_invariant(
            run > task.run, 'run numbers rise', name.format()
        )
        task.status = workloads.TaskStatus.ASSIGNED
        self._assigned += 1
        self._idle_since = None
        task.run = run
        task.worker = worker
        self.dirty = True
        if self.progress.phase is workloads.JobPhase.QUEUED:
            self.progress.phase = workloads.JobPhase.RUNNING

    def release(self, name: workloads.TaskName, checkpoint: str) -> None:
        """Let an assigned task wait again."""
        task = self._demand(name)
        if task.status is workloads.TaskStatus.ASSIGNED:
            self._assigned -= 1
        task.status = workloads.TaskStatus.WAITING
        task.worker = ''
        task.checkpoint = checkpoint or task.checkpoint
        self.dirty = True

    def finish(self, name: workloads.TaskName, now_ms: int) -> None:
        """Take a task, or the gang that it speaks for, as done."""
        step = self.job.steps[name.step]
        tasks = self.progress.tasks[name.occurrence][name.step]
        for task in tasks if step.gang else [self._demand(name)]:
            if not is_done(task):
                if task.status is workloads.TaskStatus.ASSIGNED:
                    self._assigned -= 1
                task.status = workloads.TaskStatus.DONE
                task.worker = ''
                self._open[name.occurrence][name.step] -= 1
        self.dirty = True
        if not any(any(counts) for counts in self._open):
            self.close(workloads.JobPhase.COMPLETED, now_ms)

    def fail(self, name: workloads.TaskName, now_ms: int) -> None:
        """Count a failure of a task; the job fails with its last attempt."""
        task = self._demand(name)
        task.failures += 1
        self.dirty = True
        step = self.job.steps[name.step]
        if step.long_running or task.failures < self.terms.max_attempts:
            return
        self.close(workloads.JobPhase.FAILED, now_ms)

    def close(self, phase: workloads.JobPhase, now_ms: int) -> None:
        """Make a phase the job's last."""
        if self.final:
            return
        self.progress.phase = phase
        self.progress.finished_ms = now_ms
        self.dirty = True

    def _demand(self, name: workloads.TaskName) -> workloads.TaskProgress:
        task = self.find(name)
        if task is None:
            raise errors.InvariantError(
                'invariant task exists', name.format(), 'unknown task'
            )
        return task


def is_done(task: workloads.TaskProgress) -> bool:
    """Tell whether a task has been done."""
    return task.status is workloads.TaskStatus.DONE
