"""Commands that run the daemons."""

import asyncio
import collections.abc
import pathlib
import typing

import cyclopts

from chivespoke import application
from chivespoke import clock
from chivespoke import daemons
from chivespoke import logs
from chivespoke import settings

Settings = typing.TypeVar('Settings', bound=settings.Settings)
SettingsPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name='--settings')
]


def run_entry(*, settings_path: SettingsPath) -> None:
    """Run an entry until it is told to stop."""
    found = settings.read_settings(settings_path, settings.EntrySettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(_run(daemons.Entry, found))


def run_sidecar(*, settings_path: SettingsPath) -> None:
    """Run the process beside a backend server until told to stop."""
    found = settings.read_settings(settings_path, settings.SidecarSettings)
    logs.configure_logs(found.log.format, found.log.level)
    asyncio.run(_run(daemons.Sidecar, found))


async def _run(
    make: collections.abc.Callable[
        [Settings, clock.Clock], application.Application
    ],
    found: Settings,
) -> None:
    # Made within the loop, since parts begin tasks when they are made.
    await make(found, clock.SystemClock()).run()
