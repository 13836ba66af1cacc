"""Clocks, logs and workers that a paused or cut-off process goes through."""

import asyncio

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import workers


class Gate:
    """Hold a process at whatever line it has reached."""

    __slots__ = ('_open',)

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self) -> bool:
        """Tell whether the process runs."""
        return self._open.is_set()

    def close(self) -> None:
        """Pause the process."""
        self._open.clear()

    def open(self) -> None:
        """Let the process run on."""
        self._open.set()

    async def wait(self) -> None:
        """Return once the process runs."""
        await self._open.wait()


class GatedClock(clocks.Clock):
    """Read the common clock; wake up only while the process runs."""

    __slots__ = ('_base', '_gate')

    def __init__(self, base: clocks.Clock, gate: Gate) -> None:
        self._base = base
        self._gate = gate

    def read_monotonic(self) -> float:
        return self._base.read_monotonic()

    def read_wall(self) -> float:
        return self._base.read_wall()

    async def sleep(self, seconds: float) -> None:
        await self._base.sleep(seconds)
        await self._gate.wait()


class SkewedClock(clocks.Clock):
    """Run beside another clock with an offset and a drift."""

    __slots__ = ('_base', '_origin', '_offset', '_rate')

    def __init__(
        self, base: clocks.Clock, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        self._base = base
        self._origin = base.read_monotonic()
        self._offset = offset
        self._rate = 1 + drift

    def read_monotonic(self) -> float:
        elapsed = self._base.read_monotonic() - self._origin
        return self._offset + elapsed * self._rate

    def convert(self, reading: float) -> float:
        """Return the base clock's time of an own reading."""
        return self._origin + (reading - self._offset) / self._rate

    def read_wall(self) -> float:
        return self._base.read_wall()

    async def sleep(self, seconds: float) -> None:
        await self._base.sleep(seconds / self._rate)


class GatedLog(replication.Log):
    """Reach the log; a pause delays what is sent and what comes back."""

    __slots__ = ('_log', '_gate', 'reachable')

    def __init__(self, log: replication.Log, gate: Gate) -> None:
        self._log = log
        self._gate = gate
        self.reachable = True

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        await self._gate.wait()
        self._check()
        offset = await self._log.append(stream, payload)
        await self._gate.wait()
        return offset

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> replication.LogPage:
        await self._gate.wait()
        self._check()
        page = await self._log.read(stream, start, limit, wait_seconds)
        await self._gate.wait()
        return page

    def _check(self) -> None:
        if not self.reachable:
            raise errors.UnavailableError('reach', 'log', 'cut off')


class GatedConnector(workers.WorkerConnector):
    """Make clients whose commands a pause, or a slow network, holds up."""

    __slots__ = ('delay', '_connector', '_clock', '_gate')

    def __init__(
        self,
        connector: workers.WorkerConnector,
        clock: clocks.Clock,
        gate: Gate,
    ) -> None:
        # Seconds that each command is under way.
        self.delay = 0.0
        self._connector = connector
        self._clock = clock
        self._gate = gate

    def connect(self, address: str) -> workers.WorkerClient:
        return GatedClient(self, self._connector.connect(address))

    async def wait(self) -> None:
        """Return once a message is through."""
        if self.delay:
            await self._clock.sleep(self.delay)
        await self._gate.wait()


class GatedClient(workers.WorkerClient):
    """Reach a worker through what holds commands and answers up."""

    __slots__ = ('_way', '_client')

    def __init__(
        self, way: GatedConnector, client: workers.WorkerClient
    ) -> None:
        self._way = way
        self._client = client

    async def renew(self, renewal: workers.LeaseRenewal) -> workers.Heartbeat:
        await self._way.wait()
        answer = await self._client.renew(renewal)
        await self._way.wait()
        return answer

    async def start(self, command: workers.StartCommand) -> workers.TaskStatus:
        await self._way.wait()
        answer = await self._client.start(command)
        await self._way.wait()
        return answer

    async def stop(self, command: workers.StopCommand) -> workers.TaskStatus:
        await self._way.wait()
        answer = await self._client.stop(command)
        await self._way.wait()
        return answer

    async def checkpoint(
        self, command: workers.CheckpointCommand
    ) -> workers.TaskStatus:
        await self._way.wait()
        return await self._client.checkpoint(command)

    async def throttle(
        self, command: workers.ThrottleCommand
    ) -> workers.TaskStatus:
        await self._way.wait()
        return await self._client.throttle(command)
