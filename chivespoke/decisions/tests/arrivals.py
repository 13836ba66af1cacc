"""A replay of jobs that arrive in bursts at a service with too little room."""

import collections.abc
import heapq
import random

import msgspec

from chivespoke import decisions

THROUGHPUT_CORES = 20.0
# Time for which one job is served before the order is looked at again.
STEP_SECONDS = 0.1
SUMMARY_INTERVAL_SECONDS = 1.0
END_SECONDS = 240.0


class Arrival(msgspec.Struct, frozen=True):
    """Hold a job and when its caller first asks for it."""

    at: float
    demand: decisions.JobDemand


class _Job(msgspec.Struct):
    """Track an accepted job."""

    arrival: Arrival
    accepted_at: float
    left: float

    @property
    def deadline(self) -> float:
        return self.accepted_at + self.arrival.demand.objective_seconds

    @property
    def priority(self) -> int:
        return self.arrival.demand.priority


def make_arrivals(seed: int) -> list[Arrival]:
    """Return jobs of two priorities, with sizes of a heavy tail.

    The load is half of the throughput, and five times the throughput in two
    bursts of 30 s.
    """
    generator = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    while now < 150.0:
        burst = 20.0 <= now < 50.0 or 90.0 <= now < 120.0
        now += generator.expovariate(4.0 if burst else 0.4)
        work = 25.0 * generator.lognormvariate(-0.5, 1.0)
        arrivals.append(
            Arrival(
                now,
                decisions.JobDemand(
                    f'{len(arrivals):016x}',
                    generator.choice((0, 2, 2)),
                    work,
                    4.0,
                    12.0,
                ),
            )
        )
    return arrivals


def rank(jobs: list[_Job], now: float) -> list[tuple[_Job, bool]]:
    """Return jobs in the order of service, and whether each is in time.

    Of a priority, as many jobs as possible are chosen to be in time; the
    others follow by the work that they need.
    """
    ranked: list[tuple[_Job, bool]] = []
    work = 0.0
    for priority in sorted({job.priority for job in jobs}):
        same = [job for job in jobs if job.priority == priority]
        chosen: list[_Job] = []
        for job in sorted(same, key=lambda job: job.deadline):
            chosen.append(job)
            work += job.left
            if now + work / THROUGHPUT_CORES > job.deadline:
                largest = max(chosen, key=lambda job: job.left)
                chosen.remove(largest)
                work -= largest.left
        timely = {job.arrival.demand.job for job in chosen}
        others = [job for job in same if job.arrival.demand.job not in timely]
        others.sort(key=lambda job: job.left)
        ranked += [(job, True) for job in chosen]
        ranked += [(job, False) for job in others]
        work += sum(job.left for job in others)
    return ranked


def summarize(jobs: list[_Job], now: float) -> decisions.ServiceLoad:
    """Return the load that the leader would tell."""
    timely: dict[int, list[float]] = {}
    delayed: dict[int, list[float]] = {}
    for job, is_timely in rank(jobs, now):
        objective = job.arrival.demand.objective_seconds
        if is_timely:
            timely.setdefault(job.priority, []).append(job.left)
        elif now < job.deadline + 2 * objective:
            delayed.setdefault(job.priority, []).append(job.left)
    return decisions.ServiceLoad(
        decisions.ServiceOutlook(
            THROUGHPUT_CORES,
            sum(sum(works) for works in timely.values()),
            sum(job.left for job in jobs),
        ),
        tuple(
            decisions.PriorityLoad(
                priority,
                decisions.classify_sizes(timely.get(priority, ())),
                decisions.classify_sizes(delayed.get(priority, ())),
            )
            for priority in sorted(timely.keys() | delayed.keys())
        ),
    )


class Outcome(msgspec.Struct, frozen=True):
    """Hold what became of all jobs of a replay."""

    # 1 for a job in time by the clock of its caller, less for a late one.
    value: float
    in_time: int
    refusals: int
    # Time for which the callers of jobs without value waited.
    vain_seconds: float


def replay(
    arrivals: collections.abc.Sequence[Arrival], admits_all: bool
) -> Outcome:
    """Serve jobs one after the other; refused callers come back as told."""
    asking = [(arrival.at, i, arrival) for i, arrival in enumerate(arrivals)]
    heapq.heapify(asking)
    jobs: list[_Job] = []
    load: decisions.ServiceLoad | None = None
    load_at = float('-inf')
    value = vain_seconds = 0.0
    in_time = refusals = 0
    for step in range(int(END_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if now >= load_at + SUMMARY_INTERVAL_SECONDS:
            load, load_at = summarize(jobs, now), now
        while asking and asking[0][0] <= now:
            _, i, arrival = heapq.heappop(asking)
            admission = decisions.decide_admission(
                arrival.demand, load, now - load_at
            )
            if admits_all or admission.admitted:
                jobs.append(_Job(arrival, now, arrival.demand.core_seconds))
                continue
            refusals += 1
            again = now + admission.retry_seconds
            objective = arrival.demand.objective_seconds
            if again < arrival.at + decisions.VALUE_CUTOFF_FACTOR * objective:
                heapq.heappush(asking, (again, i, arrival))
        room = THROUGHPUT_CORES * STEP_SECONDS
        for job, _ in rank(jobs, now):
            served = min(room, job.left)
            job.left -= served
            room -= served
            if job.left > 0:
                break
            jobs.remove(job)
            gained = measure_value(job, now + STEP_SECONDS)
            value += gained
            in_time += gained == 1.0
            if not gained:
                vain_seconds += now - job.accepted_at
    vain_seconds += sum(END_SECONDS - job.accepted_at for job in jobs)
    return Outcome(value, in_time, refusals, vain_seconds)


def measure_value(job: _Job, done_at: float) -> float:
    """Return the value of a job by the time for which its caller waited."""
    objective = job.arrival.demand.objective_seconds
    late = done_at - job.arrival.at - objective
    lasting = (decisions.VALUE_CUTOFF_FACTOR - 1) * objective
    return min(1.0, max(0.0, 1 - late / lasting))
