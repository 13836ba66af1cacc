"""Commands that run the daemons and the stand-ins."""

import asyncio
import pathlib
import typing

import cyclopts

from chivespoke import application
from chivespoke.cli import _application
from chivespoke import clock
from chivespoke import daemons
from chivespoke import logs
from chivespoke import settings
from chivespoke import standins

SettingsPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name='--settings')
]

STANDINS = cyclopts.App(name='standin', help='Run a fake of the outside.')
_application.COMMANDS.command(STANDINS)


@_application.COMMANDS.command(name='entry')
def run_entry(*, settings_path: SettingsPath) -> None:
    """Run an entry until it is told to stop."""
    found = settings.read_settings(settings_path, settings.EntrySettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(daemons.Entry(found, clock.SystemClock()).run())


@_application.COMMANDS.command(name='sidecar')
def run_sidecar(*, settings_path: SettingsPath) -> None:
    """Run the process beside a backend server until told to stop."""
    found = settings.read_settings(settings_path, settings.SidecarSettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(daemons.Sidecar(found, clock.SystemClock()).run())


@STANDINS.command(name='backend-server')
def run_backend_server(*, port: int = 0, count: int = 1) -> None:
    """Run fake backend servers on consecutive ports."""
    logs.configure_logs(logs.LogFormat.HUMAN, 'INFO')
    ports = [port + index if port else 0 for index in range(count)]
    servers = [
        standins.CountingServer(settings.Address(port=each)) for each in ports
    ]
    asyncio.run(application.Application(servers).run())
