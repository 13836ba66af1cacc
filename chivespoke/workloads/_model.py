"""Jobs, their steps and tasks, and the configuration that governs them."""

import enum

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe the tasks of one step of a job."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # A rough guess by whoever submitted the job.
    estimated_ms: int = 0
    # Earlier steps all of whose tasks must be done first.
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    # Tasks of the step on one worker; 0 for no limit.
    max_per_worker: int = 0
    allow_copies: bool = False
    long_running: bool = False
    image: str = ''
    # Tail latency that a serving task must stay below; 0 if it serves none.
    target_latency_ms: int = 0
    # Takes processor time that others leave; its share is not reserved.
    filler: bool = False
    # Tasks that may be away at once through the system's own doing.
    max_unavailable: int = 0


class AdviceTiming(msgspec.Struct, frozen=True):
    """Say how long advice on a step takes."""

    # Seconds for any question, and more for each worker that it names.
    decision_seconds: float
    worker_seconds: float

    def estimate_answer_seconds(self, workers: int) -> float:
        """Return the seconds after which a question is answered."""
        return self.decision_seconds + workers * self.worker_seconds


class QueueTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what a queue promises to its jobs."""

    service: str
    # 0 is the most urgent.
    priority: int = 0
    max_attempts: int = 1
    # The objective is the longest chain times this, plus the margin.
    stretch: float = 1.0
    margin_ms: int = 0
    # Set if an advisor says which workers may run a step.
    advice: AdviceTiming | None = None


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a job as it was accepted."""

    identifier: str
    queue: str
    terms: QueueTerms
    payload: str
    steps: tuple[Step, ...]
    # Milliseconds of the wall clock at acceptance.
    accepted_ms: int
    # 0 for a job that runs once, at once.
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run."""
        return max(1, self.occurrences)


class TaskName(msgspec.Struct, frozen=True):
    """Name one task of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def is_same_step(self, other: 'TaskName') -> bool:
        """Tell whether both are of one step of one occurrence."""
        return (self.job, self.occurrence, self.step) == (
            other.job,
            other.occurrence,
            other.step,
        )

    def format(self) -> str:
        """Return the name as text."""
        return f'{self.format_step()}.{self.index}'

    def format_step(self) -> str:
        """Return the name of the step and occurrence as text."""
        return f'{self.job}.{self.occurrence}.{self.step}'


def parse_task_name(text: str) -> TaskName | None:
    """Return the task that a text names, or None if it names none."""
    parts = text.split('.')
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class JobPhase(enum.Enum):
    """Say how far a job is."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Tell whether the job will change no more."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


class TaskStatus(enum.IntEnum):
    """Say how far a task is."""

    WAITING = 0
    # Recorded as given to a worker; it may run there until proved otherwise.
    ASSIGNED = 1
    DONE = 2


class TaskProgress(msgspec.Struct, array_like=True):
    """Hold what is recorded of one task."""

    status: TaskStatus = TaskStatus.WAITING
    # The number of its newest run.
    run: int = 0
    worker: str = ''
    failures: int = 0
    checkpoint: str = ''


class JobProgress(msgspec.Struct, array_like=True):
    """Hold what is recorded of one job."""

    phase: JobPhase = JobPhase.QUEUED
    # By occurrence, step and index.
    tasks: list[list[list[TaskProgress]]] = msgspec.field(default_factory=list)
    # Milliseconds of the wall clock at which the phase became final.
    finished_ms: int = 0


def make_initial_progress(job: Job) -> JobProgress:
    """Return the progress of a job of which nothing has started."""
    return JobProgress(
        tasks=[
            [[TaskProgress() for _ in range(step.count)] for step in job.steps]
            for _ in range(job.occurrence_count)
        ]
    )


class Queue(msgspec.Struct, frozen=True):
    """Hold a queue of the configuration."""

    name: str
    host: str
    path_prefix: str
    terms: QueueTerms


class Service(msgspec.Struct, frozen=True):
    """Hold a service of the configuration."""

    name: str
    # Its workers refuse what does not fit.
    enforces_capacity: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Hold one version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    body_limit: int = 262144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            found, key=lambda queue: len(queue.path_prefix), default=None
        )


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Hold amounts of what a worker shares out."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def covers(self, other: 'Room') -> bool:
        """Tell whether another amount fits into this one."""
        return (
            other.cpu_millis <= self.cpu_millis
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def add(self, other: 'Room', sign: int = 1) -> 'Room':
        """Return the sum, or with sign -1 the difference."""
        return Resources(
            self.cpu_millis + sign * other.cpu_millis,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )


def compute_reservation(step: Step) -> Resources:
    """Return what a task of a step reserves on its worker."""
    cpu_millis = 0 if step.filler else step.cpu_millis
    return Resources(cpu_millis, step.memory_mb, step.accelerators)
