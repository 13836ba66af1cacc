"""The rule of pacing without standings, to compare the present one with.

Fillers are throttled by interference alone, whoever they belong to, and each
is sped up by itself against the same headroom.
"""

import collections.abc
import math
import sys

from chivespoke import decisions

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


class UnrankedPacer(decisions.Pacer):
    """Control the pace of the fillers without regard to standings."""

    __slots__ = ()

    def adjust(
        self,
        runs: collections.abc.Sequence[decisions.PacedRun],
        interference: decisions.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> list[decisions.PaceChange]:
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
        paces = self._choose_unranked_paces(
            serving, fillers, interference, max(1, capacity_millis), now
        )
        changes = [
            decisions.PaceChange(run.task, run.run, paces[run.task])
            for run in fillers
            if paces[run.task] != run.pace
        ]
        if changes:
            self._changed_at = now
        return changes

    def _choose_unranked_paces(
        self,
        serving: collections.abc.Sequence[decisions.PacedRun],
        fillers: collections.abc.Sequence[decisions.PacedRun],
        interference: decisions.InterferenceModel,
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
                max(
                    sys.float_info.min,
                    run.measure / (TARGET_TAIL_SHARE * run.target_latency_ms),
                )
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
    serving: collections.abc.Sequence[decisions.PacedRun],
    fillers: collections.abc.Iterable[decisions.PacedRun],
    interference: decisions.InterferenceModel,
) -> list[decisions.PaceChange]:
    """Return the initial paces of fillers that may disturb a serving task."""
    return [
        decisions.PaceChange(filler.task, filler.run, INITIAL_PACE_PERCENT)
        for filler in fillers
        if filler.is_new
        and any(
            interference.find_coefficient(run.image, filler.image)
            >= NEGLIGIBLE_COEFFICIENT
            for run in serving
        )
    ]


def throttle_fillers(
    serving: decisions.PacedRun,
    fillers: collections.abc.Sequence[decisions.PacedRun],
    interference: decisions.InterferenceModel,
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
    filler: decisions.PacedRun,
    serving: collections.abc.Sequence[decisions.PacedRun],
    interference: decisions.InterferenceModel,
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
            RELEASE_HEADROOM_SHARE
            * headroom
            / max(sys.float_info.min, coefficient * full_use_share)
        )
        step = min(step, FULL_PACE_PERCENT * allowed)
    return min(FULL_PACE_PERCENT, filler.pace + int(step))
