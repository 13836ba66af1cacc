"""The leader's state of one job."""

import collections.abc
import typing

from chivespoke import decisions
from chivespoke import errors
from chivespoke import workloads

# Lower bound of an objective, so that jobs without an estimate are still
# ordered by their time of acceptance.
MIN_OBJECTIVE_SECONDS = 0.1

NamedTasks: typing.TypeAlias = collections.abc.Iterator[
    tuple[workloads.TaskName, workloads.TaskProgress]
]


class JobState:
    """Track the progress of a job's tasks."""

    __slots__ = (
        'job',
        'progress',
        'terms',
        'dirty',
        'has_new_checkpoint',
        'deadline',
        'objective_seconds',
        'remaining_paths',
        'has_lasting_steps',
        '_unfinished',
        '_assigned_count',
        '_idle_since',
    )

    def __init__(
        self, job: workloads.Job, progress: workloads.JobProgress | None
    ) -> None:
        self.job = job
        self.progress = progress or workloads.make_initial_progress(job)
        self.terms = job.terms
        # The progress has changed since it was last passed on for storing.
        self.dirty = progress is None
        # A task has a later checkpoint than the stored one.
        self.has_new_checkpoint = False
        # Longest path from each step to the end of the job, in seconds.
        self.has_lasting_steps = any(step.long_running for step in job.steps)
        self.remaining_paths = decisions.measure_remaining_paths(job)
        self.objective_seconds = max(
            MIN_OBJECTIVE_SECONDS,
            decisions.measure_critical_path(job) * job.terms.stretch
            + job.terms.margin_ms / 1000,
        )
        self.deadline = job.accepted_ms / 1000 + self.objective_seconds
        # Number of tasks that are not done, by occurrence and step.
        self._unfinished = [
            [sum(not is_done(task) for task in tasks) for tasks in steps]
            for steps in self.progress.tasks
        ]
        # Number of tasks that are assigned to a worker.
        self._assigned_count = sum(1 for _ in self.list_assigned())
        # Time since which tasks of the job wait and none is assigned.
        self._idle_since: float | None = None

    @property
    def final(self) -> bool:
        """Return whether the job has reached its final phase."""
        return self.progress.phase.final

    def find_task(
        self, name: workloads.TaskName
    ) -> workloads.TaskProgress | None:
        """Return the progress of a task, None if the job has no such task."""
        try:
            return self.progress.tasks[name.occurrence][name.step][name.index]
        except IndexError:
            return None

    @property
    def assigned_count(self) -> int:
        """Return the number of tasks that are assigned to a worker."""
        return self._assigned_count

    def is_waiting(self, name: workloads.TaskName) -> bool:
        """Return whether a task waits for a worker."""
        task = self.find_task(name)
        return task is not None and task.status is workloads.TaskStatus.WAITING

    def is_suspect(self, name: workloads.TaskName) -> bool:
        """Return whether a task is suspected of crashing workers."""
        task = self.find_task(name)
        return task is not None and bool(task.crashes)

    def count_unfinished(self, occurrence: int, step: int) -> int:
        """Return the number of tasks of a step that are not done."""
        return self._unfinished[occurrence][step]

    def list_ready(
        self, wall: float
    ) -> collections.abc.Iterator[tuple[int, int]]:
        """Yield occurrence and step number of unfinished steps that may start.

        A step may start once its occurrence is due and the steps that it
        depends on are done.
        """
        for occurrence, counts in enumerate(self._unfinished):
            if wall < self.compute_occurrence_start(occurrence):
                continue
            for number, step in enumerate(self.job.steps):
                if counts[number] and not any(
                    counts[other] for other in step.depends_on
                ):
                    yield occurrence, number

    def compute_occurrence_start(self, occurrence: int) -> float:
        """Return the start time of an occurrence in seconds since 1970.

        Returns 0.0 for a job without occurrences.
        """
        if not self.job.occurrences:
            return 0.0
        offset = occurrence * self.job.interval_ms
        return (self.job.first_due_ms + offset) / 1000

    def list_waiting(
        self, occurrence: int, step: int
    ) -> list[workloads.TaskName]:
        """Return the names of a step's tasks that wait for a worker."""
        return [
            workloads.TaskName(self.job.identifier, occurrence, step, index)
            for index, task in enumerate(self.progress.tasks[occurrence][step])
            if task.status is workloads.TaskStatus.WAITING
        ]

    def list_assigned(self) -> NamedTasks:
        """Yield the tasks that are assigned to a worker."""
        return self._list_tasks(
            lambda task: task.status is workloads.TaskStatus.ASSIGNED
        )

    def list_suspects(self) -> NamedTasks:
        """Yield the tasks that are suspected of crashing workers."""
        return self._list_tasks(lambda task: bool(task.crashes))

    def measure_idle_time(self, now: float) -> float:
        """Return for how many seconds no task of the job has been assigned.

        The time starts with the first call after the last assigned task
        ended, so call this whenever a task of the job waits for a worker.
        """
        if self._assigned_count:
            return 0.0
        if self._idle_since is None:
            self._idle_since = now
        return now - self._idle_since

    def assign(self, name: workloads.TaskName, worker: str, run: int) -> None:
        """Assign a waiting task to a worker.

        Raises InvariantError if the task does not wait, the job is final or
        the run number does not rise.
        """
        task = self._require(name)
        errors.check_invariant(
            task.status is workloads.TaskStatus.WAITING and not self.final,
            'one run of a task at a time',
            name.format(),
        )
        errors.check_invariant(
            run > task.run, 'run numbers rise', name.format()
        )
        task.status = workloads.TaskStatus.ASSIGNED
        self._assigned_count += 1
        self._idle_since = None
        task.run = run
        task.worker = worker
        self.dirty = True

    def record_start(self) -> bool:
        """Record that a task has begun; return whether it is the first.

        An assignment alone is no start: the worker may refuse the order.
        """
        if self.progress.phase is not workloads.JobPhase.QUEUED:
            return False
        self.progress.phase = workloads.JobPhase.RUNNING
        self.dirty = True
        return True

    def requeue(self, name: workloads.TaskName, checkpoint: str) -> None:
        """Return an assigned task to the queue, with its latest checkpoint.

        An empty checkpoint keeps the known one. Raises InvariantError if the
        task is done.
        """
        task = self._require(name)
        errors.check_invariant(
            not is_done(task), 'a completed task stays done', name.format()
        )
        if task.status is workloads.TaskStatus.ASSIGNED:
            self._assigned_count -= 1
        task.status = workloads.TaskStatus.WAITING
        task.worker = ''
        task.checkpoint = checkpoint or task.checkpoint
        self.dirty = True

    def complete_task(self, name: workloads.TaskName, now_ms: int) -> None:
        """Mark a task as done, or all tasks of its step if that is a gang."""
        step = self.job.steps[name.step]
        tasks = self.progress.tasks[name.occurrence][name.step]
        for task in tasks if step.gang else [self._require(name)]:
            if not is_done(task):
                if task.status is workloads.TaskStatus.ASSIGNED:
                    self._assigned_count -= 1
                task.status = workloads.TaskStatus.DONE
                task.worker = ''
                self._unfinished[name.occurrence][name.step] -= 1
        self.dirty = True
        if not any(any(counts) for counts in self._unfinished):
            self.finalize(workloads.JobPhase.COMPLETED, now_ms)

    def count_failure(self, name: workloads.TaskName, now_ms: int) -> None:
        """Count a failure of a task; fail the job after the last attempt.

        Long-running tasks have no limit on attempts.
        """
        task = self._require(name)
        task.failures += 1
        self.dirty = True
        step = self.job.steps[name.step]
        if step.long_running or task.failures < self.terms.max_attempts:
            return
        self.finalize(workloads.JobPhase.FAILED, now_ms)

    def record_crash(
        self, name: workloads.TaskName, crash: workloads.Crash
    ) -> None:
        """Record a crash of a worker of which a task is suspected."""
        task = self._require(name)
        task.crashes = (*task.crashes, crash)
        self.dirty = True

    def clear_crashes(self, name: workloads.TaskName, run: int) -> None:
        """Forget the crashes of which a task was suspected before a run."""
        task = self._require(name)
        task.crashes = ()
        task.cleared_run = run
        self.dirty = True

    def fail(self, reason: str, now_ms: int) -> None:
        """Fail the job for a reason, unless it has a final phase."""
        if not self.final:
            self.progress.reason = reason
            self.finalize(workloads.JobPhase.FAILED, now_ms)

    def finalize(self, phase: workloads.JobPhase, now_ms: int) -> None:
        """Set the final phase of the job, unless it has one."""
        if self.final:
            return
        self.progress.phase = phase
        self.progress.finished_ms = now_ms
        self.dirty = True

    def count_suspects(self) -> int:
        """Return the number of tasks suspected of crashing workers."""
        return sum(1 for _ in self.list_suspects())

    def _list_tasks(
        self,
        condition: collections.abc.Callable[[workloads.TaskProgress], bool],
    ) -> NamedTasks:
        for occurrence, steps in enumerate(self.progress.tasks):
            for number, tasks in enumerate(steps):
                for index, task in enumerate(tasks):
                    if condition(task):
                        yield (
                            workloads.TaskName(
                                self.job.identifier, occurrence, number, index
                            ),
                            task,
                        )

    def _require(self, name: workloads.TaskName) -> workloads.TaskProgress:
        task = self.find_task(name)
        if task is None:
            raise errors.InvariantError(
                'invariant task exists', name.format(), 'unknown task'
            )
        return task


def is_done(task: workloads.TaskProgress) -> bool:
    """Return whether a task is done."""
    return task.status is workloads.TaskStatus.DONE
