"""Following the settings file while a daemon runs."""

import asyncio
import pathlib
import signal

from chivespoke import application
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('settings')

# The file may change without a signal: it is looked at so often, in seconds,
# half of the shortest time that the platform allows for a change.
LOOK_SECONDS = 1.0


class SettingsWatcher(application.Component):
    """Read the settings file again on SIGHUP and when it has changed.

    New bounds hold at once; what a running process cannot change (its
    addresses, its name) is logged and holds from its next start on.
    """

    __slots__ = ('_path', '_holder', '_wake', '_tasks')

    def __init__(
        self, path: pathlib.Path, holder: platform.MachineSettingsHolder
    ) -> None:
        self._path = path
        self._holder = holder
        self._wake = asyncio.Event()
        self._tasks = application.TaskOwner()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._wake.set)
        self._tasks.spawn(self._watch())

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _watch(self) -> None:
        while True:
            # Without a signal, the file may have changed all the same.
            if await application.wait_for_event(self._wake, LOOK_SECONDS):
                LOGGER.info('Reload was asked for.', path=str(self._path))
            self._wake.clear()
            self.reload()

    def reload(self) -> None:
        """Take over what has changed; an unreadable file changes nothing."""
        try:
            found = platform.read_machine_settings(self._path)
        except errors.SettingsError as error:
            LOGGER.error(
                'The settings cannot be read; the old ones stay in force.',
                error=error,
            )
            return
        current = self._holder.machine
        if found == current:
            return
        self._holder.machine = platform.replace_bounds(current, found.bounds)
        LOGGER.info(
            'The settings have changed.',
            bounds_changed=found.bounds != current.bounds,
            needs_restart=found != self._holder.machine,
        )
