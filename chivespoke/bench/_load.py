"""Open-loop load over HTTP, and the figures of its latencies."""

import asyncio
import collections
import collections.abc
import random
import time

import aiohttp
import msgspec

OUTCOME = 'Chivespoke-Outcome'
DEADLINE = 'Chivespoke-Deadline-Ms'
DEFAULT_DEADLINE_MS = 10_000
MILLISECONDS = 1000
# Connections that the load may open.
CONNECTIONS = 2000


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold counts, and quantiles of the answered, in seconds."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    answered_per_second: float
    # Answers within the deadline.
    useful_per_second: float
    p50: float
    p99: float
    p999: float


class Recorder:
    """Collect the ends of requests."""

    __slots__ = ('latencies', 'ends', 'begun', 'finished')

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.ends: collections.Counter[str] = collections.Counter()
        self.begun = time.perf_counter()
        self.finished = self.begun

    def note(self, outcome: str, seconds: float) -> None:
        """Take in one end."""
        self.ends[outcome] += 1
        if outcome == 'answered':
            self.latencies.append(seconds)

    def summarise(self, limit: int = DEFAULT_DEADLINE_MS) -> Figures:
        """Return the figures of what was collected."""
        ordered = sorted(self.latencies) or [float('nan')]
        elapsed = max(self.finished - self.begun, 1e-9)
        return Figures(
            sent=sum(self.ends.values()),
            answered=self.ends['answered'],
            not_run=self.ends['not-run'],
            unknown=self.ends['unknown'],
            answered_per_second=self.ends['answered'] / elapsed,
            useful_per_second=sum(
                each <= limit / MILLISECONDS for each in self.latencies
            )
            / elapsed,
            p50=_pick(ordered, 0.5),
            p99=_pick(ordered, 0.99),
            p999=_pick(ordered, 0.999),
        )


def _pick(ordered: collections.abc.Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _send(
    session: aiohttp.ClientSession, url: str, recorder: Recorder, limit: int
) -> None:
    begun = time.perf_counter()
    try:
        async with session.post(
            url, headers={DEADLINE: str(limit)}
        ) as response:
            await response.read()
            # A backend server that is called directly says nothing.
            outcome = response.headers.get(OUTCOME, 'answered')
    except aiohttp.ClientError:
        outcome = 'unknown'
    recorder.note(outcome, time.perf_counter() - begun)


def _open() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=CONNECTIONS)
    )


async def _pace(
    send: collections.abc.Callable[
        [], collections.abc.Coroutine[object, object, None]
    ],
    rate: float,
    seconds: float,
    seed: int,
) -> None:
    """Start requests at random times, whether or not others have ended."""
    randomness = random.Random(seed)
    tasks: set[asyncio.Task[None]] = set()
    begun = time.perf_counter()
    due = 0.0
    while due < seconds:
        wait = due - (time.perf_counter() - begun)
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.get_running_loop().create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        due += randomness.expovariate(rate)
    await asyncio.gather(*tasks)


async def drive(
    url: str,
    rate: float,
    seconds: float,
    seed: int,
    limit: int = DEFAULT_DEADLINE_MS,
) -> Figures:
    """Send requests at a rate and return the figures."""
    recorder = Recorder()
    async with _open() as session:
        await _pace(
            lambda: _send(session, url, recorder, limit), rate, seconds, seed
        )
    recorder.finished = recorder.begun + seconds
    return recorder.summarise(limit)


async def measure_together(
    urls: tuple[str, str],
    rates: tuple[float, float],
    seconds: float,
    seed: int,
) -> tuple[Figures, Figures]:
    """Send to two addresses at the same time, each at its rate."""
    first, second = await asyncio.gather(
        drive(urls[0], rates[0], seconds, seed),
        drive(urls[1], rates[1], seconds, seed + 1),
    )
    return first, second


async def measure_capacity(
    url: str, connections: int, seconds: float
) -> float:
    """Return the answers a second of callers that never pause."""
    recorder = Recorder()

    async def call(session: aiohttp.ClientSession) -> None:
        while time.perf_counter() - recorder.begun < seconds:
            await _send(session, url, recorder, DEFAULT_DEADLINE_MS)

    async with _open() as session:
        await asyncio.gather(*(call(session) for _ in range(connections)))
    recorder.finished = time.perf_counter()
    return recorder.summarise().answered_per_second


async def put(url: str) -> None:
    """Send one PUT request."""
    async with _open() as session, session.put(url) as response:
        await response.read()
