"""The application object: owns components and their life cycle."""

import abc
import asyncio
import collections.abc
import signal

from chivespoke import errors
from chivespoke import logs

LOGGER = logs.make_logger('application')

# A task that still runs so long after its cancellation, in seconds, is
# cancelled again: longer than the clean-up of any task takes.
CANCEL_AGAIN_SECONDS = 1.0


class Component(abc.ABC):
    """Take part in the life cycle of an application."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Acquire what the component needs; on error nothing is held."""

    async def drain(self) -> None:
        """Refuse new work and finish what is in flight."""
        return None

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release everything; may be called once after start."""


class Application:
    """Start components in order; drain and stop them in reverse."""

    __slots__ = ('_components', '_started', '_stopping', '_broken')

    def __init__(
        self, components: collections.abc.Iterable[Component]
    ) -> None:
        self._components = tuple(components)
        self._started: list[Component] = []
        self._stopping = asyncio.Event()
        # The first invariant that a task found broken.
        self._broken: errors.InvariantError | None = None

    @property
    def components(self) -> tuple[Component, ...]:
        """Return every component, in the order in which they start."""
        return self._components

    async def start(self) -> None:
        """Start every component; stop the started ones if one fails."""
        for component in self._components:
            try:
                await component.start()
            except BaseException:
                await self._stop_started()
                raise
            self._started.append(component)

    async def stop(self) -> None:
        """Drain every component, then stop every component."""
        for component in reversed(self._started):
            await component.drain()
        await self._stop_started()

    async def abort(self) -> None:
        """Stop every component without draining it."""
        await self._stop_started()

    def request_stop(self) -> None:
        """Make run return after a graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Start, wait for SIGTERM, SIGINT or request_stop, then stop.

        Raise InvariantError, undrained, once a task found one broken.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.start()
        LOGGER.info('Started.')
        await self._stopping.wait()
        if self._broken is not None:
            # What is left of the state is not to be acted on.
            await self._stop_started()
            raise self._broken
        LOGGER.info('Draining.')
        await self.stop()
        LOGGER.info('Stopped.')

    def _handle_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get('exception')
        if isinstance(error, errors.InvariantError):
            self._broken = self._broken or error
            self.request_stop()
            return
        loop.default_exception_handler(context)

    async def _stop_started(self) -> None:
        while self._started:
            component = self._started.pop()
            try:
                await component.stop()
            except Exception as error:
                LOGGER.error('A component failed to stop.', error=error)


class TaskOwner:
    """Own background tasks, so that none outlives its component."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, coroutine: collections.abc.Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine as a task; a failure is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def cancel(self) -> None:
        """Cancel every task and wait until all have ended."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            _, alive = await asyncio.wait(
                self._tasks, timeout=CANCEL_AGAIN_SECONDS
            )
            if alive:
                # A library may lose a cancellation that comes as a call
                # ends.
                LOGGER.warning(
                    'Tasks outlived their cancellation.',
                    tasks=[repr(task.get_coro()) for task in alive],
                )

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        LOGGER.error('A task failed.', error=repr(error))
        if isinstance(error, errors.InvariantError):
            # Reaches the application, which stops the process.
            task.get_loop().call_exception_handler(
                {'message': 'an invariant is broken', 'exception': error}
            )


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Return whether an event was set within a time in seconds."""
    # asyncio.wait_for of Python 3.11 loses a cancellation that comes in the
    # same turn of the loop as the event.
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
