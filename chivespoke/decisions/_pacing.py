"""Throttling of fillers that share a worker with serving tasks.

A filler is a batch task that uses the processor time left by others. Fillers
increase the tail latency of serving tasks, whose own load varies as well. The
fillers with the highest interference on an affected serving task are throttled
first, and only as far as the interference model requires. If a tail latency
stays over its target nevertheless, all fillers of the worker are throttled.
"""

import collections.abc
import math

import msgspec

from chivespoke.decisions import _interference

FULL_PACE_PERCENT = 100
# Pace of a filler that has just started beside a serving task. It is sped up
# step by step, as the tail latencies allow.
INITIAL_PACE_PERCENT = 30
# Share of the latency target that pacing aims at, and share below which
# fillers are sped up again; the difference is the hysteresis.
TARGET_TAIL_SHARE = 0.7
RELEASE_TAIL_SHARE = 0.6
# Time until the tail latency shows the effect of a change: it is measured over
# 0.5 s, and a pace takes effect within 0.1 s.
SETTLE_SECONDS = 0.6
# A tail over its target for longer than this shows that the model is wrong,
# and all fillers are throttled: a tail may be over its target for 4 s at most.
MAX_OVER_TARGET_SECONDS = 1.5
# Factor applied to the pace of every filler, repeatedly, until the tail is no
# longer over its target.
FALLBACK_FACTOR = 0.3
# Share of the latency headroom that one increase of a pace may use, and the
# maximum increase.
RELEASE_HEADROOM_SHARE = 0.5
MAX_RELEASE_STEP_PERCENT = 30
# A coefficient below this is within the error of the model and is ignored.
NEGLIGIBLE_COEFFICIENT = 0.4
# Assumed share of a worker that a filler uses at full speed if its pace is
# zero and nothing can be measured.
DEFAULT_USE_SHARE = 0.1
# Minimum coefficient assumed for every filler beside a task that is over its
# target: many fillers with small coefficients add up, and a learned
# coefficient may be wrong.
OVER_TARGET_MIN_COEFFICIENT = 0.8


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


class PaceChange(msgspec.Struct, frozen=True):
    """Hold a new pace for a run, in percent of full speed."""

    task: str
    run: int
    percent: int


class Pacer:
    """Control the pace of the fillers on one worker."""

    __slots__ = ('_changed_at', '_over_target_since')

    def __init__(self) -> None:
        self._changed_at = float('-inf')
        # Time at which a tail was first observed over its target, by task.
        self._over_target_since: dict[str, float] = {}

    def adjust(
        self,
        runs: collections.abc.Sequence[PacedRun],
        interference: _interference.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> list[PaceChange]:
        """Return the changes of pace that are needed now."""
        serving = [
            run for run in runs if run.target_latency_ms and run.measure > 0
        ]
        fillers = [run for run in runs if run.filler]
        self._update_over_target(serving, now)
        initial_changes = slow_down_new_fillers(serving, fillers, interference)
        if initial_changes:
            # Not delayed until earlier changes have settled: the tails would
            # show the effect of the new fillers only after they did harm.
            return initial_changes
        if now < self._changed_at + SETTLE_SECONDS:
            return []
        paces = self._choose_paces(
            serving, fillers, interference, max(1, capacity_millis), now
        )
        changes = [
            PaceChange(run.task, run.run, paces[run.task])
            for run in fillers
            if paces[run.task] != run.pace
        ]
        if changes:
            self._changed_at = now
        return changes

    def _update_over_target(
        self, serving: collections.abc.Sequence[PacedRun], now: float
    ) -> None:
        over_target = {
            run.task for run in serving if run.measure > run.target_latency_ms
        }
        for task in tuple(self._over_target_since):
            if task not in over_target:
                del self._over_target_since[task]
        for task in over_target:
            self._over_target_since.setdefault(task, now)

    def _choose_paces(
        self,
        serving: collections.abc.Sequence[PacedRun],
        fillers: collections.abc.Sequence[PacedRun],
        interference: _interference.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> dict[str, int]:
        paces = {run.task: run.pace for run in fillers}
        if any(
            now - since > MAX_OVER_TARGET_SECONDS
            for since in self._over_target_since.values()
        ):
            return {
                task: int(pace * FALLBACK_FACTOR)
                for task, pace in paces.items()
            }
        for run in serving:
            gap = math.log(
                run.measure / (TARGET_TAIL_SHARE * run.target_latency_ms)
            )
            if gap > 0:
                throttle_fillers(
                    run, fillers, interference, capacity_millis, gap, paces
                )
        for filler in fillers:
            if paces[filler.task] == filler.pace < FULL_PACE_PERCENT:
                paces[filler.task] = compute_released_pace(
                    filler, serving, interference, capacity_millis
                )
        return paces


def slow_down_new_fillers(
    serving: collections.abc.Sequence[PacedRun],
    fillers: collections.abc.Iterable[PacedRun],
    interference: _interference.InterferenceModel,
) -> list[PaceChange]:
    """Return the initial paces of fillers that may disturb a serving task."""
    return [
        PaceChange(filler.task, filler.run, INITIAL_PACE_PERCENT)
        for filler in fillers
        if filler.is_new
        and any(
            interference.find_coefficient(run.image, filler.image)
            >= NEGLIGIBLE_COEFFICIENT
            for run in serving
        )
    ]


def throttle_fillers(
    serving: PacedRun,
    fillers: collections.abc.Sequence[PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
    gap: float,
    paces: dict[str, int],
) -> None:
    """Reduce `paces` so that the log tail is expected to decrease by `gap`.

    The fillers with the highest coefficients are throttled first.
    """
    is_over = serving.measure > serving.target_latency_ms
    min_coefficient = OVER_TARGET_MIN_COEFFICIENT if is_over else 0.0
    ranked = sorted(
        fillers,
        key=lambda run: interference.find_coefficient(
            serving.image, run.image
        ),
        reverse=True,
    )
    for run in ranked:
        coefficient = max(
            min_coefficient,
            interference.find_coefficient(serving.image, run.image),
        )
        log_growth = coefficient * run.measure / capacity_millis
        if gap <= 0 or coefficient < NEGLIGIBLE_COEFFICIENT:
            return
        if log_growth <= 0:
            continue
        share = min(1.0, gap / log_growth)
        paces[run.task] = min(paces[run.task], int(run.pace * (1 - share)))
        gap -= share * log_growth


def compute_released_pace(
    filler: PacedRun,
    serving: collections.abc.Sequence[PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
) -> int:
    """Return the pace to which a throttled filler may be sped up."""
    step = float(MAX_RELEASE_STEP_PERCENT)
    full_use_share = DEFAULT_USE_SHARE
    if filler.pace and filler.measure:
        use_share = filler.measure / capacity_millis
        full_use_share = use_share / (filler.pace / FULL_PACE_PERCENT)
    for run in serving:
        coefficient = interference.find_coefficient(run.image, filler.image)
        if coefficient < NEGLIGIBLE_COEFFICIENT:
            continue
        headroom = math.log(
            RELEASE_TAIL_SHARE * run.target_latency_ms / run.measure
        )
        if headroom <= 0:
            return filler.pace
        allowed = (
            RELEASE_HEADROOM_SHARE * headroom / (coefficient * full_use_share)
        )
        step = min(step, FULL_PACE_PERCENT * allowed)
    return min(FULL_PACE_PERCENT, filler.pace + int(step))
