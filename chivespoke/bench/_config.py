"""Measure the configuration: replay, time to in force, cost of a daemon."""

import asyncio
import collections.abc
import pathlib
import statistics
import tempfile
import time
import typing

import aiohttp
import msgspec

from chivespoke.bench import _log
from chivespoke.bench import _processes
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication
from chivespoke import settings
from chivespoke import standins

PEERS = (10, 50, 200)
CHANGES_A_DAY = 7_500
SECONDS_A_DAY = 86_400
# Changes that each measure of time to in force averages over.
CHANGES = 20
# The daemon is measured at this multiple of the day's rate, and the cost at
# the day's rate follows from that and the idle cost.
SPEED_UP = 50
# Seconds that a new entry takes to come to rest.
WARM_UP = 10.0
IN_FORCE_TARGET = 2.0
TRAFFIC_TARGET = 3_000.0
CORE_TARGET = 0.014
# The letter's size, and a number of services that goes with it.
TEAMS = 170
DATA_CENTRES = 12
SERVICES = 300


class InForceTime(msgspec.Struct, frozen=True):
    """Hold seconds from accepted at one peer to in force at all."""

    peers: int
    median: float
    maximum: float
    target: float | None = None
    met: bool | None = None


class DaemonCost(msgspec.Struct, frozen=True):
    """Hold what an entry spends a second for the configuration."""

    changes_a_day: float
    measured: bool
    bytes_per_second: float
    core: float
    memory: float
    traffic_target: float = TRAFFIC_TARGET
    core_target: float = CORE_TARGET
    met: bool | None = None


class ConfigReport(msgspec.Struct, frozen=True):
    """Hold all measures of the configuration."""

    replays: tuple[_log.ReplayTime, ...]
    in_force: tuple[InForceTime, ...]
    costs: tuple[DaemonCost, ...]


def make_document_operations() -> tuple[operators.Operation, ...]:
    """Return a patch that makes a document of the letter's size."""
    entries: list[tuple[str, typing.Any]] = []
    for number in range(DATA_CENTRES):
        region = f'region-{number % 4}'
        entries.append((f'/data_centres/dc-{number}', {'region': region}))
    for number in range(TEAMS):
        quota = [1_000_000, 4_000_000, 500]
        entries.append((f'/teams/team-{number}', {'quota': quota}))
    for number in range(SERVICES):
        service = {
            'team': f'team-{number % TEAMS}',
            # None, so that only the configuration's own cost is measured.
            'replicas': 0,
            'size': [2000, 4096, 0],
            'data_centres': [f'dc-{number % DATA_CENTRES}'],
        }
        entries.append((f'/services/service-{number}', service))
    return tuple(
        operators.Operation(operators.OperationKind.ADD, path, value)
        for path, value in entries
    )


def make_change(number: int) -> operators.Operation:
    """Return an operation as operators send all day."""
    path = f'/services/service-{number % SERVICES}/latency_target'
    value = 10.0 + number % 50
    return operators.Operation(operators.OperationKind.ADD, path, value)


def make_proposal(
    base: int, operations: tuple[operators.Operation, ...]
) -> operators.PatchProposed:
    """Return a proposal on a version."""
    return operators.PatchProposed(
        identifiers.ProposalId(f'{base:016x}'),
        identifiers.Version(base),
        'bench',
        1.7e9,
        operations,
    )


def make_history(count: int) -> list[bytes]:
    """Return the records of a configuration stream."""
    proposals = [make_proposal(0, make_document_operations())]
    proposals += [
        make_proposal(number, (make_change(number),))
        for number in range(1, count)
    ]
    return [operators.encode_proposal(each) for each in proposals]


async def measure_in_force(peers: int) -> InForceTime:
    """Measure peers in this process that follow one log over loopback."""
    clock = clocks.SystemClock()
    server = standins.LogServer(standins.MemoryLog(clock), settings.Address())
    await server.start()
    logs = [
        replication.HttpLog(server.address.format_http()) for _ in range(peers)
    ]
    committers = [
        replication.GroupCommitter(log, clock, identifiers.make_incarnation())
        for log in logs
    ]
    configurations = [
        operators.Configuration(log, committer, clock)
        for log, committer in zip(logs, committers, strict=True)
    ]
    for part in (*logs, *configurations):
        await part.start()
    seconds = []
    try:
        operations = make_document_operations()
        await configurations[0].propose(make_proposal(0, operations))
        for number in range(1, CHANGES + 1):
            seconds.append(await _change(configurations, number))
    finally:
        for stopping in (*configurations, *committers, *logs):
            await stopping.stop()
        await server.stop()
    limit = IN_FORCE_TARGET if peers == max(PEERS) else None
    return InForceTime(
        peers,
        statistics.median(seconds),
        max(seconds),
        limit,
        None if limit is None else max(seconds) <= limit,
    )


