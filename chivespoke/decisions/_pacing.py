"""How fast fillers may work beside tasks that serve.

Answers fillers that press on a serving task's tail latency while its own load
swings: the fillers that press most on the task in trouble are slowed first,
and only as much as the model says is needed; a tail that stays over its target
whatever the model says slows all of them.
"""

import collections.abc
import math

import msgspec

from chivespoke.decisions import _interference

FULL_PACE_PERCENT = 100
# Tail as a share of its target that pacing aims at, and below which fillers
# are let go again; the gap is the hysteresis.
TARGET_TAIL_SHARE = 0.7
RELEASE = 0.6
# The tail is measured over half a second, and a pace acts within 0.1 s: a
# change shows after this many seconds.
SETTLE_SECONDS = 0.6
# A tail over its target for so long, in seconds, is beyond the model; a
# worker may be over for four seconds at most.
PATIENCE_SECONDS = 1.5
DISTRUST_FACTOR = 0.3
# Share of the headroom that is given back at once, and the most in percent.
RELEASE_SHARE = 0.5
RELEASE_STEP = 30
# A coefficient below this is no pressure: it is within the model's error.
NO_PRESSURE = 0.4
# Share of a worker that a filler would use at full speed, while its pace of
# zero leaves nothing to measure.
UNKNOWN_APPETITE = 0.1
# Beside a task that is over its target every filler is taken to press at
# least so much: many fillers that press little press together, and what was
# learnt of a pair may be wrong.
LEAST_SUSPICION = 0.8


class PacedRun(msgspec.Struct, frozen=True):
    """Hold what pacing looks at of one run."""

    task: str
    run: int
    image: str
    filler: bool
    # 0 if it serves nobody.
    target_latency_ms: int
    # Tail latency in milliseconds of a run that serves, else the thousandths
    # of a core in use.
    measure: float
    # Percent of full speed that was last set.
    pace: int


class PaceChange(msgspec.Struct, frozen=True):
    """Tell the pace that a run is to have."""

    task: str
    run: int
    percent: int


class Pacer:
    """Keep the pace of the fillers of one worker."""

    __slots__ = ('_changed_at', '_over_since')

    def __init__(self) -> None:
        self._changed_at = float('-inf')
        # Since when a task has been over its target, by task.
        self._over_since: dict[str, float] = {}

    def adjust(
        self,
        runs: collections.abc.Sequence[PacedRun],
        interference: _interference.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> list[PaceChange]:
        """Return the runs that are to have another pace."""
        serving = [
            run for run in runs if run.target_latency_ms and run.measure > 0
        ]
        fillers = [run for run in runs if run.filler]
        self._note_over(serving, now)
        if now < self._changed_at + SETTLE_SECONDS:
            return []
        paces = self._choose(
            serving, fillers, interference, max(1, capacity_millis), now
        )
        orders = [
            PaceChange(run.task, run.run, paces[run.task])
            for run in fillers
            if paces[run.task] != run.pace
        ]
        if orders:
            self._changed_at = now
        return orders

    def _note_over(
        self, serving: collections.abc.Sequence[PacedRun], now: float
    ) -> None:
        over = {
            run.task for run in serving if run.measure > run.target_latency_ms
        }
        for task in tuple(self._over_since):
            if task not in over:
                del self._over_since[task]
        for task in over:
            self._over_since.setdefault(task, now)

    def _choose(
        self,
        serving: collections.abc.Sequence[PacedRun],
        fillers: collections.abc.Sequence[PacedRun],
        interference: _interference.InterferenceModel,
        capacity_millis: int,
        now: float,
    ) -> dict[str, int]:
        paces = {run.task: run.pace for run in fillers}
        if any(
            now - since > PATIENCE_SECONDS
            for since in self._over_since.values()
        ):
            return {
                task: int(pace * DISTRUST_FACTOR)
                for task, pace in paces.items()
            }
        for run in serving:
            gap = math.log(
                run.measure / (TARGET_TAIL_SHARE * run.target_latency_ms)
            )
            if gap > 0:
                slow(run, fillers, interference, capacity_millis, gap, paces)
        for filler in fillers:
            if paces[filler.task] == filler.pace < FULL_PACE_PERCENT:
                paces[filler.task] = release(
                    filler, serving, interference, capacity_millis
                )
        return paces


def slow(
    serving: PacedRun,
    fillers: collections.abc.Sequence[PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
    gap: float,
    paces: dict[str, int],
) -> None:
    """Slow the fillers that press most until a gap of the log tail closes."""
    is_over = serving.measure > serving.target_latency_ms
    floor = LEAST_SUSPICION if is_over else 0.0
    ranked = sorted(
        fillers,
        key=lambda run: interference.find_coefficient(
            serving.image, run.image
        ),
        reverse=True,
    )
    for run in ranked:
        coefficient = max(
            floor, interference.find_coefficient(serving.image, run.image)
        )
        log_growth = coefficient * run.measure / capacity_millis
        if gap <= 0 or coefficient < NO_PRESSURE:
            return
        if log_growth <= 0:
            continue
        share = min(1.0, gap / log_growth)
        paces[run.task] = min(paces[run.task], int(run.pace * (1 - share)))
        gap -= share * log_growth


def release(
    filler: PacedRun,
    serving: collections.abc.Sequence[PacedRun],
    interference: _interference.InterferenceModel,
    capacity_millis: int,
) -> int:
    """Return the pace that a slowed filler may have again."""
    step = float(RELEASE_STEP)
    full = UNKNOWN_APPETITE
    if filler.pace and filler.measure:
        used = filler.measure / capacity_millis
        full = used / (filler.pace / FULL_PACE_PERCENT)
    for run in serving:
        coefficient = interference.find_coefficient(run.image, filler.image)
        if coefficient < NO_PRESSURE:
            continue
        headroom = math.log(RELEASE * run.target_latency_ms / run.measure)
        if headroom <= 0:
            return filler.pace
        allowed = RELEASE_SHARE * headroom / (coefficient * full)
        step = min(step, FULL_PACE_PERCENT * allowed)
    return min(FULL_PACE_PERCENT, filler.pace + int(step))
