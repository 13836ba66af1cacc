"""Runs on a worker as the input of pacing, and estimates of their effects."""

import collections.abc
import math

import msgspec

from chivespoke.decisions import _interference
from chivespoke.decisions import _standings

FULL_PACE_PERCENT = 100
# Share of the latency target that pacing aims at, and share below which
# fillers are sped up again; the difference is the hysteresis.
TARGET_TAIL_SHARE = 0.7
RELEASE_TAIL_SHARE = 0.6
# Maximum increase of a pace at a time.
MAX_RELEASE_STEP_PERCENT = 30
# A coefficient below this is within the error of the model and is ignored.
NEGLIGIBLE_COEFFICIENT = 0.4
# Assumed share of a worker that a filler uses at full speed if its pace is
# zero and nothing can be measured.
DEFAULT_USE_SHARE = 0.1


class PacedRun(msgspec.Struct, frozen=True):
    """Describe one run as the input of pacing."""

    task: str
    run: int
    image: str
    filler: bool
    # 0 if the run serves no requests.
    target_latency_ms: int
    # Tail latency in milliseconds of a serving run, otherwise processor use in
    # thousandths of a core.
    measure: float
    # The pace last set, in percent of full speed.
    pace: int
    # The run has started since the last adjustment.
    is_new: bool = False
    standing: _standings.Standing = _standings.Standing.TIMELY
    # Requested processor time, in thousandths of a core; 0 if it is unknown.
    cpu_millis: int = 0


class PaceChange(msgspec.Struct, frozen=True):
    """Hold a new pace for a run, in percent of full speed."""

    task: str
    run: int
    percent: int


def find_first_standing(
    fillers: collections.abc.Iterable[PacedRun],
) -> _standings.Standing:
    """Return the standing of the fillers that come before all others."""
    return min(
        (filler.standing for filler in fillers),
        default=_standings.Standing.TIMELY,
    )


def find_limiting_run(
    filler: PacedRun,
    serving: collections.abc.Iterable[PacedRun],
    interference: _interference.InterferenceModel,
) -> PacedRun | None:
    """Return the serving run with the least headroom that a filler disturbs.

    Returns None if it disturbs none.
    """
    return min(
        (
            run
            for run in serving
            if interference.find_coefficient(run.image, filler.image)
            >= NEGLIGIBLE_COEFFICIENT
        ),
        key=measure_headroom,
        default=None,
    )


def measure_headroom(serving: PacedRun) -> float:
    """Return by how much a log tail may grow before no filler speeds up."""
    return math.log(
        RELEASE_TAIL_SHARE * serving.target_latency_ms / serving.measure
    )


def estimate_full_use(filler: PacedRun, capacity_millis: int) -> float:
    """Return the share of the worker that a filler uses at full speed."""
    if not filler.pace or not filler.measure:
        return DEFAULT_USE_SHARE
    use_share = filler.measure / capacity_millis
    return use_share / (filler.pace / FULL_PACE_PERCENT)


def estimate_growth(
    filler: PacedRun,
    serving: PacedRun,
    interference: _interference.InterferenceModel,
    capacity_millis: int,
    max_step: int = MAX_RELEASE_STEP_PERCENT,
) -> float:
    """Return the growth of a log tail if a filler is sped up by a step."""
    coefficient = interference.find_coefficient(serving.image, filler.image)
    if coefficient < NEGLIGIBLE_COEFFICIENT:
        return 0.0
    step = min(max_step, FULL_PACE_PERCENT - filler.pace) / FULL_PACE_PERCENT
    return coefficient * step * estimate_full_use(filler, capacity_millis)
