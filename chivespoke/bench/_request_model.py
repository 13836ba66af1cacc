"""A model of entries and sidecars with a faulty network between them.

Registry, dispatchers, home keeper, executor and key table are the real
ones; the network, the backend servers and the log are fakes that delay,
lose, repeat and reorder as a seed tells.
"""

import asyncio
import collections
import random

from chivespoke import backend_servers
from chivespoke import callers
from chivespoke import clock
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import telemetry

SERVICE = identifiers.ServiceName('counting')
DATA_CENTRE = identifiers.DataCentreName('colombo-1')
SLOTS = 8
QUEUE_LIMIT = 32
# Seconds.
LONGEST_DELAY = 0.002
RUN_SECONDS = 0.002
HEARTBEAT = 0.05
KEY_WINDOW = 3.0
TINY_DELAY = 1e-6
LOSS_SHARE = 0.002
REPEAT_SHARE = 0.01
HANG_SHARE = 0.001
# What only an announcer handles.
IGNORED: tuple[type[entries.Message], ...] = (
    entries.Pulse,
    entries.Welcome,
    backend_servers.LeavingNoted,
    backend_servers.FarewellNoted,
)


class Network:
    """Carry messages between two processes, badly."""

    __slots__ = ('_random', 'is_cut', 'lost', 'repeated')

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        # Pairs of incarnations that cannot reach each other.
        self.is_cut: set[frozenset[str]] = set()
        self.lost = 0
        self.repeated = 0

    def carry(self, link: 'Link', message: entries.Message) -> None:
        """Deliver a message once, twice or never, after a while."""
        copies = 1
        if self._random.random() < LOSS_SHARE:
            copies = 0
            self.lost += 1
        elif self._random.random() < REPEAT_SHARE:
            copies = 2
            self.repeated += 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = self._random.random() * LONGEST_DELAY
            # A connection keeps its order; a second copy comes late.
            at = max(loop.time() + delay, link.busy_until + TINY_DELAY)
            loop.call_at(at, link.deliver, message)
            link.busy_until = max(link.busy_until, at)


class Link(entries.Peer):
    """Be one end's view of the other end."""

    __slots__ = ('_network', '_target', '_sender', 'busy_until')

    def __init__(
        self, network: Network, target: 'Process', sender: 'Process'
    ) -> None:
        super().__init__(target.name, target.incarnation)
        self.busy_until = 0.0
        self._network = network
        self._target = target
        self._sender = sender

    def send(self, message: entries.Message) -> None:
        pair = frozenset((self._target.incarnation, self._sender.incarnation))
        if pair in self._network.is_cut:
            raise errors.RefusedError('send', self.name, 'cut off')
        self._network.carry(self, message)

    def deliver(self, message: entries.Message) -> None:
        """Have the target handle a message, unless it has died."""
        if self._target.is_alive:
            self._target.inbox.put_nowait((self._sender, message))


class Process:
    """Hold one process: its handlers and one task that feeds them."""

    __slots__ = (
        'name',
        'incarnation',
        'network',
        'handlers',
        'inbox',
        'is_alive',
        '_links',
        '_task',
    )

    def __init__(self, name: str, network: Network, number: int) -> None:
        self.name = name
        self.incarnation = identifiers.Incarnation(f'{name}-{number}')
        self.network = network
        self.handlers = entries.Handlers()
        self.inbox: asyncio.Queue[tuple[Process, entries.Message]] = (
            asyncio.Queue()
        )
        self.is_alive = True
        self._links: dict[identifiers.Incarnation, Link] = {}
        self._task = asyncio.get_running_loop().create_task(self._run())

    def link_to(self, other: 'Process') -> Link:
        """Return this process's view of another."""
        link = self._links.get(other.incarnation)
        if link is None:
            link = self._links[other.incarnation] = Link(
                self.network, other, self
            )
        return link

    def kill(self) -> None:
        """End at once: nothing more is sent or handled."""
        self.is_alive = False
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            sender, message = await self.inbox.get()
            await self.handlers.handle(self.link_to(sender), message)


