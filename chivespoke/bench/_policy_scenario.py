"""Seeded scenarios of the policy benchmark, modelled on two users."""

import dataclasses
import math
import random

from chivespoke import operators
from chivespoke import resources

TICK = 10.0  # seconds
HORIZON = 10800.0  # seconds
# Measurement starts at this time: every policy starts without placed tasks and
# without observations.
WARM_UP = 1200.0  # seconds
OUTAGE_START, OUTAGE_END = 5400.0, 7200.0  # seconds
# Time between the notice of the outage and the stop of the data centre.
OUTAGE_NOTICE = 120.0  # seconds
# Average demand of batch tasks as a fraction of the CPU capacity that services
# leave to them.
OFFERED_LOAD = 0.62
BURST_COUNT = 4
# Work of a burst, in minutes of the CPU capacity left to batch tasks.
BURST_MINUTES = 8.0
# Ratios of the declared to the actual CPU usage of a family.
DECLARED_FACTORS = (0.5, 0.7, 0.8, 1.0, 1.5, 2.0, 3.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """Cluster size and policy weights of one user."""

    name: str
    data_centres: int
    workers: int
    capacity: resources.Resources
    service_size: resources.Resources
    # Minimum and maximum CPU usage of a batch task.
    task_millicores: tuple[int, int]
    weights: operators.Weights


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceTruth:
    """Parameters of a service that are hidden from the policies."""

    name: str
    replicas: int
    size: resources.Resources
    alone: float  # p99 latency in milliseconds without load or interference
    peak_rate: float  # requests per second of one replica
    phase: float  # radians
    # Log slowdown by family, if its tasks used all processors, or all memory,
    # of a worker.
    cpu_interference: dict[str, float]
    memory_interference: dict[str, float]
    # Log slowdown if tasks of any family used all of a worker's accelerators.
    accelerator_interference: float
    # The slowdown is scaled by low + (high - low) * load squared.
    low_gain: float
    high_gain: float


@dataclasses.dataclass(slots=True, frozen=True)
class FamilyTruth:
    """Parameters of a batch family, most of them hidden from the policies."""

    name: str
    declared: resources.Resources
    use: resources.Resources
    declared_run_time: float  # seconds
    run_time: float  # seconds without interference
    checkpointing: bool
    rate: float  # task arrivals per second


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Arrival of one batch task, with its hidden usage and run time."""

    at: float
    family: str
    use: resources.Resources
    run_time: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Inputs of one run, identical for every policy."""

    seed: int
    shape: Shape
    services: tuple[ServiceTruth, ...]
    families: tuple[FamilyTruth, ...]
    arrivals: tuple[Arrival, ...]
    report_delay: tuple[float, float] = (20.0, 50.0)  # seconds, min and max
    noise: float = 0.12  # standard deviation of the log latency
    report_loss_rate: float = 0.03


KANDY = Shape(
    name='kandy-tallyworks',
    data_centres=3,
    workers=10,
    capacity=resources.Resources(16000, 61440, 2),
    service_size=resources.Resources(3000, 8192, 0),
    task_millicores=(500, 3000),
    weights=operators.Weights(
        tail_latency=1.0,
        batch_throughput=3.0,
        evictions=1.0,
        data_centre_work=3.0,
    ),
)
CEDAR = Shape(
    name='cedar-hollow',
    data_centres=4,
    workers=10,
    capacity=resources.Resources(60000, 256000, 2),
    service_size=resources.Resources(12000, 32768, 0),
    task_millicores=(2000, 10000),
    weights=operators.Weights(
        tail_latency=4.0,
        batch_throughput=1.0,
        evictions=1.0,
        data_centre_work=1.0,
    ),
)
SHAPES = (KANDY, CEDAR)

FAMILIES = (
    'statements',
    'invoices',
    'rosters',
    'waitlists',
    'exports',
    'imaging',
    'indexing',
    'archives',
)
# Families whose tasks use one accelerator each.
ACCELERATED = frozenset({'imaging'})
# Name and number of replicas.
SERVICES = (('main', 10), ('sessions', 5), ('search', 4))


def make_scenario(shape: Shape, seed: int) -> Scenario:
    """Generate the scenario that a shape and a seed determine."""
    generator = random.Random(f'{shape.name}-{seed}')
    families = tuple(_make_family(generator, shape, name) for name in FAMILIES)
    services = _make_services(generator, shape)
    batch_capacity = _compute_batch_capacity(shape)
    demand = sum(
        family.rate * family.use.millicores * family.run_time
        for family in families
    )
    scale = OFFERED_LOAD * batch_capacity / demand
    families = tuple(
        dataclasses.replace(family, rate=scale * family.rate)
        for family in families
    )
    arrivals = _make_arrivals(generator, families, services, batch_capacity)
    return Scenario(
        seed=seed,
        shape=shape,
        services=services,
        families=families,
        arrivals=arrivals,
    )


def _make_family(
    generator: random.Random, shape: Shape, name: str
) -> FamilyTruth:
    millicores = generator.randint(*shape.task_millicores)
    share = millicores / shape.capacity.millicores
    accelerators = 1 if name in ACCELERATED else 0
    memory = share * generator.uniform(0.4, 1.1) * shape.capacity.memory_mib
    factor = generator.choice(DECLARED_FACTORS)
    run_time = generator.uniform(180.0, 1500.0)
    return FamilyTruth(
        name=name,
        declared=resources.Resources(
            int(millicores * factor),
            int(memory * generator.uniform(0.7, 1.6)),
            accelerators,
        ),
        use=resources.Resources(millicores, int(memory), accelerators),
        declared_run_time=run_time * generator.choice((0.3, 0.7, 1.0, 2.0)),
        run_time=run_time,
        checkpointing=generator.random() < 0.6,
        rate=generator.uniform(0.5, 1.5) / (millicores * run_time),
    )


def _make_services(
    generator: random.Random, shape: Shape
) -> tuple[ServiceTruth, ...]:
    cpu_severity = {
        name: math.exp(generator.gauss(-0.2, 0.9)) for name in FAMILIES
    }
    memory_severity = {
        name: math.exp(generator.gauss(-1.2, 0.9)) for name in FAMILIES
    }
    services = []
    for index, (name, replicas) in enumerate(SERVICES):
        cpu_interference = {}
        memory_interference = {}
        for family in FAMILIES:
            variation = math.exp(generator.gauss(0.0, 0.7))
            cpu_interference[family] = min(
                variation * cpu_severity[family], 4.0
            )
            variation = math.exp(generator.gauss(0.0, 0.7))
            memory_interference[family] = min(
                variation * memory_severity[family], 2.0
            )
        size = shape.service_size
        if index:
            size = resources.Resources(
                size.millicores // 2, size.memory_mib // 2, 0
            )
        services.append(
            ServiceTruth(
                name=name,
                replicas=replicas,
                size=size,
                alone=generator.uniform(4.0, 20.0),
                peak_rate=generator.uniform(100.0, 400.0),
                phase=generator.uniform(0.0, 2 * math.pi),
                cpu_interference=cpu_interference,
                memory_interference=memory_interference,
                accelerator_interference=generator.uniform(0.0, 0.4),
                low_gain=generator.uniform(0.2, 0.5),
                high_gain=generator.uniform(1.2, 2.0),
            )
        )
    return tuple(services)


def _compute_batch_capacity(shape: Shape) -> float:
    """Return the millicores that services leave to batch tasks."""
    total = shape.workers * shape.capacity.millicores
    main = SERVICES[0][1] * shape.service_size.millicores
    other_replicas = sum(n for _, n in SERVICES[1:])
    return float(
        total - main - other_replicas * shape.service_size.millicores // 2
    )


def _make_arrivals(
    generator: random.Random,
    families: tuple[FamilyTruth, ...],
    services: tuple[ServiceTruth, ...],
    batch_capacity: float,
) -> tuple[Arrival, ...]:
    arrivals = []
    for family in families:
        at = generator.expovariate(family.rate)
        while at < HORIZON:
            arrivals.append(_make_arrival(generator, family, at))
            at += generator.expovariate(family.rate)
    # Bursts consist of tasks of the families that interfere most.
    noisy_families = sorted(
        families,
        key=lambda f: -sum(s.cpu_interference[f.name] for s in services),
    )[:3]
    for _ in range(BURST_COUNT):
        family = generator.choice(noisy_families)
        start = generator.uniform(WARM_UP, HORIZON - 1800.0)
        work = 0.0
        while work < BURST_MINUTES * 60.0 * batch_capacity:
            at = start + generator.uniform(0.0, 60.0)
            arrival = _make_arrival(generator, family, at)
            arrivals.append(arrival)
            work += arrival.use.millicores * arrival.run_time
    return tuple(sorted(arrivals, key=lambda arrival: arrival.at))


def _make_arrival(
    generator: random.Random, family: FamilyTruth, at: float
) -> Arrival:
    factor = math.exp(generator.gauss(0.0, 0.2))
    return Arrival(
        at=at,
        family=family.name,
        use=resources.Resources(
            max(int(family.use.millicores * factor), 1),
            max(int(family.use.memory_mib * factor), 1),
            family.use.accelerators,
        ),
        run_time=family.run_time * math.exp(generator.gauss(0.0, 0.3)),
    )