async def _change(
    configurations: collections.abc.Sequence[operators.Configuration],
    number: int,
) -> float:
    proposer = configurations[number % len(configurations)]
    await proposer.wait_for_version(identifiers.Version(number), 60.0)
    decision = await proposer.propose(
        make_proposal(number, (make_change(number),))
    )
    began = time.perf_counter()
    await asyncio.gather(
        *(
            each.wait_for_version(decision.version, 60.0)
            for each in configurations
        )
    )
    return time.perf_counter() - began


async def measure_costs(seconds: float) -> tuple[DaemonCost, ...]:
    """Measure an entry as a process, idle and while changes arrive."""
    clock = clocks.SystemClock()
    server = standins.LogServer(standins.MemoryLog(clock), settings.Address())
    await server.start()
    log = replication.HttpLog(server.address.format_http())
    committer = replication.GroupCommitter(
        log, clock, identifiers.make_incarnation()
    )
    configuration = operators.Configuration(log, committer, clock)
    with tempfile.TemporaryDirectory() as folder:
        daemon, url = _make_entry(pathlib.Path(folder), server.address)
        parts = (log, configuration)
        try:
            for part in parts:
                await part.start()
            await configuration.propose(
                make_proposal(0, make_document_operations())
            )
            # As in any stream that is not new; else the entry appends one.
            snapshotter = replication.Snapshotter(
                configuration.follower, committer, clock, SECONDS_A_DAY
            )
            await snapshotter.append_snapshot()
            await daemon.start()
            await daemon.wait_ready(url + '/health')
            await _wait_for_version(url, 1)
            await asyncio.sleep(WARM_UP)
            idle = await daemon.measure(seconds)
            busy = await _measure_changes(daemon, configuration, seconds)
        finally:
            await daemon.stop()
            for part in reversed(parts):
                await part.stop()
            await committer.stop()
            await server.stop()
    traffic = idle.traffic + (busy.traffic - idle.traffic) / SPEED_UP
    core = idle.core + (busy.core - idle.core) / SPEED_UP
    met = traffic <= TRAFFIC_TARGET and core <= CORE_TARGET
    rate = float(CHANGES_A_DAY)
    return (
        DaemonCost(0.0, True, idle.traffic, idle.core, idle.memory),
        DaemonCost(
            rate * SPEED_UP, True, busy.traffic, busy.core, busy.memory
        ),
        DaemonCost(rate, False, traffic, core, idle.memory, met=met),
    )


def _make_entry(
    folder: pathlib.Path, log: settings.Address
) -> tuple[_processes.Daemon, str]:
    port = _processes.find_free_port()
    path = folder / 'entry.yaml'
    path.write_text(
        'name: entry-1\ndata_centre: dc-0\n'
        f'http: {{host: 127.0.0.1, port: {port}}}\n'
        f'platform_log: {{host: {log.host}, port: {log.port}}}\n',
        encoding='utf-8',
    )
    arguments = ('entry', '--settings', str(path))
    daemon = _processes.Daemon('entry-1', arguments, folder / 'entry.log')
    return daemon, f'http://127.0.0.1:{port}'


async def _wait_for_version(url: str, version: int) -> None:
    headers = {operators.VERSION_HEADER: str(version)}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url + '/configuration', headers=headers) as response,
    ):
        response.raise_for_status()


async def _measure_changes(
    daemon: _processes.Daemon,
    configuration: operators.Configuration,
    seconds: float,
) -> _processes.Usage:
    pause = SECONDS_A_DAY / (CHANGES_A_DAY * SPEED_UP)
    measuring = asyncio.ensure_future(daemon.measure(seconds))
    began, number = time.monotonic(), 0
    while not measuring.done():
        version = configuration.version
        await configuration.propose(
            make_proposal(version, (make_change(version),))
        )
        number += 1
        await asyncio.sleep(
            max(began + number * pause - time.monotonic(), 0.0)
        )
    return await measuring


async def measure_config(seconds: float) -> ConfigReport:
    """Measure everything; an entry's cost for the given seconds each."""
    replays = []
    for size in _log.REPLAY_SIZES:
        payloads = _log.make_frames(make_history(size), 1)
        replays.append(
            await _log.measure_replay(
                payloads,
                size,
                operators.ConfigurationFold,
                _log.REPLAY_TARGET if size == 100_000 else None,
            )
        )
    in_force = [await measure_in_force(peers) for peers in PEERS]
    return ConfigReport(
        tuple(replays), tuple(in_force), await measure_costs(seconds)
    )
