"""Commands that run fakes of external systems."""

import asyncio
import collections.abc
import typing

import cyclopts

from chivespoke import application
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import resources
from chivespoke import settings
from chivespoke import standins

STANDINS = cyclopts.App(
    name='standin',
    help='Run a fake of an external system, for tests on one machine.',
    help_epilogue="""\
Examples:

  chivespoke standin log --port 9000

  chivespoke standin worker --entry-port 8080 --count 10
""",
)

Count = typing.Annotated[
    int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
]


@STANDINS.command(name='backend-server')
def run_backend_server(
    *,
    port: int = 0,
    ports: tuple[int, ...] = (),
    slow_first: float = 1.0,
) -> None:
    """Run fake backend servers, the first slowed down by a factor."""
    logs.configure_logs(logs.LogFormat.HUMAN, 'INFO')
    servers = [
        standins.CountingServer(settings.Address(port=server_port))
        for server_port in ports or (port,)
    ]
    servers[0].slowness = slow_first
    asyncio.run(application.Application(servers).run())


@STANDINS.command(name='log')
def run_log(*, port: int = 0, retention: float = 86_400.0) -> None:
    """Run an in-memory fake of the platform's log.

    Parameters
    ----------
    port
        Port to listen on; 0 takes any free port.
    retention
        Seconds for which each record is kept.
    """
    log = standins.MemoryLog(clock.SystemClock(), retention)
    _run_components((standins.LogServer(log, settings.Address(port=port)),))


@STANDINS.command(name='worker')
def run_workers(
    *,
    entry_port: int,
    count: Count = 1,
    data_centres: tuple[str, ...] = ('colombo',),
    processors: Count = 16,
    memory_gib: Count = 60,
    group: str = 'default',
) -> None:
    """Run fake workers that register at an entry on this machine.

    Parameters
    ----------
    entry_port
        HTTP port of the entry.
    count
        Number of workers; three share a rack.
    data_centres
        Data centres to which the workers are assigned in turn.
    processors
        Processors of each worker.
    memory_gib
        Memory of each worker, in GiB.
    group
        Worker group; its shard schedules the workers.
    """
    capacity = resources.Resources(
        processors * resources.MILLICORES_PER_PROCESSOR,
        memory_gib * resources.MIB_PER_GIB,
        0,
    )
    _run_components(
        standins.WorkerServer(
            standins.make_worker_registration(
                f'worker-{index + 1}',
                identifiers.DataCentreName(
                    data_centres[index % len(data_centres)]
                ),
                f'rack-{index // standins.WORKERS_PER_RACK + 1}',
                capacity,
                group,
            ),
            settings.Address(),
            settings.Address(port=entry_port),
            clock.SystemClock(),
        )
        for index in range(count)
    )


def _run_components(
    components: collections.abc.Iterable[application.Component],
) -> None:
    logs.configure_logs(logs.LogFormat.HUMAN, 'INFO')
    asyncio.run(application.Application(components).run())
