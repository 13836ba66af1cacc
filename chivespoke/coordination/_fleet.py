"""The leader's view of the workers and the runs on them."""

import collections.abc
import enum
import math

from chivespoke.coordination import _messages
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

# A worker gets no new tasks once its last report is older than this: two and a
# half heartbeat intervals.
REPORT_TIMEOUT_SECONDS = 1.0
# Tail latency assumed for a serving run that was not measured yet, as a share
# of the tail latency that pacing aims at.
UNMEASURED_TAIL_SHARE = 0.5
# Weight of a new sample in the exponential moving average of a tail. At 2.5
# samples a second it averages over about 1 s, in which load changes little.
BASE_TAIL_WEIGHT = 0.4
# Minimum time between two tail samples that are compared: longer than the
# 0.5 s over which a tail is measured, and short compared with changes of load.
SAMPLE_INTERVAL_SECONDS = 0.6


class RunState(enum.Enum):
    """State of a run and of the orders for it."""

    # The decision is not stored yet, so no order may be sent.
    DECIDED = 'decided'
    ORDERED = 'ordered'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """Hold the state of a run that exists, or may exist, on a worker."""

    __slots__ = (
        'name',
        'task_id',
        'step_id',
        'number',
        'step',
        'state',
        'selected',
        'sent_at',
        'started_at',
        'last_listing',
        'repeated',
        'inherited',
        'ticket',
        'log_base_tail',
        'last_sample',
        'stall_detector',
        'speed_tracker',
        'ordered_in',
        'pace',
        'held_since',
    )

    def __init__(
        self,
        name: workloads.TaskName,
        number: int,
        step: workloads.Step,
        state: RunState,
    ) -> None:
        self.name = name
        self.task_id = name.format()
        self.step_id = name.format_step()
        self.number = number
        self.step = step
        self.state = state
        # The next directive includes the order for the run.
        self.selected = False
        # Time of the last order for the run, None if none was sent or another
        # order is due at once.
        self.sent_at: float | None = None
        self.started_at: float | None = None
        self.last_listing: platform.RunningTask | None = None
        # Natural logarithm of the tail latency that a serving run would have
        # without fillers.
        self.log_base_tail: float | None = None
        self.last_sample: TailSample | None = None
        self.stall_detector: decisions.StallDetector | None = None
        self.speed_tracker: decisions.SpeedTracker | None = None
        # The pace that the sidecar reported last, in percent of full speed.
        self.pace = decisions.FULL_PACE_PERCENT
        # Time of the first report since which the pace has held the run down;
        # None if it does not.
        self.held_since: float | None = None
        # This leader or an earlier one has already sent the order.
        self.repeated = False
        # An earlier leader may have started the run.
        self.inherited = False
        # Number of the last directive that ordered this run to start.
        self.ordered_in = 0
        # The advisor's permission to start the run; empty if none is needed.
        self.ticket = ''

    @property
    def order_key(self) -> str:
        """Return a unique key of the order to start the run."""
        return f'{self.task_id}#{self.number}'

    def record_pace(self, percent: int, now: float) -> None:
        """Record the pace that a report of the answering worker names."""
        self.pace = percent
        if percent >= decisions.HELD_PACE_PERCENT:
            self.held_since = None
        elif self.held_since is None:
            self.held_since = now

    def measure_held(self, now: float) -> float:
        """Return for how many seconds the pace has held the run down."""
        return 0.0 if self.held_since is None else now - self.held_since


