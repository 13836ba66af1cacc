"""What the leader knows of the workers and of the runs on them."""

import enum

from chivespoke.coordination import _messages
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads


class RunState(enum.Enum):
    """Say how far an order has come."""

    # Decided, but not yet in the store: no order may leave.
    DECIDED = 'decided'
    ORDERED = 'ordered'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """Hold one run that is, or may be, on a worker."""

    __slots__ = (
        'name',
        'text',
        'number',
        'step',
        'state',
        'sent_at',
        'began_at',
        'listing',
        'repeated',
    )

    def __init__(
        self,
        name: workloads.TaskName,
        number: int,
        step: workloads.Step,
        state: RunState,
    ) -> None:
        self.name = name
        self.text = name.format()
        self.number = number
        self.step = step
        self.state = state
        # When the last order on it left, None while none has.
        self.sent_at: float | None = None
        self.began_at: float | None = None
        self.listing: platform.RunningTask | None = None
        # Ordered before, by this leader or an earlier one.
        self.repeated = False


class Worker:
    """Hold one life of a worker."""

    __slots__ = (
        'life',
        'sidecar',
        'incarnation',
        'draining',
        'answering',
        'heard_at',
        'lease_bound',
        'lease_from_ms',
        'runs',
        'reserved',
        'filler_millis',
        'serving_millis',
        'foreign',
        'processed',
        'acknowledged',
        'blocked_until',
    )

    def __init__(
        self,
        life: _messages.WorkerLife,
        sidecar: str,
        incarnation: str,
        now: float,
    ) -> None:
        self.life = life
        self.sidecar = sidecar
        self.incarnation = incarnation
        self.draining = False
        self.answering = True
        self.heard_at = now
        # By then every lease on it has run out, unless it is heard again.
        self.lease_bound = now
        self.lease_from_ms = 0
        # By the text of the task's name.
        self.runs: dict[str, Run] = {}
        self.reserved = workloads.Room()
        # Processor time that fillers on it would take.
        self.filler_millis = 0
        # Part of the reserved time that belongs to tasks that serve.
        self.serving_millis = 0
        # Runs that it lists and the ledger does not.
        self.foreign: dict[str, int] = {}
        # Highest number of an end that was taken in, and that is recorded.
        self.processed = 0
        self.acknowledged = 0
        self.blocked_until = 0.0

    @property
    def rack(self) -> str:
        """Return the label of its rack: the last one it names."""
        return self.life.labels[-1] if self.life.labels else ''

    def add(self, run: Run) -> None:
        """Account for a run."""
        self.runs[run.text] = run
        self._reserve(run.step, 1)

    def remove(self, text: str) -> None:
        """Free what a run held."""
        run = self.runs.pop(text, None)
        if run is not None:
            self._reserve(run.step, -1)

    def _reserve(self, step: workloads.Step, sign: int) -> None:
        need = workloads.measure_need(step)
        self.reserved = self.reserved.add(need, sign)
        if step.filler:
            self.filler_millis += sign * step.cpu_millis
        if step.target_latency_ms:
            self.serving_millis += sign * step.cpu_millis


def describe(worker: Worker, same_step: int) -> decisions.Site:
    """Return what a decision on placement may look at."""
    free = worker.life.capacity.add(worker.reserved, -1)
    return decisions.Site(
        worker=worker.life.key,
        rack=worker.rack,
        labels=worker.life.labels,
        free=free,
        spare_millis=decisions.estimate_spare(
            free.cpu_millis, worker.serving_millis, worker.filler_millis
        ),
        same_step=same_step,
    )
