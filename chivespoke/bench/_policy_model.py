"""Seeded model of workers that produces their usage reports.

The model provides input to the policies; it is not a full cluster simulator.
Its state is hidden from the policies, which see only the reports.
"""

import collections
import dataclasses
import heapq
import math
import random

from chivespoke.bench import _policy_scenario
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import workers

# Fraction of its normal CPU usage that a throttled task gets.
THROTTLED_SHARE = 0.3
# Increase of the log tail latency per unit of log CPU overcommitment.
PRESSURE_GAIN = 1.5
# The log slowdown of a service by interference saturates at this value; the
# policies have no knowledge of it.
SATURATION = 2.5
# Log slowdown of a batch task when other batch tasks use all processors of its
# worker.
BATCH_INTERFERENCE = 0.25
CHECKPOINT_COST = 5.0  # seconds added to the run time of the task
# Each worker's clock has its own offset, a multiple of this many seconds.
CLOCK_OFFSET_STEP = 1000.0


@dataclasses.dataclass(slots=True)
class RunningTask:
    """An attempt on a worker, with the state hidden from the policies."""

    demand: scheduling.TaskDemand
    attempt: identifiers.Attempt
    use: resources.Resources
    run_time: float
    done: float = 0.0  # seconds of work
    saved: float = 0.0
    throttled: bool = False
    since_report: float = 0.0
    progress: float = 1.0
    rate: float = 0.0
    latency: float = 0.0


@dataclasses.dataclass(slots=True)
class ModelWorker:
    """State of one worker."""

    worker_id: identifiers.WorkerId
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    clock_offset: float
    sequence: int = 0
    tasks: dict[identifiers.TaskId, RunningTask] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Sample:
    """True slowdown of one replica during one tick."""

    at: float
    service: str
    slowdown: float
    requests: float


class ModelWorld:
    """Advances the workers and delivers their reports with a delay."""

    __slots__ = (
        'workers',
        'samples',
        'work',
        'lost_work',
        'completed',
        '_scenario',
        '_services',
        '_random',
        '_reports',
        '_drift',
        '_sent',
    )

    def __init__(self, scenario: _policy_scenario.Scenario) -> None:
        self._scenario = scenario
        self._services = {s.name: s for s in scenario.services}
        self._random = random.Random(scenario.seed)
        self._reports: list[tuple[float, int, workers.UsageReport]] = []
        self._sent = 0
        self._drift: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.workers = _make_workers(scenario.shape)
        self.samples: list[Sample] = []
        # Millicore seconds of work by the time of the tick.
        self.work: dict[float, float] = {}
        self.lost_work: collections.defaultdict[float, float] = (
            collections.defaultdict(float)
        )
        self.completed: list[RunningTask] = []

    def advance(self, now: float, weights: dict[str, float]) -> None:
        """Simulate one tick.

        The weights are the request shares of the replicas, relative to an
        even share.
        """
        self.completed = []
        self._drift_loads()
        done = 0.0
        for worker in self.workers.values():
            done += self._advance_batch(worker)
            self._advance_services(now, worker, weights)
            self._send_report(now, worker)
        self.work[now] = done

    def receive_reports(self, now: float) -> list[workers.UsageReport]:
        """Return the reports that have arrived by now."""
        arrived = []
        while self._reports and self._reports[0][0] <= now:
            arrived.append(heapq.heappop(self._reports)[2])
        return arrived

    def read_clock(self, now: float, worker: ModelWorker) -> float:
        """Return the reading of a worker's clock."""
        return now + worker.clock_offset

    def get_load(self, now: float, service: str, data_centre: str) -> float:
        """Return the true load of a replica under even routing."""
        truth = self._services[service]
        phase_shift = int(data_centre.removeprefix('dc')) * 0.7
        wave = math.sin(2 * math.pi * now / 5400.0 + truth.phase + phase_shift)
        return max(0.55 + 0.35 * wave + self._drift[service], 0.05)

    def get_truth(self, service: str) -> _policy_scenario.ServiceTruth:
        """Return the hidden parameters of a service, for the oracle."""
        return self._services[service]

    def get_uses(self) -> dict[str, resources.Resources]:
        """Return the true resource usage by family, for the oracle."""
        return {f.name: f.use for f in self._scenario.families}

    def _drift_loads(self) -> None:
        # A separate random generator for each tick keeps the loads independent
        # of the decisions of the policy.
        for name in sorted(self._services):
            generator = random.Random(
                f'{self._scenario.seed}-{name}-{len(self.work)}'
            )
            self._drift[name] += generator.gauss(0.0, 0.02)
            self._drift[name] *= 0.98

    def _advance_batch(self, worker: ModelWorker) -> float:
        pressure = max(get_pressure(worker), 1.0)
        total = sum(
            get_millicores(task)
            for task in worker.tasks.values()
            if is_batch(task)
        )
        done = 0.0
        for task in list(worker.tasks.values()):
            if not is_batch(task):
                continue
            others = (
                total - get_millicores(task)
            ) / worker.capacity.millicores
            speed = math.exp(-BATCH_INTERFERENCE * others) / pressure
            if task.throttled:
                speed *= THROTTLED_SHARE
            task.progress = speed
            step = min(
                _policy_scenario.TICK * speed, task.run_time - task.done
            )
            task.done += step
            done += step * task.use.millicores
            if task.done >= task.run_time - 1e-9:
                self.completed.append(task)
        return done

    def _advance_services(
        self, now: float, worker: ModelWorker, weights: dict[str, float]
    ) -> None:
        pressure = math.log(max(get_pressure(worker), 1.0))
        for task in worker.tasks.values():
            if is_batch(task):
                continue
            truth = self._services[task.demand.family]
            nominal = self.get_load(
                now, task.demand.family, worker.data_centre
            )
            load = nominal * weights.get(task.demand.task_id, 1.0)
            slowdown = compute_interference(truth, worker, load)
            slowdown += PRESSURE_GAIN * pressure
            task.rate = load * truth.peak_rate
            alone = truth.alone * (1.0 + 0.5 * load**2)
            task.latency = alone * math.exp(slowdown)
            self.samples.append(
                Sample(now, truth.name, math.exp(slowdown), task.rate)
            )

    def _send_report(self, now: float, worker: ModelWorker) -> None:
        worker.sequence += 1
        usages = tuple(
            self._measure_usage(task) for task in worker.tasks.values()
        )
        until = self.read_clock(now, worker)
        report = workers.UsageReport(
            worker_id=worker.worker_id,
            sequence=worker.sequence,
            measured_from=until - _policy_scenario.TICK,
            measured_until=until,
            tasks=usages,
        )
        if self._random.random() < self._scenario.report_loss_rate:
            return
        self._sent += 1
        delay = self._random.uniform(*self._scenario.report_delay)
        heapq.heappush(self._reports, (now + delay, self._sent, report))

    def _measure_usage(self, task: RunningTask) -> workers.TaskUsage:
        noise = self._random.gauss(0.0, self._scenario.noise)
        if self._random.random() < 0.02:
            noise += abs(self._random.gauss(0.0, 0.6))
        use_factor = max(1.0 + self._random.gauss(0.0, 0.08), 0.0)
        batch = is_batch(task)
        return workers.TaskUsage(
            task_id=task.demand.task_id,
            attempt=task.attempt,
            use=resources.Resources(
                int(get_millicores(task) * use_factor),
                task.use.memory_mib,
                task.use.accelerators,
            ),
            progress=task.progress if batch else None,
            request_rate=None if batch else task.rate,
            latency_p99=None if batch else task.latency * math.exp(noise),
        )


