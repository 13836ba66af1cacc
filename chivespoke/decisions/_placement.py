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


class LatencyHeadroom(msgspec.Struct, frozen=True):
    """Hold how much the log tail of a serving task may still grow."""

    image: str
    # Natural logarithm; negative once it is over what pacing aims at.
    log_headroom: float


class CandidateWorker(msgspec.Struct, frozen=True):
    """Hold what is known of a worker that may take a task."""

    worker: str
    rack: str
    labels: tuple[str, ...]
    free: workloads.Resources
    capacity: workloads.Resources
    # Processor time that nothing on the worker asks for.
    spare_millis: int
    # Tasks of the same step and occurrence that it already has.
    same_step_tasks: int = 0
    headrooms: tuple[LatencyHeadroom, ...] = ()


def estimate_spare_millis(
    free_millis: int, serving_millis: int, filler_millis: int
) -> int:
    """Return the processor time of a worker that nothing will ask for."""
    unused = int(serving_millis * (1 - SERVING_USE))
    return free_millis + unused - filler_millis


def estimate_speed(
    step: workloads.Step,
    candidate: CandidateWorker,
    interference: _interference.InterferenceModel,
) -> float:
    """Return the share of full speed that a filler would have."""
    if not step.cpu_millis:
        return 1.0
    speed = min(1.0, max(0.0, candidate.spare_millis / step.cpu_millis))
    share = step.cpu_millis / max(1, candidate.capacity.cpu_millis)
    for headroom in candidate.headrooms:
        log_growth = (
            interference.find_coefficient(headroom.image, step.image) * share
        )
        if log_growth > 0:
            speed = min(speed, max(0.0, headroom.log_headroom / log_growth))
    return speed


def can_run_on(step: workloads.Step, candidate: CandidateWorker) -> bool:
    """Tell whether a worker has room and right for a task of a step."""
    if not candidate.free.covers(workloads.compute_reservation(step)):
        return False
    if step.required_label and step.required_label not in candidate.labels:
        return False
    return not 0 < step.max_per_worker <= candidate.same_step_tasks


def choose_worker(
    step: workloads.Step,
    candidates: collections.abc.Iterable[CandidateWorker],
    interference: _interference.InterferenceModel,
    idle_seconds: float = 0.0,
) -> CandidateWorker | None:
    """Return the worker that a task does best on, None if it must wait.

    Its job has had nothing at work for so many seconds.
    """
    fitting = [
        candidate for candidate in candidates if can_run_on(step, candidate)
    ]
    if step.filler:
        patient = idle_seconds < LONGEST_IDLE_SECONDS
        least_speed = LEAST_SPEED if patient else 0.0
        return _choose_for_filler(step, fitting, interference, least_speed)
    return max(
        fitting,
        key=lambda candidate: (
            step.preferred_rack == candidate.rack,
            measure_company(step, candidate),
            candidate.spare_millis,
            candidate.worker,
        ),
        default=None,
    )


def measure_company(step: workloads.Step, candidate: CandidateWorker) -> int:
    """Return how well a serving task suits those that a worker has.

    Serving tasks of one image share workers, so that fillers which press on
    it find workers without it.
    """
    if not step.target_latency_ms:
        return 0
    same = sum(room.image == step.image for room in candidate.headrooms)
    return 2 * same - len(candidate.headrooms)


def _choose_for_filler(
    step: workloads.Step,
    candidates: collections.abc.Sequence[CandidateWorker],
    interference: _interference.InterferenceModel,
    least_speed: float,
) -> CandidateWorker | None:
    best = None
    best_key = (False, 0.0, 0)
    for candidate in candidates:
        speed = estimate_speed(step, candidate, interference)
        near = step.preferred_rack == candidate.rack
        key = (near, speed, candidate.spare_millis)
        if speed >= least_speed and (best is None or key > best_key):
            best, best_key = candidate, key
    return best
