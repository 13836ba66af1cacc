"""Throttling of fillers that share a worker with serving tasks.

A filler is a batch task that uses the processor time left by others. Fillers
increase the tail latency of serving tasks, whose own load varies as well. The
fillers with the highest interference on an affected serving task are throttled
first, and only as far as the interference model requires. If a tail latency
stays over its target nevertheless, all fillers of the worker are throttled.

While there is too little room for all jobs, fillers of jobs that are to be in
time come before those of delayed and expired jobs: they are throttled last and
sped up first. Otherwise all of them would share what serving tasks allow, and
each job would be somewhat late.
"""

import collections.abc
import math
import sys

from chivespoke.decisions import _interference
from chivespoke.decisions import _paced_runs
from chivespoke.decisions import _standings

# Pace of a filler that has just started beside a serving task. It is sped up
# step by step, as the tail latencies allow.
INITIAL_PACE_PERCENT = 30
# Pace up to which a filler that makes room for others is still sped up, and
# below which it is throttled only if a tail latency must come down.
TRICKLE_PERCENT = 5
# Time until the tail latency shows the effect of a change: it is measured over
# 0.5 s, and a pace takes effect within 0.1 s.
SETTLE_SECONDS = 0.6
# A tail over its target for longer than this shows that the model is wrong,
# and all fillers are throttled: a tail may be over its target for 4 s at most.
MAX_OVER_TARGET_SECONDS = 1.5
# Factor applied to the pace of every filler, repeatedly, until the tail is no
# longer over its target.
FALLBACK_FACTOR = 0.3
# Share of the latency headroom that one increase of a pace may use.
RELEASE_HEADROOM_SHARE = 0.5
# A gap in a log tail that only rounding leaves does not throttle fillers of an
# earlier standing.
MAX_ROUNDING_ERROR = 1e-9
# Minimum coefficient assumed for every filler beside a task that is over its
# target: many fillers with small coefficients add up, and a learned
# coefficient may be wrong.
OVER_TARGET_MIN_COEFFICIENT = 0.8


class Pacer:
    """Control the pace of the fillers on one worker."""

    __slots__ = ('_changed_at', '_over_target_since')

    def __init__(self) -> None:
        self._changed_at = float('-inf')
        # Time at which a tail was first observed over its target, by task.
        self._over_target_since: dict[str, float] = {}

    def adjust(
        self,
        runs: collections.abc.Sequence[_paced_runs.PacedRun],
        interference: _interference.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> list[_paced_runs.PaceChange]:
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
            runs, serving, fillers, interference, max(1, capacity_millis), now
        )
        changes = [
            _paced_runs.PaceChange(run.task, run.run, paces[run.task])
            for run in fillers
            if paces[run.task] != run.pace
        ]
        if changes:
            self._changed_at = now
        return changes

    def _update_over_target(
        self,
        serving: collections.abc.Sequence[_paced_runs.PacedRun],
        now: float,
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
        runs: collections.abc.Sequence[_paced_runs.PacedRun],
        serving: collections.abc.Sequence[_paced_runs.PacedRun],
        fillers: collections.abc.Sequence[_paced_runs.PacedRun],
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
                max(
                    sys.float_info.min,
                    run.measure
                    / (_paced_runs.TARGET_TAIL_SHARE * run.target_latency_ms),
                )
            )
            if gap > 0:
                throttle_fillers(
                    run, fillers, interference, capacity_millis, gap, paces
                )
        make_room(serving, fillers, interference, capacity_millis, paces)
        limits = limit_processor_time(runs, capacity_millis)
        for filler in fillers:
            if (
                paces[filler.task]
                == filler.pace
                < _paced_runs.FULL_PACE_PERCENT
            ):
                paces[filler.task] = compute_released_pace(
                    filler, serving, fillers, interference, capacity_millis
                )
            paces[filler.task] = min(
                paces[filler.task],
                limits.get(filler.task, _paced_runs.FULL_PACE_PERCENT),
            )
        return paces


def slow_down_new_fillers(
    serving: collections.abc.Sequence[_paced_runs.PacedRun],
    fillers: collections.abc.Sequence[_paced_runs.PacedRun],
    interference: _interference.InterferenceModel,
) -> list[_paced_runs.PaceChange]:
    """Return the initial paces of fillers that may disturb a serving task."""
    first = _paced_runs.find_first_standing(fillers)
    return [
        _paced_runs.PaceChange(
            filler.task,
            filler.run,
            INITIAL_PACE_PERCENT
            if filler.standing <= first
            else TRICKLE_PERCENT,
        )
        for filler in fillers
        if filler.is_new
        and any(
            interference.find_coefficient(run.image, filler.image)
            >= _paced_runs.NEGLIGIBLE_COEFFICIENT
            for run in serving
        )
    ]


