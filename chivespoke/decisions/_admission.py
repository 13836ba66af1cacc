"""Which jobs to refuse at once because they would be served too late.

Load pattern: bursts bring more work than the workers complete while its
results have value. Whatever is accepted beyond that is served for nothing, and
its caller waits in vain. A job is refused only if that is sure; its caller is
told when to come back, at another time than the others.
"""

import collections.abc
import enum
import math

import msgspec
import xxhash

from chivespoke.decisions import _ordering
from chivespoke.decisions import _triage

# Age above which a summary says nothing about the present load: the work that
# it names may be done by then.
MAX_SUMMARY_AGE_SECONDS = 5.0
# Share of the work ahead that may turn out not to be needed: estimates are
# too long, and callers cancel.
FORECAST_ERROR_SHARE = 0.25
MIN_RETRY_SECONDS = 1
# Forecasts of the load reach no further.
MAX_RETRY_SECONDS = 120
# Part of the wait over which the callers' returns are spread.
SPREAD_SHARE = 0.5
# Part of the spread by the deadline; the rest is spread by job.
DEADLINE_SPREAD_SHARE = 0.5
# Work below which sizes are not told apart, in core-seconds.
MIN_SIZE_CORE_SECONDS = 1 / 16


class SizeClass(msgspec.Struct, frozen=True, array_like=True):
    """Hold the jobs that have about the same work left."""

    count: int
    # Of all these jobs.
    core_seconds: float


class PriorityLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the jobs of a priority whose results still have value."""

    # 0 is the most urgent.
    priority: int
    # Jobs that are served in time, and jobs that are delayed.
    timely: tuple[SizeClass, ...]
    delayed: tuple[SizeClass, ...] = ()


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the load of a service, by priority, and what it can carry."""

    outlook: _triage.ServiceOutlook
    priorities: tuple[PriorityLoad, ...] = ()


class JobDemand(msgspec.Struct, frozen=True):
    """Describe a job that asks to be accepted."""

    job: str
    # Priority of the queue; 0 is the most urgent.
    priority: int
    core_seconds: float
    # Longest path of its steps at full speed.
    path_seconds: float
    objective_seconds: float


class AdmissionCause(enum.Enum):
    """Why a job is admitted or refused."""

    NO_SUMMARY = 'no summary'
    OLD_SUMMARY = 'old summary'
    UNKNOWN_LOAD = 'unknown load'
    ROOM = 'room'
    IN_TIME = 'in time'
    IN_VALUE = 'within its value'
    OVERLOAD = 'overload'


class Admission(msgspec.Struct, frozen=True):
    """Hold whether a job is admitted, and why.

    `retry_seconds` is 0 for an admitted job.
    """

    cause: AdmissionCause
    # Forecast of the work that is served before the job.
    ahead_core_seconds: float = 0.0
    wait_seconds: float = 0.0
    retry_seconds: int = 0

    @property
    def admitted(self) -> bool:
        """Return whether the job is admitted."""
        return self.cause is not AdmissionCause.OVERLOAD


def decide_admission(
    demand: JobDemand,
    load: ServiceLoad | None,
    age_seconds: float,
) -> Admission:
    """Decide whether a job is admitted at the load of its service.

    The load is None if the leader has told none. Its age is an
    upper bound of the time since it was told.
    """
    if load is None:
        return Admission(AdmissionCause.NO_SUMMARY)
    if age_seconds > MAX_SUMMARY_AGE_SECONDS:
        return Admission(AdmissionCause.OLD_SUMMARY)
    outlook = load.outlook
    if outlook.throughput_cores <= 0:
        return Admission(AdmissionCause.UNKNOWN_LOAD)
    if outlook.total_core_seconds <= outlook.timely_core_seconds:
        # All accepted jobs can be in time.
        return Admission(AdmissionCause.ROOM)
    ahead = measure_share_ahead(demand, load)
    wait_seconds = ahead / outlook.throughput_cores
    certain_wait = (1 - FORECAST_ERROR_SHARE) * wait_seconds
    if certain_wait + demand.path_seconds <= demand.objective_seconds:
        return Admission(AdmissionCause.IN_TIME, ahead, wait_seconds)
    ahead = measure_work_ahead(demand, load)
    wait_seconds = ahead / outlook.throughput_cores
    certain_wait = (1 - FORECAST_ERROR_SHARE) * wait_seconds
    if certain_wait <= demand.objective_seconds:
        return Admission(AdmissionCause.ROOM, ahead, wait_seconds)
    value_seconds = _ordering.VALUE_CUTOFF_FACTOR * demand.objective_seconds
    if certain_wait + demand.path_seconds <= value_seconds:
        return Admission(AdmissionCause.IN_VALUE, ahead, wait_seconds)
    return Admission(
        AdmissionCause.OVERLOAD,
        ahead,
        wait_seconds,
        choose_retry_seconds(demand, wait_seconds),
    )


def measure_share_ahead(demand: JobDemand, load: ServiceLoad) -> float:
    """Return the work ahead of a job that is chosen to be in time.

    In core-seconds. Of jobs of its priority, those that need less are chosen
    first, so that each takes at most as much as the job needs itself: a small
    job does not wait for a large one.
    """
    ahead = 0.0
    for priority_load in load.priorities:
        for size in priority_load.timely:
            if priority_load.priority < demand.priority:
                ahead += size.core_seconds
            elif priority_load.priority == demand.priority:
                ahead += min(
                    size.core_seconds, size.count * demand.core_seconds
                )
    return ahead


def measure_work_ahead(demand: JobDemand, load: ServiceLoad) -> float:
    """Return the work ahead of a job that is delayed.

    In core-seconds. All of more urgent jobs; of its priority those that are in
    time, and those that are delayed and need less; none of less urgent jobs.
    """
    ahead = 0.0
    for priority_load in load.priorities:
        if priority_load.priority > demand.priority:
            continue
        ahead += sum(size.core_seconds for size in priority_load.timely)
        is_same = priority_load.priority == demand.priority
        ahead += sum(
            size.core_seconds
            for size in priority_load.delayed
            if not is_same
            or size.core_seconds <= size.count * demand.core_seconds
        )
    return ahead


def choose_retry_seconds(demand: JobDemand, wait_seconds: float) -> int:
    """Return after how many seconds a refused caller is to come back.

    By then the work ahead of its job is done. That is sooner for a more urgent
    job and for one that needs less; of like jobs, the one with the nearer
    deadline comes first. Jobs that are alike come at different times.
    """
    slack_share = demand.objective_seconds / (
        demand.objective_seconds + wait_seconds
    )
    job_share = xxhash.xxh64_intdigest(demand.job) / 2**64
    spread = DEADLINE_SPREAD_SHARE * slack_share
    spread += (1 - DEADLINE_SPREAD_SHARE) * job_share
    seconds = wait_seconds * (1 + SPREAD_SHARE * spread)
    return max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, math.ceil(seconds)))


def classify_sizes(
    works: collections.abc.Iterable[float],
) -> tuple[SizeClass, ...]:
    """Return the size classes of jobs, by their work in core-seconds.

    Work within a class differs by a factor of two at most.
    """
    counts: dict[int, int] = {}
    sums: dict[int, float] = {}
    for work in works:
        if work <= 0:
            continue
        number = math.floor(math.log2(max(work, MIN_SIZE_CORE_SECONDS)))
        counts[number] = counts.get(number, 0) + 1
        sums[number] = sums.get(number, 0.0) + work
    return tuple(
        SizeClass(counts[number], round(sums[number], 2))
        for number in sorted(counts)
    )
