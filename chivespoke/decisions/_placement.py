"""Choice of a worker for a task.

Steps may have many tasks, and workers differ in size. Tasks that reserve
processor time are spread to the workers with the most spare processor time.
Serving tasks of a step are spread over the data centres and packed within
each, so that workers without serving tasks remain, on which fillers run at
full speed. A filler is placed where it is expected to run fastest without
pushing a serving task over its latency target. If it would run too slowly on
every worker, it waits, because too many fillers on one worker all miss their
objectives. A job with no running task waits only for a short time: after that
its fillers accept any speed, and pacing protects the serving tasks. Workers in
the preferred rack of a step come first.
"""

import collections.abc
import typing

import msgspec

from chivespoke.decisions import _interference
from chivespoke import workloads

# Share of full speed below which a filler waits: an objective allows 1.5 to 2
# times the duration of the work, and waiting costs less than slowing down
# other tasks.
MIN_SPEED_SHARE = 0.6
# Share of full speed from which a worker counts as fast.
FULL_SPEED_SHARE = 0.9
# A filler accepts any speed once its job has had no running task for this
# time: work that waits while workers are free counts as lost after 3 s.
MAX_IDLE_SECONDS = 1.5
# Share of its reserved processor time that a serving task is assumed to use;
# the actual use varies between a quarter and two thirds of the reservation.
SERVING_USE_SHARE = 0.5


class LatencyHeadroom(msgspec.Struct, frozen=True):
    """Hold by how much the log tail latency of a serving task may grow."""

    image: str
    # Natural logarithm of the possible growth up to the tail latency that
    # pacing aims at; negative if the tail exceeds that.
    log_headroom: float


class CandidateWorker(msgspec.Struct, frozen=True):
    """Describe a worker that a task may be placed on."""

    worker: str
    rack: str
    labels: tuple[str, ...]
    free: workloads.Resources
    capacity: workloads.Resources
    # Processor time that no task on the worker is expected to use.
    spare_millis: int
    data_centre: str = ''
    # Number of tasks of the same step and occurrence on the worker, and in its
    # data centre.
    same_step_tasks: int = 0
    same_step_in_data_centre: int = 0
    headrooms: tuple[LatencyHeadroom, ...] = ()


def estimate_spare_millis(
    free_millis: int, serving_millis: int, filler_millis: int
) -> int:
    """Return the processor time that no task is expected to use.

    All figures are in thousandths of a core.
    """
    unused = int(serving_millis * (1 - SERVING_USE_SHARE))
    return free_millis + unused - filler_millis


def estimate_speed(
    step: workloads.Step,
    candidate: CandidateWorker,
    interference: _interference.InterferenceModel,
) -> float:
    """Return the expected speed of a filler as a share of full speed."""
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


def deduct_filler(
    step: workloads.Step,
    candidate: CandidateWorker,
    interference: _interference.InterferenceModel,
) -> CandidateWorker:
    """Return what a worker can offer beside one more filler of a step."""
    share = step.cpu_millis / max(1, candidate.capacity.cpu_millis)
    headrooms = tuple(
        LatencyHeadroom(
            headroom.image,
            headroom.log_headroom
            - interference.find_coefficient(headroom.image, step.image)
            * share,
        )
        for headroom in candidate.headrooms
    )
    return msgspec.structs.replace(
        candidate,
        free=candidate.free.add(workloads.compute_reservation(step), -1),
        spare_millis=candidate.spare_millis - step.cpu_millis,
        headrooms=headrooms,
    )


def can_run_on(step: workloads.Step, candidate: CandidateWorker) -> bool:
    """Return whether a worker satisfies the constraints of a step."""
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
    """Return the best worker for a task, or None if the task must wait.

    `idle_seconds` is the time for which the job has had no running task.
    """
    ranking = WorkerRanking(step, candidates, interference)
    return ranking.choose(idle_seconds)


def may_wait_for_speed(step: workloads.Step, idle_seconds: float) -> bool:
    """Return whether a task waits rather than run at a low speed."""
    return step.filler and idle_seconds < MAX_IDLE_SECONDS


