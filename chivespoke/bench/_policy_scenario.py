"""Seeded scenarios of the policy bench: both users' sizes."""

import dataclasses
import math
import random

from chivespoke import operators
from chivespoke import resources

TICK = 10.0  # seconds
HORIZON = 10800.0  # seconds
# Measures begin here; every policy starts empty and ignorant.
WARM_UP = 1200.0  # seconds
OUTAGE_FROM, OUTAGE_UNTIL = 5400.0, 7200.0  # seconds
# Time between operators' word and the data centre's stop.
OUTAGE_NOTICE = 120.0  # seconds
# Share of the room left by services that batch work asks for on average.
OFFERED_SHARE = 0.62
WAVES = 4
# Share of a wave's work to one minute of the whole room.
WAVE_SHARE = 8.0
DECLARED_FACTORS = (0.5, 0.7, 0.8, 1.0, 1.5, 2.0, 3.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """Hold a user's sizes."""

    name: str
    data_centres: int
    workers: int
    capacity: resources.Resources
    service_size: resources.Resources
    # Processors of a batch task, least and most, in millicores.
    task_cores: tuple[int, int]
    weights: operators.Weights


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceTruth:
    """Hold what is hidden of a service."""

    name: str
    replicas: int
    size: resources.Resources
    alone: float  # milliseconds
    peak_rate: float  # requests a second of one replica
    phase: float  # radians
    # Log slowdown by one whole worker's processors, or memory, of a family.
    processor_harm: dict[str, float]
    memory_harm: dict[str, float]
    # The same by all of a worker's accelerators, whatever the family.
    accelerator_harm: float
    # How the harm grows with load: low + (high - low) * load squared.
    low_gain: float
    high_gain: float


@dataclasses.dataclass(slots=True, frozen=True)
class FamilyTruth:
    """Hold what is hidden of a batch family."""

    name: str
    declared: resources.Resources
    use: resources.Resources
    declared_run_time: float  # seconds
    run_time: float  # seconds alone
    checkpointing: bool
    rate: float  # tasks a second


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Hold one batch task: when it comes, and what is hidden of it."""

    at: float
    family: str
    use: resources.Resources
    run_time: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Hold all inputs of one run; the same for every policy."""

    seed: int
    shape: Shape
    services: tuple[ServiceTruth, ...]
    families: tuple[FamilyTruth, ...]
    arrivals: tuple[Arrival, ...]
    lag: tuple[float, float] = (20.0, 50.0)  # seconds
    noise: float = 0.12  # of log latency
    lost_share: float = 0.03  # of reports


KANDY = Shape(
    name='kandy-tallyworks',
    data_centres=3,
    workers=10,
    capacity=resources.Resources(16000, 61440, 2),
    service_size=resources.Resources(3000, 8192, 0),
    task_cores=(500, 3000),
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
    task_cores=(2000, 10000),
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
# Families whose tasks take one accelerator each.
ACCELERATED = frozenset({'imaging'})
SERVICES = (('main', 10), ('sessions', 5), ('search', 4))


def make_scenario(shape: Shape, seed: int) -> Scenario:
    """Draw a scenario; the same seed and shape give the same."""
    source = random.Random(f'{shape.name}-{seed}')
    families = tuple(_make_family(source, shape, name) for name in FAMILIES)
    services = _make_services(source, shape)
    room = _compute_room(shape)
    asked = sum(
        family.rate * family.use.millicores * family.run_time
        for family in families
    )
    scale = OFFERED_SHARE * room / asked
    families = tuple(
        dataclasses.replace(family, rate=scale * family.rate)
        for family in families
    )
    arrivals = _make_arrivals(source, families, services, room)
    return Scenario(
        seed=seed,
        shape=shape,
        services=services,
        families=families,
        arrivals=arrivals,
    )


def _make_family(
    source: random.Random, shape: Shape, name: str
) -> FamilyTruth:
    cores = source.randint(*shape.task_cores)
    part = cores / shape.capacity.millicores
    accelerators = 1 if name in ACCELERATED else 0
    memory = part * source.uniform(0.4, 1.1) * shape.capacity.memory_mib
    factor = source.choice(DECLARED_FACTORS)
    run_time = source.uniform(180.0, 1500.0)
    return FamilyTruth(
        name=name,
        declared=resources.Resources(
            int(cores * factor),
            int(memory * source.uniform(0.7, 1.6)),
            accelerators,
        ),
        use=resources.Resources(cores, int(memory), accelerators),
        declared_run_time=run_time * source.choice((0.3, 0.7, 1.0, 2.0)),
        run_time=run_time,
        checkpointing=source.random() < 0.6,
        rate=source.uniform(0.5, 1.5) / (cores * run_time),
    )


def _make_services(
    source: random.Random, shape: Shape
) -> tuple[ServiceTruth, ...]:
    loudness = {name: math.exp(source.gauss(-0.2, 0.9)) for name in FAMILIES}
    memory_loudness = {
        name: math.exp(source.gauss(-1.2, 0.9)) for name in FAMILIES
    }
    made = []
    for index, (name, replicas) in enumerate(SERVICES):
        harm = {}
        memory_harm = {}
        for family in FAMILIES:
            own = math.exp(source.gauss(0.0, 0.7))
            harm[family] = min(own * loudness[family], 4.0)
            own = math.exp(source.gauss(0.0, 0.7))
            memory_harm[family] = min(own * memory_loudness[family], 2.0)
        size = shape.service_size
        if index:
            size = resources.Resources(
                size.millicores // 2, size.memory_mib // 2, 0
            )
        made.append(
            ServiceTruth(
                name=name,
                replicas=replicas,
                size=size,
                alone=source.uniform(4.0, 20.0),
                peak_rate=source.uniform(100.0, 400.0),
                phase=source.uniform(0.0, 2 * math.pi),
                processor_harm=harm,
                memory_harm=memory_harm,
                accelerator_harm=source.uniform(0.0, 0.4),
                low_gain=source.uniform(0.2, 0.5),
                high_gain=source.uniform(1.2, 2.0),
            )
        )
    return tuple(made)


def _compute_room(shape: Shape) -> float:
    """Return the millicores that services leave to batch work."""
    whole = shape.workers * shape.capacity.millicores
    main = SERVICES[0][1] * shape.service_size.millicores
    others = sum(n for _, n in SERVICES[1:])
    return float(whole - main - others * shape.service_size.millicores // 2)


def _make_arrivals(
    source: random.Random,
    families: tuple[FamilyTruth, ...],
    services: tuple[ServiceTruth, ...],
    room: float,
) -> tuple[Arrival, ...]:
    arrivals = []
    for family in families:
        at = source.expovariate(family.rate)
        while at < HORIZON:
            arrivals.append(_make_arrival(source, family, at))
            at += source.expovariate(family.rate)
    # Waves are of the families that disturb most.
    noisy = sorted(
        families,
        key=lambda f: -sum(s.processor_harm[f.name] for s in services),
    )[:3]
    for _ in range(WAVES):
        family = source.choice(noisy)
        start = source.uniform(WARM_UP, HORIZON - 1800.0)
        work = 0.0
        while work < WAVE_SHARE * 60.0 * room:
            at = start + source.uniform(0.0, 60.0)
            arrival = _make_arrival(source, family, at)
            arrivals.append(arrival)
            work += arrival.use.millicores * arrival.run_time
    return tuple(sorted(arrivals, key=lambda arrival: arrival.at))


def _make_arrival(
    source: random.Random, family: FamilyTruth, at: float
) -> Arrival:
    factor = math.exp(source.gauss(0.0, 0.2))
    return Arrival(
        at=at,
        family=family.name,
        use=resources.Resources(
            max(int(family.use.millicores * factor), 1),
            max(int(family.use.memory_mib * factor), 1),
            family.use.accelerators,
        ),
        run_time=family.run_time * math.exp(source.gauss(0.0, 0.3)),
    )
