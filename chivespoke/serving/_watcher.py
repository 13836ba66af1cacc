"""Reloading the settings file while a daemon runs."""

import asyncio
import pathlib
import signal

from chivespoke import application
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('settings')

# Interval of the checks for changes without a signal: half of the shortest
# time that the platform allows for applying a change.
POLL_SECONDS = 1.0


class SettingsWatcher(application.Component):
    """Reload the settings file on SIGHUP and when it has changed.

    New bounds replace those in the holder, which a sidecar reads for each new
    incarnation of its worker. Other changes, such as addresses or the name,
    need a restart; they are only logged.
    """

    __slots__ = ('_path', '_holder', '_reload_requested', '_tasks')

    def __init__(
        self, path: pathlib.Path, holder: platform.MachineSettingsHolder
    ) -> None:
        self._path = path
        self._holder = holder
        self._reload_requested = asyncio.Event()
        self._tasks = application.TaskOwner()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        self._tasks.spawn_loop(self._watch)

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _watch(self) -> None:
        while True:
            # The file is also checked after each interval without a signal.
            if await application.wait_for_event(
                self._reload_requested, POLL_SECONDS
            ):
                LOGGER.info(
                    'A reload was requested by SIGHUP.', path=str(self._path)
                )
            self._reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Replace the bounds; an invalid file changes nothing."""
        try:
            found = platform.read_machine_settings(self._path)
        except errors.SettingsError as error:
            LOGGER.error(
                'The settings cannot be read; the current ones remain in use.',
                error=error,
            )
            return
        current = self._holder.machine
        if found == current:
            return
        self._holder.machine = platform.replace_bounds(current, found.bounds)
        LOGGER.info(
            'The settings file has changed.',
            bounds_changed=found.bounds != current.bounds,
            needs_restart=found != self._holder.machine,
        )
