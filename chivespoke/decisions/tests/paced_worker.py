"""A simulated worker whose fillers are paced beside a serving task."""

import collections.abc
import math

import msgspec

from chivespoke import decisions

CAPACITY_MILLIS = 10000
TARGET_MS = 18
TICK_SECONDS = 0.1
POLL_TICKS = 3
# The tail latency is measured over 0.5 s.
TAIL_TICKS = 5
SWING_SECONDS = 10.0
SERVING_IMAGE = 's1'
FILLER_IMAGE = 'f1'


class SimulatedJob(msgspec.Struct, frozen=True):
    """Describe a job of fillers that start together."""

    name: str
    tasks: int
    cpu_millis: int
    # Work of each task at full speed.
    work_seconds: float
    standing: decisions.Standing = decisions.Standing.TIMELY


class Load(msgspec.Struct, frozen=True):
    """Describe the load of the serving task; it swings regularly."""

    # Tail without fillers at mean load, as a share of the target.
    base_share: float
    # Amplitude of the log of the tail.
    swing: float
    # Time since the begin of a swing.
    phase_seconds: float
    # Increase of the log tail if fillers use the whole worker, and the
    # estimate that pacing has of it.
    coefficient: float
    estimate: float

    def compute_tail(self, now: float, use_share: float) -> float:
        """Return the tail latency in milliseconds."""
        angle = 2 * math.pi * (now + self.phase_seconds) / SWING_SECONDS
        return (
            self.base_share
            * TARGET_MS
            * math.exp(
                self.swing * math.sin(angle) + self.coefficient * use_share
            )
        )


class Outcome(msgspec.Struct, frozen=True):
    """Hold what a simulation has shown."""

    # Seconds until the last task of a job was done, by job; jobs that were
    # not done are missing.
    ends: dict[str, float]
    # Seconds in which the serving task was over its target.
    over_target: float


class _Filler:
    __slots__ = ('task', 'job', 'left', 'pace', 'use_millis', 'is_new')

    def __init__(self, task: str, job: SimulatedJob) -> None:
        self.task = task
        self.job = job
        self.left = job.work_seconds
        self.pace = decisions.FULL_PACE_PERCENT
        self.use_millis = 0.0
        self.is_new = True


class PacedWorker:
    """Run fillers on a worker whose pacer polls it regularly."""

    def __init__(
        self,
        pacer: decisions.Pacer,
        jobs: collections.abc.Iterable[SimulatedJob],
        load: Load | None,
    ) -> None:
        self._pacer = pacer
        self._jobs = tuple(jobs)
        self._load = load
        self._interference = decisions.FixedInterferenceModel(
            [
                decisions.InterferenceCoefficient(
                    SERVING_IMAGE, FILLER_IMAGE, load.estimate
                )
            ]
            if load
            else ()
        )
        self._fillers = [
            _Filler(f'{job.name}-{number}', job)
            for job in self._jobs
            for number in range(job.tasks)
        ]
        self._tails: list[float] = []

    def run(self, seconds: float) -> Outcome:
        """Simulate for some time and return what was seen."""
        ends: dict[str, float] = {}
        over_target = 0.0
        for tick in range(round(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            tail = self._work(now)
            if tail > TARGET_MS:
                over_target += TICK_SECONDS
            for job in self._jobs:
                if not any(filler.job is job for filler in self._fillers):
                    ends.setdefault(job.name, now + TICK_SECONDS)
            if tick % POLL_TICKS == 0:
                self._poll(now)
        return Outcome(ends, over_target)

    def _work(self, now: float) -> float:
        """Let the fillers work for a tick; return the tail latency."""
        wanted = {
            filler.task: filler.job.cpu_millis * filler.pace / 100
            for filler in self._fillers
        }
        granted = min(1.0, CAPACITY_MILLIS / max(1.0, sum(wanted.values())))
        for filler in self._fillers:
            filler.use_millis = wanted[filler.task] * granted
            filler.left -= (
                TICK_SECONDS * filler.use_millis / filler.job.cpu_millis
            )
        used = sum(filler.use_millis for filler in self._fillers)
        self._fillers = [
            filler for filler in self._fillers if filler.left > 1e-9
        ]
        if self._load is None:
            return 0.0
        tail = self._load.compute_tail(now, used / CAPACITY_MILLIS)
        self._tails = [*self._tails[-TAIL_TICKS + 1 :], tail]
        return tail

    def _poll(self, now: float) -> None:
        runs = [
            decisions.PacedRun(
                filler.task,
                1,
                FILLER_IMAGE,
                True,
                0,
                filler.use_millis,
                filler.pace,
                filler.is_new,
                filler.job.standing,
                filler.job.cpu_millis,
            )
            for filler in self._fillers
        ]
        if self._tails:
            tail = sum(self._tails) / len(self._tails)
            runs.append(
                decisions.PacedRun(
                    'serving', 1, SERVING_IMAGE, False, TARGET_MS, tail, 100
                )
            )
        changes = self._pacer.adjust(
            runs, self._interference, CAPACITY_MILLIS, now
        )
        paces = {change.task: change.percent for change in changes}
        for filler in self._fillers:
            filler.is_new = False
            filler.pace = paces.get(filler.task, filler.pace)
