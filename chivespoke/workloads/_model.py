"""Jobs, their steps and tasks, and the operator's configuration."""

import enum

import msgspec

from chivespoke import decoding


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specify the tasks of one step of a job."""

    count: decoding.Amount
    cpu_millis: decoding.Amount = 0
    memory_mb: decoding.Amount = 0
    accelerators: decoding.Amount = 0
    # Rough estimate of the duration of a task, given by the submitter.
    estimated_ms: decoding.Amount = 0
    # Indexes of earlier steps whose tasks must all be done first.
    depends_on: tuple[decoding.Amount, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    # Maximum number of tasks of the step on one worker; 0 for no limit.
    max_per_worker: decoding.Amount = 0
    allow_copies: bool = False
    long_running: bool = False
    image: str = ''
    # Maximum tail latency of a serving task; 0 if the task serves no requests.
    target_latency_ms: decoding.Amount = 0
    # The task uses processor time that other tasks leave unused; none is
    # reserved for it.
    filler: bool = False
    # Maximum number of tasks that the scheduler may make unavailable at once.
    max_unavailable: decoding.Amount = 0


class AdviceTiming(msgspec.Struct, frozen=True):
    """Hold the response times of the advisor."""

    # Fixed time of every request, and additional time for each worker that it
    # names.
    decision_seconds: float
    worker_seconds: float

    def estimate_answer_seconds(self, workers: int) -> float:
        """Return the expected time in seconds until a request is answered."""
        return self.decision_seconds + workers * self.worker_seconds


class QueueTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the scheduling terms of the jobs of a queue."""

    service: str
    # 0 is the most urgent.
    priority: decoding.Number = 0
    max_attempts: decoding.Number = 1
    # The objective is the duration of the critical path times `stretch`, plus
    # the margin.
    stretch: decoding.Quantity = 1.0
    margin_ms: decoding.Number = 0
    # Set if an advisor decides which workers may run a step.
    advice: AdviceTiming | None = None


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold an accepted job."""

    identifier: str
    queue: str
    terms: QueueTerms
    payload: str
    steps: tuple[Step, ...]
    # Wall-clock time of acceptance, in milliseconds since 1970.
    accepted_ms: decoding.Amount
    # 0 for a job that runs once and immediately.
    occurrences: decoding.Amount = 0
    first_due_ms: decoding.Amount = 0
    interval_ms: decoding.Amount = 0

    @property
    def occurrence_count(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.occurrences)

    @property
    def is_filler(self) -> bool:
        """Return whether all tasks use only what others leave unused."""
        return all(
            step.filler and not step.long_running for step in self.steps
        )

    @property
    def task_count(self) -> int:
        """Return the number of tasks of all occurrences."""
        return self.occurrence_count * sum(step.count for step in self.steps)


class TaskName(msgspec.Struct, frozen=True):
    """Identify one task of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def is_same_step(self, other: 'TaskName') -> bool:
        """Return whether both tasks belong to one step and occurrence."""
        return (self.job, self.occurrence, self.step) == (
            other.job,
            other.occurrence,
            other.step,
        )

    def format(self) -> str:
        """Return the name as `job.occurrence.step.index`."""
        return f'{self.format_step()}.{self.index}'

    def format_step(self) -> str:
        """Return the name of the step as `job.occurrence.step`."""
        return f'{self.job}.{self.occurrence}.{self.step}'


