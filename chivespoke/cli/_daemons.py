"""Commands that run the daemons."""

import asyncio
import pathlib
import typing

import cyclopts

from chivespoke import clock
from chivespoke import daemons
from chivespoke import logs
from chivespoke import settings

SettingsPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name='--settings')
]


def run_entry(*, settings_path: SettingsPath) -> None:
    """Run an entry until it is told to stop."""
    found = settings.read_settings(settings_path, settings.EntrySettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(daemons.Entry(found, clock.SystemClock()).run())


def run_sidecar(*, settings_path: SettingsPath) -> None:
    """Run the process beside a backend server until told to stop."""
    found = settings.read_settings(settings_path, settings.SidecarSettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(daemons.Sidecar(found, clock.SystemClock()).run())