class RunLedger(backend_servers.BackendServer):
    """Run requests for a while; count each target's runs in one ledger."""

    __slots__ = ('runs', 'running', '_random')

    def __init__(self, totals: collections.Counter[str], seed: int) -> None:
        self.runs = totals
        self.running = 0
        self._random = random.Random(seed)

    async def run(
        self, dispatch: backend_servers.Dispatch, timeout: float
    ) -> backend_servers.RunResult:
        self.runs[dispatch.target] += 1
        self.running += 1
        errors.check_invariant(
            self.running <= SLOTS, 'slots not exceeded', 'backend server'
        )
        try:
            async with asyncio.timeout(timeout):
                await self._work()
        except TimeoutError:
            return backend_servers.RunResult(
                backend_servers.Outcome.UNKNOWN, 'timed out'
            )
        finally:
            self.running -= 1
        return backend_servers.RunResult(
            backend_servers.Outcome.ANSWERED,
            status=200,
            body=dispatch.target.encode(),
        )

    async def probe(self) -> backend_servers.ProbeResult:
        return backend_servers.ProbeResult.HEALTHY

    async def _work(self) -> None:
        if self._random.random() < HANG_SHARE:
            await asyncio.Event().wait()
        await asyncio.sleep(self._random.expovariate(1 / RUN_SECONDS))


class SidecarModel:
    """Run a real executor behind the network."""

    __slots__ = ('process', 'executor', 'ledger', 'leaving', '_clock')

    def __init__(
        self,
        process: Process,
        totals: collections.Counter[str],
        time: clock.Clock,
        seed: int,
    ) -> None:
        self.process = process
        self.ledger = RunLedger(totals, seed)
        self.leaving = False
        self._clock = time
        for kind in IGNORED:
            process.handlers.register(kind, _ignore)
        self.executor = backend_servers.Executor(
            self.ledger,
            backend_servers.Slots(SLOTS, QUEUE_LIMIT),
            backend_servers.KeyTable(KEY_WINDOW),
            process.handlers,
            telemetry.Telemetry(),
            time,
        )

    def announce(self, entry: Process) -> None:
        """Send one heartbeat."""
        message = backend_servers.Announcement(
            SERVICE,
            DATA_CENTRE,
            SLOTS,
            QUEUE_LIMIT,
            self.executor.outstanding,
            True,
            self.leaving,
            self.executor.homes_version,
            self._clock.read_monotonic(),
        )
        try:
            self.process.link_to(entry).send(message)
        except errors.RefusedError:
            return

    async def kill(self) -> None:
        """Die with all that is in flight."""
        self.process.kill()
        await self.executor.stop()


async def _ignore(peer: entries.Peer, message: entries.Message) -> None:
    return None


class EntryModel:
    """Run a real registry, home keeper and dispatchers."""

    __slots__ = ('process', 'registry', 'homes', 'plain', 'keyed')

    def __init__(
        self,
        process: Process,
        log: replication.Log,
        committer: replication.GroupCommitter,
        time: clock.Clock,
        limits: backend_servers.HomeLimits,
        seed: int,
    ) -> None:
        self.process = process
        instruments = telemetry.Telemetry()
        handlers = process.handlers
        self.registry = backend_servers.Registry(
            handlers, entries.EntryDirectory(time), instruments, time
        )
        self.homes = backend_servers.HomeManager(
            backend_servers.HomeStreams(log, committer, time),
            self.registry,
            handlers,
            time,
            limits,
        )
        attempts = callers.AttemptRunner(self.registry, time)
        self.plain = callers.Dispatcher(
            attempts,
            self.registry,
            backend_servers.ChoiceOfTwo(time, seed),
            callers.RetryBudget(0.1),
            instruments,
            time,
        )
        self.keyed = callers.KeyedDispatcher(
            attempts, self.homes, self.registry, time
        )
