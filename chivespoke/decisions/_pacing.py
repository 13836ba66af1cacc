"""How fast fillers may work beside tasks that serve.

Answers fillers that press on a serving task's tail latency: the worker's
fillers are slowed together before the tail is over its target for long, and
let go in small steps, so that a change of load does not set off a swing.
"""

import collections.abc

import msgspec

# Tail as a share of its target above which fillers are slowed, and well above
# which they are slowed harder.
SLOW_ABOVE = 0.85
HURRY_ABOVE = 1.1
# Below this share fillers are let go again; the gap is the hysteresis.
RELEASE_BELOW = 0.65
SLOW_FACTOR = 0.6
HURRY_FACTOR = 0.3
RELEASE_STEP = 20
# The tail is measured over half a second, and a pace acts within 0.1 s: a
# change shows after this many seconds.
SETTLE_SECONDS = 0.6
# Below this a filler makes no progress worth its pressure.
LEAST_PACE = 5
FULL_PACE = 100


class PacedRun(msgspec.Struct, frozen=True):
    """Hold what pacing looks at of one run."""

    task: str
    run: int
    filler: bool
    # 0 if it serves nobody.
    target_latency_ms: int
    # Tail latency of a run that serves, in milliseconds.
    measure: float
    # Percent of full speed that was last set.
    pace: int


class Pacer:
    """Keep the pace of the fillers of one worker."""

    __slots__ = ('_pace', '_changed_at')

    def __init__(self) -> None:
        self._pace = FULL_PACE
        self._changed_at = float('-inf')

    @property
    def pace(self) -> int:
        """Return the percent of full speed that fillers may have."""
        return self._pace

    def adjust(
        self, runs: collections.abc.Sequence[PacedRun], now: float
    ) -> list[PacedRun]:
        """Settle the pace; return the runs that have another."""
        tails = [
            run.measure / run.target_latency_ms
            for run in runs
            if run.target_latency_ms
        ]
        if not tails:
            self._pace = FULL_PACE
        elif now >= self._changed_at + SETTLE_SECONDS:
            self._settle(max(tails), now)
        return [run for run in runs if run.filler and run.pace != self._pace]

    def _settle(self, tail: float, now: float) -> None:
        pace = self._pace
        if tail > HURRY_ABOVE:
            pace = int(pace * HURRY_FACTOR)
        elif tail > SLOW_ABOVE:
            pace = int(pace * SLOW_FACTOR)
        elif tail < RELEASE_BELOW:
            pace = min(FULL_PACE, pace + RELEASE_STEP)
        if pace < LEAST_PACE:
            pace = 0
        if pace != self._pace:
            self._pace = pace
            self._changed_at = now