def throttle_fillers(
    serving: _paced_runs.PacedRun,
    fillers: collections.abc.Sequence[_paced_runs.PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
    gap: float,
    paces: dict[str, int],
    min_pace: int = 0,
) -> None:
    """Reduce `paces` so that the log tail is expected to decrease by `gap`.

    The fillers of the last standing are throttled first, and among these the
    fillers with the highest coefficients, none below `min_pace`.
    """
    is_over = serving.measure > serving.target_latency_ms
    min_coefficient = OVER_TARGET_MIN_COEFFICIENT if is_over else 0.0
    ranked = sorted(
        fillers,
        key=lambda run: (
            run.standing,
            interference.find_coefficient(serving.image, run.image),
        ),
        reverse=True,
    )
    for run in ranked:
        is_last = run.standing is ranked[0].standing
        if gap <= (0.0 if is_last else MAX_ROUNDING_ERROR):
            return
        coefficient = max(
            min_coefficient,
            interference.find_coefficient(serving.image, run.image),
        )
        log_growth = coefficient * run.measure / capacity_millis
        if coefficient < _paced_runs.NEGLIGIBLE_COEFFICIENT or log_growth <= 0:
            continue
        share = min(1.0, gap / log_growth)
        pace = max(min_pace, int(run.pace * (1 - share)))
        paces[run.task] = min(paces[run.task], pace)
        gap -= share * log_growth


def make_room(
    serving: collections.abc.Sequence[_paced_runs.PacedRun],
    fillers: collections.abc.Sequence[_paced_runs.PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
    paces: dict[str, int],
) -> None:
    """Throttle fillers so that those of an earlier standing may speed up.

    Room is made for one increase of their paces at a time, and only beside the
    serving task that holds them down.
    """
    first = _paced_runs.find_first_standing(fillers)
    if all(filler.standing <= first for filler in fillers):
        return
    for run in serving:
        waiting = [
            filler
            for filler in fillers
            if filler.pace < _paced_runs.FULL_PACE_PERCENT
            and _paced_runs.find_limiting_run(filler, serving, interference)
            is run
        ]
        first = _paced_runs.find_first_standing(waiting)
        needed = sum(
            _paced_runs.estimate_growth(
                filler, run, interference, capacity_millis
            )
            for filler in waiting
            if filler.standing <= first
        )
        gap = needed / RELEASE_HEADROOM_SHARE - _paced_runs.measure_headroom(
            run
        )
        if waiting and gap > 0:
            throttle_fillers(
                run,
                [filler for filler in fillers if filler.standing > first],
                interference,
                capacity_millis,
                gap,
                paces,
                TRICKLE_PERCENT,
            )


def compute_released_pace(
    filler: _paced_runs.PacedRun,
    serving: collections.abc.Sequence[_paced_runs.PacedRun],
    fillers: collections.abc.Sequence[_paced_runs.PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
) -> int:
    """Return the pace to which a throttled filler may be sped up.

    The headroom that fillers of an earlier standing need for full speed is
    left to them, except for a trickle.
    """
    preceding = [run for run in fillers if run.standing < filler.standing]
    full_use_share = _paced_runs.estimate_full_use(filler, capacity_millis)
    step = trickle_step = float(_paced_runs.MAX_RELEASE_STEP_PERCENT)
    for run in serving:
        coefficient = interference.find_coefficient(run.image, filler.image)
        if coefficient < _paced_runs.NEGLIGIBLE_COEFFICIENT:
            continue
        headroom = _paced_runs.measure_headroom(run)
        if headroom <= 0:
            return filler.pace
        kept = sum(
            _paced_runs.estimate_growth(
                before,
                run,
                interference,
                capacity_millis,
                _paced_runs.FULL_PACE_PERCENT,
            )
            for before in preceding
        )
        growth = coefficient * full_use_share
        trickle_step = min(trickle_step, compute_step(headroom, growth))
        step = min(step, compute_step(max(0.0, headroom - kept), growth))
    trickle = min(TRICKLE_PERCENT, filler.pace + int(trickle_step))
    return min(
        _paced_runs.FULL_PACE_PERCENT, max(trickle, filler.pace + int(step))
    )


def compute_step(headroom: float, growth: float) -> float:
    """Return the increase of a pace, in percent, that a headroom allows.

    `growth` is that of the log tail at full speed.
    """
    return _paced_runs.FULL_PACE_PERCENT * (
        RELEASE_HEADROOM_SHARE * headroom / max(sys.float_info.min, growth)
    )


def limit_processor_time(
    runs: collections.abc.Sequence[_paced_runs.PacedRun], capacity_millis: int
) -> dict[str, int]:
    """Return the paces that fillers must not exceed, by task.

    Fillers of the first standing are not limited. The others get what the
    requests of those before them leave, but at least a trickle. What serving
    tasks use is not known and counts as nothing.
    """
    fillers = [run for run in runs if run.filler]
    first = _paced_runs.find_first_standing(fillers)
    if any(filler.cpu_millis <= 0 for filler in fillers):
        return {}
    room = capacity_millis - sum(
        run.cpu_millis
        for run in runs
        if not run.filler and not run.target_latency_ms
    )
    limits: dict[str, int] = {}
    for standing in _standings.Standing:
        group = [run for run in fillers if run.standing is standing]
        wanted = sum(run.cpu_millis for run in group)
        if standing > first and wanted > max(0, room):
            percent = _paced_runs.FULL_PACE_PERCENT * max(0, room) // wanted
            limits.update(
                (run.task, max(TRICKLE_PERCENT, percent)) for run in group
            )
        room -= wanted
    return limits