class WorkerRanking:
    """Rank workers for the tasks of one step.

    Load pattern: steps of 39 tasks and more arrive in bursts, for hundreds of
    workers. Each worker is scored once for all tasks of the step, and again
    only if a task is placed on it, or in its data centre if the step spreads
    over data centres.
    """

    __slots__ = ('_step', '_interference', '_scored')

    def __init__(
        self,
        step: workloads.Step,
        candidates: collections.abc.Iterable[CandidateWorker],
        interference: _interference.InterferenceModel,
    ) -> None:
        self._step = step
        self._interference = interference
        # Score and description of the workers that can run a task, by name.
        self._scored: dict[str, tuple[_Score, CandidateWorker]] = {}
        for candidate in candidates:
            self.update(candidate)

    def update(self, candidate: CandidateWorker) -> None:
        """Add a worker, or replace its description."""
        if not can_run_on(self._step, candidate):
            self.remove(candidate.worker)
            return
        if self._step.filler:
            score = _score_for_filler(
                self._step, candidate, self._interference
            )
        else:
            score = _score_for_reservation(self._step, candidate)
        self._scored[candidate.worker] = score, candidate

    def record_task(
        self, chosen: CandidateWorker, remaining: CandidateWorker | None
    ) -> None:
        """Update the ranking after a task is placed on the chosen worker.

        `remaining` describes what the worker can still offer, but for its
        tasks of this step; None if it takes no further task now.
        """
        in_data_centre = 0
        if self._step.long_running:
            in_data_centre = chosen.same_step_in_data_centre + 1
            for _, candidate in tuple(self._scored.values()):
                if candidate.data_centre == chosen.data_centre:
                    self.update(
                        msgspec.structs.replace(
                            candidate, same_step_in_data_centre=in_data_centre
                        )
                    )
        if remaining is None:
            self.remove(chosen.worker)
            return
        self.update(
            msgspec.structs.replace(
                remaining,
                same_step_tasks=chosen.same_step_tasks + 1,
                same_step_in_data_centre=in_data_centre,
            )
        )

    def remove(self, worker: str) -> None:
        """Remove a worker; do nothing if it is not ranked."""
        self._scored.pop(worker, None)

    def choose(
        self, idle_seconds: float = 0.0, avoided: str = ''
    ) -> CandidateWorker | None:
        """Return the best worker for a task, or None if it must wait.

        The avoided worker is not chosen.
        """
        min_speed = 0.0
        if may_wait_for_speed(self._step, idle_seconds):
            min_speed = MIN_SPEED_SHARE
        best = max(
            (
                scored
                for scored in self._scored.values()
                if scored[0].speed >= min_speed and scored[1].worker != avoided
            ),
            key=lambda scored: scored[0].key,
            default=None,
        )
        return best[1] if best is not None else None


class _Score(typing.NamedTuple):
    """Hold the rank of a worker for a step; the highest key is the best."""

    key: tuple[bool | int | float | str, ...]
    # Expected speed as a share of full speed.
    speed: float


def _score_for_reservation(
    step: workloads.Step, candidate: CandidateWorker
) -> _Score:
    key = (
        step.preferred_rack == candidate.rack,
        -candidate.same_step_in_data_centre,
        *score_colocation(step, candidate),
        candidate.spare_millis,
        candidate.worker,
    )
    return _Score(key, 1.0)


def _score_for_filler(
    step: workloads.Step,
    candidate: CandidateWorker,
    interference: _interference.InterferenceModel,
) -> _Score:
    speed = estimate_speed(step, candidate, interference)
    # Interference changes within seconds, so a worker without serving tasks
    # is preferred to one that seems as fast.
    is_undisturbed = not candidate.headrooms and speed >= FULL_SPEED_SHARE
    key = (
        step.preferred_rack == candidate.rack,
        is_undisturbed,
        speed,
        candidate.spare_millis,
    )
    return _Score(key, speed)


def score_colocation(
    step: workloads.Step, candidate: CandidateWorker
) -> tuple[bool, int]:
    """Return a score of a worker by the serving tasks already on it.

    Workers without serving tasks come last, so that they stay free for
    fillers. Among the others, tasks of one image are colocated: a filler
    interferes with some images only.
    """
    if not step.target_latency_ms:
        return False, 0
    same = sum(
        headroom.image == step.image for headroom in candidate.headrooms
    )
    return bool(candidate.headrooms), 2 * same - len(candidate.headrooms)