def compute_interference(
    truth: _policy_scenario.ServiceTruth, worker: ModelWorker, load: float
) -> float:
    """Return the log slowdown of a service by a worker's batch tasks."""
    interference = 0.0
    for task in worker.tasks.values():
        if is_batch(task):
            interference += compute_task_interference(
                truth,
                task.demand.family,
                get_millicores(task) / worker.capacity.millicores,
                task.use.memory_mib / worker.capacity.memory_mib,
                task.use.accelerators / worker.capacity.accelerators,
            )
    interference *= compute_load_gain(truth, load)
    return SATURATION * math.tanh(interference / SATURATION)


def compute_task_interference(
    truth: _policy_scenario.ServiceTruth,
    family: str,
    processors: float,
    memory: float,
    accelerators: float,
) -> float:
    """Return the log slowdown by one task at a gain of one.

    The arguments are the task's resource usage as shares of its worker's
    capacity.
    """
    return (
        truth.cpu_interference[family] * processors
        + truth.memory_interference[family] * memory
        + truth.accelerator_interference * accelerators
    )


def compute_load_gain(
    truth: _policy_scenario.ServiceTruth, load: float
) -> float:
    """Return the factor by which a load scales interference."""
    return truth.low_gain + (truth.high_gain - truth.low_gain) * load**2


def is_batch(task: RunningTask) -> bool:
    """Return whether a task belongs to a batch job."""
    return task.demand.kind is workers.TaskKind.BATCH


def get_millicores(task: RunningTask) -> float:
    """Return the current CPU usage of a task in millicores."""
    share = THROTTLED_SHARE if task.throttled else 1.0
    return task.use.millicores * share


def get_pressure(worker: ModelWorker) -> float:
    """Return the CPU demand of a worker's tasks relative to its capacity."""
    demand = sum(get_millicores(task) for task in worker.tasks.values())
    return demand / worker.capacity.millicores


def _make_workers(
    shape: _policy_scenario.Shape,
) -> dict[identifiers.WorkerId, ModelWorker]:
    model_workers = {}
    for index in range(shape.workers):
        data_centre = index % shape.data_centres
        rack = index // shape.data_centres // 3
        worker = ModelWorker(
            worker_id=identifiers.WorkerId(f'w{index}'),
            data_centre=identifiers.DataCentreName(f'dc{data_centre}'),
            rack=identifiers.RackName(f'dc{data_centre}-r{rack}'),
            capacity=shape.capacity,
            clock_offset=CLOCK_OFFSET_STEP * (index + 1),
        )
        model_workers[worker.worker_id] = worker
    return model_workers