def parse_task_name(text: str) -> TaskName | None:
    """Parse a formatted task name; return None if it is malformed."""
    parts = text.split('.')
    if len(parts) != 4 or not all(map(decoding.is_number, parts[1:])):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class JobPhase(enum.Enum):
    """Phase of the lifecycle of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Return whether the phase cannot change any more."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


class TaskStatus(enum.IntEnum):
    """State of a task in the ledger."""

    WAITING = 0
    # Assigned to a worker; the task must be assumed to run there until it is
    # known that it does not.
    ASSIGNED = 1
    DONE = 2


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """Hold a crash of a worker of which a task is suspected."""

    worker: str
    # Where the worker ran; a later incarnation at the same place has the same.
    place: str
    # Wall-clock time, in milliseconds since 1970.
    at_ms: decoding.Amount
    # Number of the run that was lost.
    run: decoding.Amount
    # Tasks of no other job were suspects.
    conclusive: bool


class TaskProgress(msgspec.Struct, array_like=True):
    """Hold the recorded state of one task."""

    status: TaskStatus = TaskStatus.WAITING
    # Number of the latest run.
    run: decoding.Amount = 0
    worker: str = ''
    failures: decoding.Amount = 0
    checkpoint: str = ''
    # Crashes of workers of which the task is suspected; an entry of an earlier
    # version stores none.
    crashes: tuple[Crash, ...] = ()
    # Number of the latest run that cleared the task of suspicion.
    cleared_run: decoding.Amount = 0
    # Number of the latest run of a lasting task that its worker has listed and
    # that no call can start any more.
    settled_run: decoding.Amount = 0


class JobProgress(msgspec.Struct, array_like=True):
    """Hold the recorded state of one job."""

    phase: JobPhase = JobPhase.QUEUED
    # By occurrence, step and index.
    tasks: list[list[list[TaskProgress]]] = msgspec.field(default_factory=list)
    # Wall-clock time at which the phase became final, in milliseconds since
    # 1970.
    finished_ms: decoding.Amount = 0
    # Why the job failed; empty if a task has failed too often.
    reason: str = ''


def describe_flaw(job: Job) -> str:
    """Return why a job cannot be scheduled, empty if it can."""
    if not job.steps:
        return 'no steps'
    for index, step in enumerate(job.steps):
        if step.count < 1:
            return f'step {index} has no tasks'
        if any(not 0 <= dependency < index for dependency in step.depends_on):
            return f'step {index} depends on a step that does not precede it'
    return ''


def fits(job: Job, progress: JobProgress) -> bool:
    """Return whether a progress has the occurrences and steps of a job."""
    counts = [step.count for step in job.steps]
    return len(progress.tasks) == job.occurrence_count and all(
        [len(tasks) for tasks in steps] == counts for steps in progress.tasks
    )


def make_initial_progress(job: Job) -> JobProgress:
    """Return the progress of a job before its first task starts."""
    return JobProgress(
        tasks=[
            [[TaskProgress() for _ in range(step.count)] for step in job.steps]
            for _ in range(job.occurrence_count)
        ]
    )


class Queue(msgspec.Struct, frozen=True):
    """Hold the configuration of a queue."""

    name: str
    host: str
    path_prefix: str
    terms: QueueTerms


class Service(msgspec.Struct, frozen=True):
    """Hold the configuration of a service."""

    name: str
    # Workers of the service reject tasks that exceed their capacity.
    enforces_capacity: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Hold one version of the operator's configuration.

    `body_limit` is in bytes.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    body_limit: int = 262144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matching, key=lambda queue: len(queue.path_prefix), default=None
        )

    def is_contended(self, service: str) -> bool:
        """Return whether queues of several priorities share a service."""
        priorities = {
            queue.terms.priority
            for queue in self.queues
            if queue.terms.service == service
        }
        return len(priorities) > 1


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Hold amounts of the resources of a worker."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def covers(self, other: 'Resources') -> bool:
        """Return whether these amounts are at least those of `other`."""
        return (
            other.cpu_millis <= self.cpu_millis
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def add(self, other: 'Resources', sign: int = 1) -> 'Resources':
        """Return the sum, or the difference if `sign` is -1."""
        return Resources(
            self.cpu_millis + sign * other.cpu_millis,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )


def compute_reservation(step: Step) -> Resources:
    """Return the resources that a task of a step reserves on its worker."""
    cpu_millis = 0 if step.filler else step.cpu_millis
    return Resources(cpu_millis, step.memory_mb, step.accelerators)