class Worker:
    """Hold the state of one worker incarnation."""

    __slots__ = (
        'incarnation',
        'sidecar',
        'session',
        'draining',
        'answering',
        'reported_at',
        'answered_at',
        'leases_expire_at',
        'worker_clock_ms',
        'granted_until_ms',
        'directives',
        'runs',
        'reserved',
        'filler_millis',
        'serving_millis',
        'unrecorded_runs',
        'processed_end',
        'acknowledged',
        'blocked_until',
        'candidate',
    )

    def __init__(
        self,
        incarnation: _messages.WorkerIncarnation,
        sidecar: str,
        session: str,
        now: float,
    ) -> None:
        self.incarnation = incarnation
        self.sidecar = sidecar
        # Session in which the sidecar last described the worker.
        self.session = session
        self.draining = False
        self.answering = True
        self.reported_at = now
        # Time of the last report of a poll that the worker answered.
        self.answered_at = now
        # Time at which all leases on the worker have expired, unless its
        # sidecar reports again.
        self.leases_expire_at = now
        self.worker_clock_ms = 0
        # Reading of the worker's clock beyond which this leader has allowed no
        # lease so far.
        self.granted_until_ms = 0
        # Number of directives made for the worker.
        self.directives = 0
        # Keyed by task id.
        self.runs: dict[str, Run] = {}
        self.reserved = workloads.Resources()
        # Processor time that the fillers on the worker request.
        self.filler_millis = 0
        # Part of the reserved processor time that serving tasks hold.
        self.serving_millis = 0
        # Runs that the worker reports but that are not assigned to it: run
        # number by task id.
        self.unrecorded_runs: dict[str, int] = {}
        # Number of the last run end that was processed, and of the last one
        # whose record is stored.
        self.processed_end = 0
        self.acknowledged = 0
        self.blocked_until = 0.0
        # Description for placement; None if the runs or their measurements
        # have changed since it was made.
        self.candidate: decisions.CandidateWorker | None = None

    @property
    def rack(self) -> str:
        """Return the rack label, which is the last label; empty if none."""
        return self.incarnation.labels[-1] if self.incarnation.labels else ''

    def has_recent_report(self, now: float) -> bool:
        """Return whether the sidecar still reports."""
        return now < self.reported_at + REPORT_TIMEOUT_SECONDS

    def is_heard(self, now: float) -> bool:
        """Return whether the worker answers and its sidecar reports."""
        return self.answering and self.has_recent_report(now)

    def change_capacity(
        self, incarnation: _messages.WorkerIncarnation
    ) -> None:
        """Replace the description by one with another capacity."""
        self.incarnation = incarnation
        self.candidate = None
        for run in self.runs.values():
            # The share that fillers use changes without a change of their use.
            run.last_sample = None

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task_id] = run
        self._reserve(run.step, 1)

    def remove(self, task_id: str) -> None:
        """Remove a run and free its resources."""
        run = self.runs.pop(task_id, None)
        if run is not None:
            self._reserve(run.step, -1)

    def _reserve(self, step: workloads.Step, sign: int) -> None:
        self.candidate = None
        need = workloads.compute_reservation(step)
        self.reserved = self.reserved.add(need, sign)
        if step.filler:
            self.filler_millis += sign * step.cpu_millis
        if step.target_latency_ms:
            self.serving_millis += sign * step.cpu_millis


def describe_candidate(
    worker: Worker, interference: decisions.InterferenceModel
) -> decisions.CandidateWorker:
    """Return a worker in the form that placement decisions use."""
    if worker.candidate is None:
        worker.candidate = make_candidate(worker, interference)
    return worker.candidate


def make_candidate(
    worker: Worker, interference: decisions.InterferenceModel
) -> decisions.CandidateWorker:
    """Make the description of a worker for placement."""
    free = worker.incarnation.capacity.add(worker.reserved, -1)
    fillers = [run for run in worker.runs.values() if run.step.filler]
    headrooms = tuple(
        decisions.LatencyHeadroom(
            run.step.image,
            estimate_headroom(
                run,
                fillers,
                interference,
                worker.incarnation.capacity.cpu_millis,
            ),
        )
        for run in worker.runs.values()
        if run.step.target_latency_ms
    )
    return decisions.CandidateWorker(
        worker=worker.incarnation.key,
        data_centre=worker.incarnation.data_centre,
        rack=worker.rack,
        labels=worker.incarnation.labels,
        free=free,
        capacity=worker.incarnation.capacity,
        spare_millis=decisions.estimate_spare_millis(
            free.cpu_millis, worker.serving_millis, worker.filler_millis
        ),
        headrooms=headrooms,
    )


