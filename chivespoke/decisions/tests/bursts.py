"""A burst of jobs that share a throughput, replayed without workers."""

import collections.abc
import random
import typing

import msgspec

from chivespoke import decisions

TICK_SECONDS = 0.25
# Times of the replay are seconds since 1970, as those of outlooks.
BEGIN = 1.7e9

# Returns the jobs in the order in which they are served.
Policy: typing.TypeAlias = collections.abc.Callable[
    [collections.abc.Sequence[decisions.JobOutlook], float], list[str]
]


def make_outlook(
    job: str,
    waits_since: float = BEGIN,
    objective_seconds: float = 10.0,
    path_seconds: float = 4.0,
    work: float = 40.0,
    work_left: float | None = None,
    priority: int = 0,
) -> decisions.JobOutlook:
    """Return the outlook of a job; by default none of its work is done."""
    return decisions.JobOutlook(
        job=job,
        priority=priority,
        waits_since=waits_since,
        objective_seconds=objective_seconds,
        path_seconds=path_seconds,
        work_left=work if work_left is None else work_left,
        total_work=work,
    )


def make_burst(seed: int, jobs: int = 40) -> list[decisions.JobOutlook]:
    """Return jobs of uneven sizes that arrive within some seconds."""
    source = random.Random(seed)
    burst = []
    arrival = BEGIN
    for number in range(jobs):
        arrival += source.expovariate(2.5)
        path = source.uniform(2.0, 8.0)
        burst.append(
            make_outlook(
                f'{number:04}',
                arrival,
                2 * path + 1,
                path,
                source.lognormvariate(4.8, 0.8),
            )
        )
    return burst


def replay(
    burst: collections.abc.Sequence[decisions.JobOutlook],
    throughput: float,
    policy: Policy,
    seconds: float = 120.0,
) -> dict[str, float]:
    """Return the time in seconds that each job took.

    In each tick the jobs get cores in the order of the policy. A job uses at
    most the cores that complete its work along its path.
    """
    left = {outlook.job: outlook.work_left for outlook in burst}
    taken: dict[str, float] = {}
    for tick in range(int(seconds / TICK_SECONDS)):
        now = BEGIN + tick * TICK_SECONDS
        active = [
            msgspec.structs.replace(
                outlook,
                work_left=left[outlook.job],
                path_seconds=outlook.path_seconds
                * left[outlook.job]
                / outlook.total_work,
            )
            for outlook in burst
            if outlook.waits_since <= now and outlook.job not in taken
        ]
        by_name = {outlook.job: outlook for outlook in active}
        cores = throughput
        for job in policy(active, now):
            outlook = by_name[job]
            share = min(cores, outlook.total_work / _find_path(burst, job))
            cores -= share
            left[job] -= share * TICK_SECONDS
            if left[job] <= 0:
                taken[job] = now + TICK_SECONDS - outlook.waits_since
    return taken


def _find_path(
    burst: collections.abc.Sequence[decisions.JobOutlook], job: str
) -> float:
    return next(
        outlook.path_seconds for outlook in burst if outlook.job == job
    )
