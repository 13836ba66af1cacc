"""Which jobs to serve in time when there is too little room for all of them.

Load pattern: bursts bring more work than the workers can complete before its
deadlines. If everything runs at once, or in order of deadlines, every job is
somewhat late. Instead a set of jobs is chosen that can all be in time, and the
others are delayed.

The choice follows Moore, "An n job, one machine sequencing algorithm for
minimizing the number of late jobs" (Management Science, 1968): jobs are added
in order of their deadlines, and whenever they no longer fit, the job is taken
out that costs its caller least for the work that it needs.
"""

import collections.abc
import heapq

import msgspec

from chivespoke.decisions import _ordering
from chivespoke.decisions import _standings

# Part of a job's value that does not depend on its size. A caller who waits
# for a small job waits as long as one who waits for a large job, and a large
# job holds the results of more work: both count alike.
FIXED_VALUE_SHARE = 0.5
# Multiple of its objective after which a job is served in time with the
# others, whatever it needs: no job is delayed for ever.
MAX_DELAY_FACTOR = 6.0
# Factor on the value of a job that was chosen before, so that jobs that are
# nearly alike do not take turns: each turn would leave work half done.
CHOSEN_VALUE_FACTOR = 1.5
# Share of the wanted processor time that jobs get, below which there is too
# little room, and from which on there is enough again.
CROWDED_SHARE = 0.75
ROOMY_SHARE = 0.9
# Time for which jobs must get too little before others are delayed: a new
# leader hears of all runs within a second, and a new run starts slowly.
MIN_CROWDED_SECONDS = 2.0
# Time constants of the average of the throughput. It falls slowly, since runs
# that start or are moved use little for a moment.
THROUGHPUT_RISE_SECONDS = 1.0
THROUGHPUT_FALL_SECONDS = 8.0


class ServiceOutlook(msgspec.Struct, frozen=True):
    """Hold the load of a service and what it can carry.

    Amounts of work are in core-seconds at full speed.
    """

    # Work that the service completes per second for jobs that share what
    # others leave unused; 0 if it is not known yet.
    throughput_cores: float
    # Work left of the jobs that are served in time, and of all jobs.
    timely_core_seconds: float
    total_core_seconds: float


class JobOutlook(msgspec.Struct, frozen=True):
    """Describe what a job still needs and until when.

    Amounts of work are in core-seconds at full speed, times in seconds since
    1970.
    """

    job: str
    # Priority of the queue; 0 is the most urgent.
    priority: int
    # Begin of the time that the caller waits.
    waits_since: float
    objective_seconds: float
    # Longest path to the end of the job at full speed, in seconds.
    path_seconds: float
    work_left: float
    total_work: float

    @property
    def deadline(self) -> float:
        """Return the time at which the job must be complete."""
        return self.waits_since + self.objective_seconds

    @property
    def value_end(self) -> float:
        """Return the time after which the results have no value."""
        return (
            self.waits_since
            + _ordering.VALUE_CUTOFF_FACTOR * self.objective_seconds
        )


class CrowdingDetector:
    """Tell whether a service has too little room, and what it can carry.

    Hysteresis keeps the decision from changing with every task that ends.
    """

    __slots__ = ('_crowded_since', '_is_long', '_throughput', '_measured_at')

    def __init__(self) -> None:
        self._crowded_since: float | None = None
        self._is_long = False
        self._throughput = 0.0
        self._measured_at: float | None = None

    @property
    def is_crowded(self) -> bool:
        """Return whether jobs get much less processor time than they want."""
        return self._is_long

    @property
    def throughput(self) -> float:
        """Return the cores that jobs get while there is too little room."""
        return self._throughput

    def observe(self, wanted: float, used: float, now: float) -> None:
        """Record the cores that jobs want and the cores that they get."""
        elapsed = 0.0
        if self._measured_at is not None:
            elapsed = max(0.0, now - self._measured_at)
        self._measured_at = now
        limit = CROWDED_SHARE if self._crowded_since is None else ROOMY_SHARE
        if wanted <= 0 or used >= limit * wanted:
            self._crowded_since = None
        elif self._crowded_since is None:
            self._crowded_since = now
        self._is_long = (
            self._crowded_since is not None
            and now >= self._crowded_since + MIN_CROWDED_SECONDS
        )
        if used > self._throughput:
            weight = min(1.0, elapsed / THROUGHPUT_RISE_SECONDS)
        elif self._crowded_since is not None:
            weight = min(1.0, elapsed / THROUGHPUT_FALL_SECONDS)
        else:
            # The service may be able to carry more than jobs want.
            weight = 0.0
        self._throughput += weight * (used - self._throughput)


