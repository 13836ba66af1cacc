"""Where a task is to run.

Answers a load of wide steps on workers of uneven size: tasks that reserve
processor time are spread to where most is free. Fillers go to where they run
fastest without pushing a serving task over its target, and wait rather than
share a worker so thinly that all of them miss their objective; but no job
waits for long with nothing at work, as pacing protects the serving tasks.
"""

import collections.abc

import msgspec

from chivespoke.decisions import _interference
from chivespoke import workloads

# A filler that would run slower than this share of full speed waits: an
# objective allows 1.5 to 2 times the work, and a wait costs less than a
# place beside which others suffer.
LEAST_SPEED = 0.6
# A filler whose job has had nothing running for so long, in seconds, takes
# what there is: work that waits beside free workers counts as lost after 3 s.
LONGEST_IDLE_SECONDS = 1.5
# Share of its reserved processor time that a serving task is taken to use:
# its load swings between a quarter and two thirds of what it reserves.
SERVING_USE = 0.5


class Headroom(msgspec.Struct, frozen=True):
    """Hold how much the log tail of a serving task may still grow."""

    image: str
    # Natural logarithm; negative once it is over what pacing aims at.
    log_room: float


class Site(msgspec.Struct, frozen=True):
    """Hold what is known of a worker that may take a task."""

    worker: str
    rack: str
    labels: tuple[str, ...]
    free: workloads.Room
    capacity: workloads.Room
    # Processor time that nothing on the worker asks for.
    spare_millis: int
    # Tasks of the same step and occurrence that it already has.
    same_step: int = 0
    headrooms: tuple[Headroom, ...] = ()


def estimate_spare(
    free_millis: int, serving_millis: int, filler_millis: int
) -> int:
    """Return the processor time of a worker that nothing will ask for."""
    unused = int(serving_millis * (1 - SERVING_USE))
    return free_millis + unused - filler_millis


def estimate_speed(
    step: workloads.Step,
    site: Site,
    interference: _interference.InterferenceModel,
) -> float:
    """Return the share of full speed that a filler would have."""
    if not step.cpu_millis:
        return 1.0
    speed = min(1.0, max(0.0, site.spare_millis / step.cpu_millis))
    share = step.cpu_millis / max(1, site.capacity.cpu_millis)
    for headroom in site.headrooms:
        log_growth = (
            interference.find_coefficient(headroom.image, step.image) * share
        )
        if log_growth > 0:
            speed = min(speed, max(0.0, headroom.log_room / log_growth))
    return speed


def can_take(step: workloads.Step, site: Site) -> bool:
    """Tell whether a worker has room and right for a task of a step."""
    if not site.free.fits(workloads.measure_need(step)):
        return False
    if step.required_label and step.required_label not in site.labels:
        return False
    return not 0 < step.max_per_worker <= site.same_step


def choose_site(
    step: workloads.Step,
    sites: collections.abc.Iterable[Site],
    interference: _interference.InterferenceModel,
    idle_seconds: float = 0.0,
) -> Site | None:
    """Return the worker that a task does best on, None if it must wait.

    Its job has had nothing at work for so many seconds.
    """
    fitting = [site for site in sites if can_take(step, site)]
    if step.filler:
        patient = idle_seconds < LONGEST_IDLE_SECONDS
        least_speed = LEAST_SPEED if patient else 0.0
        return _choose_for_filler(step, fitting, interference, least_speed)
    return max(
        fitting,
        key=lambda site: (
            step.preferred_rack == site.rack,
            measure_company(step, site),
            site.spare_millis,
            site.worker,
        ),
        default=None,
    )


def measure_company(step: workloads.Step, site: Site) -> int:
    """Return how well a serving task suits those that a worker has.

    Serving tasks of one image share workers, so that fillers which press on
    it find workers without it.
    """
    if not step.target_latency_ms:
        return 0
    same = sum(room.image == step.image for room in site.headrooms)
    return 2 * same - len(site.headrooms)


def _choose_for_filler(
    step: workloads.Step,
    sites: collections.abc.Sequence[Site],
    interference: _interference.InterferenceModel,
    least_speed: float,
) -> Site | None:
    best = None
    best_key = (False, 0.0, 0)
    for site in sites:
        speed = estimate_speed(step, site, interference)
        near = step.preferred_rack == site.rack
        key = (near, speed, site.spare_millis)
        if speed >= least_speed and (best is None or key > best_key):
            best, best_key = site, key
    return best
