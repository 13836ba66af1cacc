"""What the leader knows of the workers and of the runs on them."""

import collections.abc
import enum
import math

from chivespoke.coordination import _messages
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

# A serving run that was not measured yet is taken to have this share of the
# tail that pacing aims at.
UNSEEN_TAIL = 0.5
# Weight of a new look at a tail, at two and a half looks a second: an average
# over about a second, within which the load hardly swings.
BASE_WEIGHT = 0.4
# Tails are compared with those of so many seconds before: longer than the half
# second that they are measured over, and short beside a swing of load.
SAMPLE_SECONDS = 0.6


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
        'ticket',
        'log_base',
        'sample',
        'watch',
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
        # Log of the tail that a serving run would have without fillers.
        self.log_base: float | None = None
        self.sample: TailSample | None = None
        self.watch: decisions.ProgressWatch | None = None
        # Ordered before, by this leader or an earlier one.
        self.repeated = False
        # The advisor's leave to start it; empty where none is needed.
        self.ticket = ''


class Worker:
    """Hold one life of a worker."""

    __slots__ = (
        'incarnation',
        'sidecar',
        'sidecar_incarnation',
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
        incarnation: _messages.WorkerIncarnation,
        sidecar: str,
        sidecar_incarnation: str,
        now: float,
    ) -> None:
        self.incarnation = incarnation
        self.sidecar = sidecar
        self.sidecar_incarnation = sidecar_incarnation
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
        return self.incarnation.labels[-1] if self.incarnation.labels else ''

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


def describe(worker: Worker, pressures: decisions.Pressures) -> decisions.Site:
    """Return what a decision on placement may look at."""
    free = worker.incarnation.capacity.add(worker.reserved, -1)
    fillers = [run for run in worker.runs.values() if run.step.filler]
    headrooms = tuple(
        decisions.Headroom(
            run.step.image,
            measure_headroom(
                run, fillers, pressures, worker.incarnation.capacity.cpu_millis
            ),
        )
        for run in worker.runs.values()
        if run.step.target_latency_ms
    )
    return decisions.Site(
        worker=worker.incarnation.key,
        rack=worker.rack,
        labels=worker.incarnation.labels,
        free=free,
        capacity=worker.incarnation.capacity,
        spare_millis=decisions.estimate_spare(
            free.cpu_millis, worker.serving_millis, worker.filler_millis
        ),
        headrooms=headrooms,
    )


def measure_headroom(
    serving: Run,
    fillers: collections.abc.Iterable[Run],
    pressures: decisions.Pressures,
    capacity_millis: int,
) -> float:
    """Return how much a serving run's log tail may grow, all told."""
    limit = math.log(decisions.AIM * serving.step.target_latency_ms)
    base = serving.log_base
    if base is None:
        base = limit + math.log(UNSEEN_TAIL)
    pressed = sum(
        pressures.find(serving.step.image, run.step.image)
        * run.step.cpu_millis
        / max(1, capacity_millis)
        for run in fillers
    )
    return limit - base - pressed


class TailSample:
    """Hold a look at a serving run's tail, to compare a later one with."""

    __slots__ = ('at', 'log_tail', 'uses')

    def __init__(
        self, at: float, log_tail: float, uses: dict[str, float]
    ) -> None:
        self.at = at
        self.log_tail = log_tail
        # Shares of the worker that fillers used beside it, by image.
        self.uses = uses


def learn_tails(worker: Worker, model: decisions.PressureModel) -> None:
    """Learn from one look what fillers do to the serving runs beside them."""
    uses = measure_uses(worker)
    for run in worker.runs.values():
        if not run.step.target_latency_ms or run.listing is None:
            continue
        tail = run.listing.measure
        if tail <= 0:
            # Not at work yet.
            continue
        sample = TailSample(worker.heard_at, math.log(max(1.0, tail)), uses)
        compare_samples(run, sample, model)
        pressed = sum(
            model.find(run.step.image, image) * share
            for image, share in uses.items()
        )
        base = sample.log_tail - pressed
        if run.log_base is None:
            run.log_base = base
        run.log_base += BASE_WEIGHT * (base - run.log_base)


def measure_uses(worker: Worker) -> dict[str, float]:
    """Return the shares of a worker that fillers use, by image."""
    uses: dict[str, float] = {}
    capacity = max(1, worker.incarnation.capacity.cpu_millis)
    for run in worker.runs.values():
        if run.step.filler and run.listing is not None:
            share = run.listing.measure / capacity
            uses[run.step.image] = uses.get(run.step.image, 0.0) + share
    return uses


def compare_samples(
    run: Run, sample: TailSample, model: decisions.PressureModel
) -> None:
    """Teach the model how a tail has changed with the fillers beside it.

    Changes are compared rather than tails: the load of a serving task swings
    slowly, and pacing slows fillers just when that load is high, so that
    tails themselves would make fillers look harmless.
    """
    before = run.sample
    if before is not None and sample.at < before.at + SAMPLE_SECONDS:
        return
    run.sample = sample
    if before is None or sample.at > before.at + 2 * SAMPLE_SECONDS:
        return
    images = before.uses.keys() | sample.uses.keys()
    changes = {
        image: sample.uses.get(image, 0.0) - before.uses.get(image, 0.0)
        for image in sorted(images)
    }
    model.learn(run.step.image, sample.log_tail - before.log_tail, changes)