def rank_jobs(
    outlooks: collections.abc.Sequence[JobOutlook],
    throughput: float,
    now: float,
    chosen_before: collections.abc.Set[str] = frozenset(),
) -> dict[str, _standings.Rank]:
    """Return the order of service of jobs that share a throughput in cores.

    `chosen_before` names the jobs that were served in time so far.
    """
    ranks: dict[str, _standings.Rank] = {}
    feasible: list[JobOutlook] = []
    for outlook in outlooks:
        if is_delayed_too_long(outlook, now):
            # Before all others of its priority.
            ranks[outlook.job] = _standings.Rank(
                _standings.Standing.TIMELY, outlook.waits_since
            )
        elif now + outlook.path_seconds <= outlook.deadline:
            feasible.append(outlook)
        else:
            ranks[outlook.job] = rank_late_job(outlook, now)
    mean_work = measure_mean_work(outlooks)
    taken_work = sum(
        outlook.work_left
        for outlook in outlooks
        if outlook.job in ranks
        and ranks[outlook.job].standing is _standings.Standing.TIMELY
    )
    timely = choose_timely(
        feasible, throughput, now, chosen_before, mean_work, taken_work
    )
    for outlook in feasible:
        if outlook.job in timely:
            ranks[outlook.job] = _standings.Rank(
                _standings.Standing.TIMELY, outlook.deadline
            )
        else:
            ranks[outlook.job] = rank_late_job(outlook, now)
    return ranks


def choose_timely(
    feasible: collections.abc.Iterable[JobOutlook],
    throughput: float,
    now: float,
    chosen_before: collections.abc.Set[str],
    mean_work: float,
    taken_work: float = 0.0,
) -> frozenset[str]:
    """Return the jobs that can all be complete by their deadlines.

    `taken_work` is work that is done first in any case, in core-seconds.
    """
    chosen: set[str] = set()
    # The job that costs least to delay is the first of the heap. Less urgent
    # queues are delayed before more urgent ones.
    heap: list[tuple[int, float, str, float]] = []
    work = taken_work
    for outlook in sorted(
        feasible, key=lambda outlook: (outlook.deadline, outlook.job)
    ):
        density = measure_density(outlook, mean_work)
        if outlook.job in chosen_before:
            density *= CHOSEN_VALUE_FACTOR
        heapq.heappush(
            heap, (-outlook.priority, density, outlook.job, outlook.work_left)
        )
        chosen.add(outlook.job)
        work += outlook.work_left
        while heap and work > throughput * (outlook.deadline - now):
            _, _, job, work_left = heapq.heappop(heap)
            chosen.discard(job)
            work -= work_left
    return frozenset(chosen)


def measure_density(outlook: JobOutlook, mean_work: float) -> float:
    """Return the value of a job for each core-second that it still needs.

    What is done already of a job counts for it: its value is that of the whole
    job, its cost that of the rest.
    """
    share = outlook.total_work / mean_work if mean_work > 0 else 1.0
    value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * share
    return value / max(outlook.work_left, 1e-6)


def measure_mean_work(
    outlooks: collections.abc.Sequence[JobOutlook],
) -> float:
    """Return the mean work of whole jobs in core-seconds; 0 without jobs."""
    if not outlooks:
        return 0.0
    return sum(outlook.total_work for outlook in outlooks) / len(outlooks)


def rank_late_job(outlook: JobOutlook, now: float) -> _standings.Rank:
    """Return the rank of a job that will not be in time.

    The one that is complete first goes first: that delays the others least.
    """
    if now + outlook.path_seconds <= outlook.value_end:
        return _standings.Rank(_standings.Standing.DELAYED, outlook.work_left)
    return _standings.Rank(_standings.Standing.EXPIRED, outlook.work_left)


def is_delayed_too_long(outlook: JobOutlook, now: float) -> bool:
    """Return whether a job was delayed as long as any job may be."""
    return (
        now
        >= outlook.waits_since + MAX_DELAY_FACTOR * outlook.objective_seconds
    )
