"""Applications: start, drain and stop their components."""

import abc
import asyncio
import collections.abc
import signal
import typing

from chivespoke import errors
from chivespoke import logs

LOGGER = logs.make_logger('application')
LoopArguments = typing.ParamSpec('LoopArguments')

# A task that still runs this long after its cancellation is cancelled again.
# The clean-up of every task takes less.
CANCEL_AGAIN_SECONDS = 1.0
# Pause before a loop that failed is started again: short enough for leases to
# be renewed in time, long enough not to use up the processor.
LOOP_RESTART_SECONDS = 0.2


class Component(abc.ABC):
    """Take part in the life cycle of an application."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Acquire all resources; after an error, hold none."""

    async def drain(self) -> None:
        """Refuse new work and finish the work in flight."""
        return None

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release all resources; called at most once after start."""


class Application:
    """Start components in order; drain and stop them in reverse."""

    __slots__ = (
        '_components',
        '_started',
        '_stop_requested',
        '_invariant_error',
    )

    def __init__(
        self, components: collections.abc.Iterable[Component]
    ) -> None:
        self._components = tuple(components)
        self._started: list[Component] = []
        self._stop_requested = asyncio.Event()
        # The first InvariantError that a task raised.
        self._invariant_error: errors.InvariantError | None = None

    @property
    def components(self) -> tuple[Component, ...]:
        """Return all components in start order."""
        return self._components

    async def start(self) -> None:
        """Start all components; if one fails, stop the started ones."""
        for component in self._components:
            try:
                await component.start()
            except BaseException:
                await self._stop_started()
                raise
            self._started.append(component)

    async def stop(self) -> None:
        """Drain all components, then stop all, in reverse start order."""
        for component in reversed(self._started):
            await component.drain()
        await self._stop_started()

    async def abort(self) -> None:
        """Stop all components without draining them."""
        await self._stop_started()

    def request_stop(self) -> None:
        """Make ``run`` shut down gracefully and return."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Start, wait for SIGTERM, SIGINT or request_stop, then stop.

        When a task raises InvariantError, stop without draining and raise
        it.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.start()
        LOGGER.info('Started.')
        await self._stop_requested.wait()
        if self._invariant_error is not None:
            # The state is inconsistent, so draining must not act on it.
            await self._stop_started()
            raise self._invariant_error
        LOGGER.info('Draining.')
        await self.stop()
        LOGGER.info('Stopped.')

    def _handle_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get('exception')
        if isinstance(error, errors.InvariantError):
            self._invariant_error = self._invariant_error or error
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
    """Own a component's background tasks and cancel them on stop."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, coroutine: collections.abc.Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine as a task and log its failure."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def spawn_loop(
        self,
        loop: collections.abc.Callable[
            LoopArguments, collections.abc.Coroutine[object, object, None]
        ],
        *arguments: LoopArguments.args,
        **named_arguments: LoopArguments.kwargs,
    ) -> asyncio.Task[None]:
        """Run an endless loop as a task; start it again if it fails.

        An InvariantError is not caught, so that it stops the process.
        """
        return self.spawn(self._run_loop(loop, *arguments, **named_arguments))

    async def _run_loop(
        self,
        loop: collections.abc.Callable[
            LoopArguments, collections.abc.Coroutine[object, object, None]
        ],
        *arguments: LoopArguments.args,
        **named_arguments: LoopArguments.kwargs,
    ) -> None:
        while True:
            try:
                await loop(*arguments, **named_arguments)
            except errors.InvariantError:
                raise
            except Exception as error:
                LOGGER.error(
                    'A loop failed; it is started again.',
                    loop=loop.__qualname__,
                    error=repr(error),
                )
                await asyncio.sleep(LOOP_RESTART_SECONDS)
            else:
                return

    async def cancel(self) -> None:
        """Cancel every task and wait until all have ended."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            _, running = await asyncio.wait(
                self._tasks, timeout=CANCEL_AGAIN_SECONDS
            )
            if running:
                # A library may lose a cancellation that arrives just as one
                # of its calls ends.
                LOGGER.warning(
                    'Tasks still run after cancellation.',
                    tasks=[repr(task.get_coro()) for task in running],
                )

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        LOGGER.error('A task failed.', error=repr(error))
        if isinstance(error, errors.InvariantError):
            # Application.run handles the error and stops the process.
            task.get_loop().call_exception_handler(
                {'message': 'an invariant was violated', 'exception': error}
            )


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait up to a time in seconds; return whether the event was set."""
    # In Python 3.11, asyncio.wait_for loses a cancellation that arrives in
    # the same iteration of the event loop as the event.
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