def estimate_headroom(
    serving: Run,
    fillers: collections.abc.Iterable[Run],
    interference: decisions.InterferenceModel,
    capacity_millis: int,
) -> float:
    """Return by how much a serving run's log tail latency may still grow."""
    limit = math.log(
        decisions.TARGET_TAIL_SHARE * serving.step.target_latency_ms
    )
    base = serving.log_base_tail
    if base is None:
        base = limit + math.log(UNMEASURED_TAIL_SHARE)
    filler_effect = sum(
        interference.find_coefficient(serving.step.image, run.step.image)
        * run.step.cpu_millis
        / max(1, capacity_millis)
        for run in fillers
    )
    return limit - base - filler_effect


class TailSample:
    """Hold one measurement of a serving run's tail latency."""

    __slots__ = ('at', 'log_tail', 'filler_shares')

    def __init__(
        self, at: float, log_tail: float, filler_shares: dict[str, float]
    ) -> None:
        self.at = at
        self.log_tail = log_tail
        # Shares of the worker's processor capacity that fillers used at the
        # same time, by image.
        self.filler_shares = filler_shares


def learn_tails(
    worker: Worker, model: decisions.LearnedInterferenceModel
) -> None:
    """Update the interference model and base tails from a worker's report."""
    filler_shares = measure_filler_shares(worker)
    for run in worker.runs.values():
        if not run.step.target_latency_ms or run.last_listing is None:
            continue
        tail = run.last_listing.measure
        if tail <= 0:
            # The task does not serve requests yet.
            continue
        sample = TailSample(
            worker.reported_at, math.log(max(1.0, tail)), filler_shares
        )
        learn_from_samples(run, sample, model)
        filler_effect = sum(
            model.find_coefficient(run.step.image, image) * share
            for image, share in filler_shares.items()
        )
        base = sample.log_tail - filler_effect
        if run.log_base_tail is None:
            run.log_base_tail = base
        run.log_base_tail += BASE_TAIL_WEIGHT * (base - run.log_base_tail)


def measure_filler_shares(worker: Worker) -> dict[str, float]:
    """Return the share of a worker's processors that fillers use, by image."""
    filler_shares: dict[str, float] = {}
    capacity = max(1, worker.incarnation.capacity.cpu_millis)
    for run in worker.runs.values():
        if run.step.filler and run.last_listing is not None:
            share = run.last_listing.measure / capacity
            filler_shares[run.step.image] = (
                filler_shares.get(run.step.image, 0.0) + share
            )
    return filler_shares


def learn_from_samples(
    run: Run, sample: TailSample, model: decisions.LearnedInterferenceModel
) -> None:
    """Update the model with the change of a tail between two samples.

    The model learns from changes because pacing slows fillers down when the
    load of a serving task is high. High tails therefore coincide with little
    filler use, and absolute tails would make fillers look harmless. The load
    itself changes slowly, so it hardly affects the difference of two samples.
    """
    previous = run.last_sample
    if (
        previous is not None
        and sample.at < previous.at + SAMPLE_INTERVAL_SECONDS
    ):
        return
    run.last_sample = sample
    if (
        previous is None
        or sample.at > previous.at + 2 * SAMPLE_INTERVAL_SECONDS
    ):
        return
    images = previous.filler_shares.keys() | sample.filler_shares.keys()
    changes = {
        image: sample.filler_shares.get(image, 0.0)
        - previous.filler_shares.get(image, 0.0)
        for image in sorted(images)
    }
    model.learn(run.step.image, sample.log_tail - previous.log_tail, changes)
