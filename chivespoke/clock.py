"""Clocks: the system clock, and a manual clock for tests."""

import abc
import asyncio
import heapq
import time

import msgspec

# Largest relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT_SHARE = 0.001


class Clock(abc.ABC):
    """Read the time and sleep."""

    @abc.abstractmethod
    def read_monotonic(self) -> float:
        """Return monotonic seconds, including time in suspension."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the Unix epoch; may jump."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds of this clock."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    __slots__ = ()

    def read_monotonic(self) -> float:
        # The boot-time clock also counts while the machine is suspended, so
        # that a start permit expires during a suspension.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """Advance only when a test calls ``advance``."""

    __slots__ = ('_now', '_wall_offset', '_sleepers', '_sequence')

    def __init__(
        self, start: float = 1000.0, wall_offset: float = 1.7e9
    ) -> None:
        self._now = start
        self._wall_offset = wall_offset
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._sequence = 0

    def read_monotonic(self) -> float:
        return self._now

    def read_wall(self) -> float:
        return self._now + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self._sequence += 1
        wake_at = self._now + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (wake_at, self._sequence, future))
        await future

    @property
    def is_awaited(self) -> bool:
        """Return whether anything sleeps by this clock."""
        return bool(self._sleepers)

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake the sleepers that are due."""
        self._now += seconds
        while self._sleepers and self._sleepers[0][0] <= self._now:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)


class ClockReading(msgspec.Struct, frozen=True):
    """Hold a reading of another process's clock and when it came."""

    reading: float
    # Monotonic seconds of this process.
    received_at: float

    def compute_lower_bound(self, time: float) -> float:
        """Return a lower bound of that clock at a local time."""
        elapsed = time - self.received_at
        rate = (
            1 - MAX_CLOCK_DRIFT_SHARE
            if elapsed >= 0
            else 1 + MAX_CLOCK_DRIFT_SHARE
        )
        return self.reading + elapsed * rate
