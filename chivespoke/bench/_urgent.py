"""Measure the time from an urgent submission to its start, over HTTP."""

import asyncio
import statistics
import time

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import daemons
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import settings
from chivespoke import standins

WORKERS = 20
# Starts a second of one shard at its peak.
RATE = 25.0
# Seconds within which 99 of 100 urgent tasks should start.
TARGET_P99 = 1.3
START_LIMIT = 30.0
SIZE = resources.Resources(200, 256, 0)
DATA_CENTRE = identifiers.DataCentreName('dc1')
PERCENTILES = 100


class UrgentStarts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the seconds from submission to start."""

    submitted: int
    started: int
    rate: float
    p50: float
    p99: float
    longest: float
    target_p99: float = TARGET_P99
    met: bool


def measure_urgent(seconds: float) -> UrgentStarts:
    """Submit at the peak rate for some seconds, all in this process."""
    return asyncio.run(_measure(seconds))


async def _measure(seconds: float) -> UrgentStarts:
    clock = clocks.SystemClock()
    log = standins.LogServer(standins.MemoryLog(clock), settings.Address())
    await log.start()
    entry = daemons.Entry(
        settings.EntrySettings(
            name='entry-1', data_centre=DATA_CENTRE, platform_log=log.address
        ),
        clock,
        balancer_notice_seconds=0.0,
    )
    await entry.start()
    servers = [
        standins.WorkerServer(
            standins.make_worker_registration(
                f'worker-{number}',
                DATA_CENTRE,
                f'rack-{number // standins.WORKERS_PER_RACK}',
                resources.Resources(16_000, 61_440, 0),
            ),
            settings.Address(),
            entry.http.address,
            clock,
        )
        for number in range(WORKERS)
    ]
    fleet = application.Application(servers)
    await fleet.start()
    try:
        for server in servers:
            await server.registered.wait()
        await clock.sleep(2.0)
        url = entry.http.address.format_http()
        submitted = await _submit(url, seconds, clock)
        await _wait_for_starts(servers, len(submitted), clock)
        return _summarise(submitted, servers)
    finally:
        await fleet.stop()
        await entry.stop()
        await log.stop()


async def _submit(
    url: str, seconds: float, clock: clocks.Clock
) -> dict[str, float]:
    """Submit one task after another; return when each was sent."""
    sent: dict[str, float] = {}
    async with aiohttp.ClientSession() as session:
        tasks = application.TaskOwner()
        began = time.monotonic()
        for number in range(int(seconds * RATE)):
            delay = began + number / RATE - time.monotonic()
            await clock.sleep(max(delay, 0.0))
            name = f'urgent-{number}'
            sent[name] = clock.read_monotonic()
            tasks.spawn(_post(session, url, name))
        await clock.sleep(2.0)
        await tasks.cancel()
    return sent


async def _post(session: aiohttp.ClientSession, url: str, name: str) -> None:
    job = scheduling.JobRequest(
        id=name,
        team='billing',
        size=SIZE,
        priority='urgent',
        payload='{"seconds": 2.0}',
    )
    body = msgspec.json.encode(scheduling.JobsRequest((job,)))
    async with session.post(f'{url}/v1/jobs', data=body) as answer:
        answers = msgspec.json.decode(
            await answer.read(), type=list[scheduling.JobAnswer]
        )
    if not answers[0].accepted:
        raise errors.RefusedError('submit', name, answers[0].reason)


async def _wait_for_starts(
    servers: list[standins.WorkerServer], count: int, clock: clocks.Clock
) -> None:
    until = clock.read_monotonic() + START_LIMIT
    while clock.read_monotonic() < until:
        if sum(len(server.agent.history) for server in servers) >= count:
            return
        await clock.sleep(0.1)


def _summarise(
    submitted: dict[str, float], servers: list[standins.WorkerServer]
) -> UrgentStarts:
    started = {
        str(run.command.task_id).rpartition('/')[0]: run.started_at
        for server in servers
        for run in server.agent.history
    }
    waits = [
        started[name] - sent
        for name, sent in submitted.items()
        if name in started
    ]
    cuts = statistics.quantiles(waits, n=PERCENTILES, method='inclusive')
    p99 = cuts[-1]
    return UrgentStarts(
        submitted=len(submitted),
        started=len(waits),
        rate=RATE,
        p50=round(statistics.median(waits), 3),
        p99=round(p99, 3),
        longest=round(max(waits), 3),
        met=p99 <= TARGET_P99 and len(waits) == len(submitted),
    )
