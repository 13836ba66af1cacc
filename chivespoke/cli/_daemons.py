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
    daemon_settings = settings.read_settings(
        settings_path, settings.EntrySettings
    )
    logs.configure_logs(daemon_settings.log.format, daemon_settings.log.level)
    asyncio.run(_run_daemon(daemons.Entry, daemon_settings))


def run_sidecar(*, settings_path: SettingsPath) -> None:
    """Run the sidecar of a backend server until it is told to stop."""
    daemon_settings = settings.read_settings(
        settings_path, settings.SidecarSettings
    )
    logs.configure_logs(daemon_settings.log.format, daemon_settings.log.level)
    asyncio.run(_run_daemon(daemons.Sidecar, daemon_settings))


async def _run_daemon(
    make_daemon: collections.abc.Callable[
        [Settings, clock.Clock], application.Application
    ],
    daemon_settings: Settings,
) -> None:
    # Constructed in the running event loop, since components create tasks in
    # their constructors.
    await make_daemon(daemon_settings, clock.SystemClock()).run()
