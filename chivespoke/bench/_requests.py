"""A seeded run of many requests over a model that fails all the time."""

import asyncio
import collections
import random
import time

import msgspec

from chivespoke import backend_servers
from chivespoke.bench import _request_model as model
from chivespoke import callers
from chivespoke import clock
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import standins

ENTRIES = 3
SIDECARS = 6
CALLERS = 64
KEYED_SHARE = 0.4
# Share of keyed requests that repeat an earlier key.
REPEAT_SHARE = 0.5
# Keys that may be repeated.
RECENT_KEYS = 200
# Seconds.
DEADLINES = (0.05, 0.3)
CHURN_INTERVAL = 0.4
SILENCE_LIMIT = 0.3
LIMITS = backend_servers.HomeLimits(
    key_retention_seconds=model.KEY_WINDOW,
    lost_timeout_seconds=0.5,
    tick_seconds=0.05,
    max_deadline_seconds=max(DEADLINES),
    clock_margin_seconds=0.1,
)
PEER = 'request model'


class RequestsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a run has seen; every invariant held if there is one."""

    seed: int
    requests: int
    keyed: int
    answered: int
    not_run: int
    unknown: int
    runs: int
    killed: int
    left: int
    cut: int
    entries_replaced: int
    home_lists: int
    messages_lost: int
    messages_repeated: int
    seconds: float


class _Run:
    """Own the processes of the model and count what callers are told."""

    def __init__(self, seed: int, count: int) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.left_to_send = count
        self.clock = clock.SystemClock()
        self.network = model.Network(seed)
        self.log = standins.MemoryLog(self.clock)
        self.totals: collections.Counter[str] = collections.Counter()
        self.sidecars: dict[str, model.SidecarModel] = {}
        self.entries: dict[str, model.EntryModel] = {}
        self.committers: dict[str, replication.GroupCommitter] = {}
        self.heard: dict[tuple[str, str], float] = {}
        self.ends: collections.Counter[str] = collections.Counter()
        self.events: collections.Counter[str] = collections.Counter()
        # Outcomes that the callers of each target were told.
        self.told: dict[str, list[backend_servers.Outcome]] = {}
        self.recent: collections.deque[str] = collections.deque(
            maxlen=RECENT_KEYS
        )
        self.numbers = 0
        self.keyed = 0

    def next_number(self) -> int:
        """Return a number that is used once."""
        self.numbers += 1
        return self.numbers

    def add_sidecar(self, name: str) -> None:
        """Start a sidecar, perhaps the next life of one."""
        number = self.next_number()
        process = model.Process(name, self.network, number)
        self.sidecars[name] = model.SidecarModel(
            process, self.totals, self.clock, self.seed + number
        )

    async def add_entry(self, name: str) -> None:
        """Start an entry, perhaps the next life of one."""
        number = self.next_number()
        process = model.Process(name, self.network, number)
        committer = replication.GroupCommitter(
            self.log, self.clock, process.incarnation, seed=number
        )
        entry = model.EntryModel(
            process, self.log, committer, self.clock, LIMITS, self.seed
        )
        await entry.homes.start()
        self.entries[name] = entry
        self.committers[name] = committer

    async def stop_entry(self, name: str) -> None:
        """End an entry; what it had in flight is unknown to its callers."""
        entry = self.entries.pop(name)
        entry.process.kill()
        await entry.homes.stop()
        await entry.registry.stop()
        await self.committers.pop(name).stop()

    async def beat(self) -> None:
        """Announce every sidecar, and report the silent ones."""
        while True:
            for sidecar in tuple(self.sidecars.values()):
                for entry in tuple(self.entries.values()):
                    sidecar.announce(entry.process)
            self._report_silent()
            await asyncio.sleep(model.HEARTBEAT)

    def _report_silent(self) -> None:
        oldest = self.clock.read_monotonic() - SILENCE_LIMIT
        for entry in tuple(self.entries.values()):
            for server in entry.registry.list_all():
                if server.last_heartbeat_at < oldest:
                    entry.process.handlers.report_loss(server.peer)

    async def churn(self) -> None:
        """Break something, again and again."""
        steps = (self._kill, self._leave, self._cut, self._replace_entry)
        while True:
            await asyncio.sleep(CHURN_INTERVAL)
            await self.random.choice(steps)()

    async def _kill(self) -> None:
        name = self.random.choice(tuple(self.sidecars))
        self.events['killed'] += 1
        await self.sidecars.pop(name).kill()
        await asyncio.sleep(self.random.random() * SILENCE_LIMIT)
        self.add_sidecar(name)

    async def _leave(self) -> None:
        name = self.random.choice(tuple(self.sidecars))
        self.events['left'] += 1
        sidecar = self.sidecars[name]
        sidecar.leaving = True
        sidecar.executor.refusal_cause = 'leaving'
        await asyncio.sleep(2 * model.HEARTBEAT)
        await sidecar.executor.drain()
        del self.sidecars[name]
        self._say_farewell(sidecar)
        # Time for its last messages on the network.
        await asyncio.sleep(2 * model.HEARTBEAT)
        await sidecar.kill()
        self.add_sidecar(name)

    def _say_farewell(self, sidecar: model.SidecarModel) -> None:
        keys = sidecar.executor.keys.list_completed(
            self.clock.read_monotonic()
        )
        message = backend_servers.Farewell(keys, True, len(keys))
        for entry in self.entries.values():
            try:
                sidecar.process.link_to(entry.process).send(message)
            except errors.RefusedError:
                continue

    async def _cut(self) -> None:
        self.events['cut'] += 1
        entry = self.random.choice(tuple(self.entries.values()))
        sidecar = self.random.choice(tuple(self.sidecars.values()))
        pair = frozenset(
            (entry.process.incarnation, sidecar.process.incarnation)
        )
        self.network.is_cut.add(pair)
        await asyncio.sleep(self.random.random() * 3 * SILENCE_LIMIT)
        self.network.is_cut.discard(pair)

    async def _replace_entry(self) -> None:
        name = self.random.choice(tuple(self.entries))
        self.events['entries'] += 1
        await self.stop_entry(name)
        await self.add_entry(name)

    async def call(self) -> None:
        """Send requests until enough were sent."""
        while self.left_to_send > 0:
            self.left_to_send -= 1
            request = self._make_request()
            name = self.random.choice(tuple(self.entries))
            entry = self.entries[name]
            if request.caller.key:
                self.keyed += 1
                reply = await entry.keyed.dispatch(request)
            else:
                reply = await entry.plain.dispatch(request)
            self._note(request, reply)
            await asyncio.sleep(0)

    def _make_request(self) -> callers.CallerRequest:
        number = self.next_number()
        key = ''
        target = f'/r/{number}'
        if self.random.random() < KEYED_SHARE:
            key = self._pick_key(number)
            target = f'/k/{key}'
        kind = self.random.choice(tuple(backend_servers.RequestClass))
        deadline = self.random.choice(DEADLINES)
        return callers.CallerRequest(
            number,
            model.SERVICE,
            self.random.choice(('GET', 'POST')),
            target,
            (),
            b'',
            callers.CallerHeaders('shop', kind, deadline, key),
            self.clock.read_monotonic() + deadline,
        )

    def _pick_key(self, number: int) -> str:
        if self.recent and self.random.random() < REPEAT_SHARE:
            return self.random.choice(self.recent)
        key = f'key-{number}'
        self.recent.append(key)
        return key

    def _note(
        self, request: callers.CallerRequest, reply: backend_servers.Reply
    ) -> None:
        target = request.target
        self.ends[reply.outcome.value] += 1
        self.told.setdefault(target, []).append(reply.outcome)
        if reply.outcome is backend_servers.Outcome.ANSWERED:
            errors.check_invariant(
                reply.body == target.encode(), 'own answer', PEER, target
            )
            errors.check_invariant(
                self.totals[target] >= 1, 'answered means run', PEER, target
            )
        may_repeat = request.method == 'GET' and not request.caller.key
        errors.check_invariant(
            may_repeat or self.totals[target] <= 1, 'one run', PEER, target
        )

    def check_ends(self) -> None:
        """Check what only shows when nothing is in flight any more."""
        for target, outcomes in self.told.items():
            not_run = set(outcomes) == {backend_servers.Outcome.NOT_RUN}
            errors.check_invariant(
                not not_run or self.totals[target] == 0,
                'not run means not run',
                PEER,
                target,
            )
            errors.check_invariant(
                not target.startswith('/k/') or self.totals[target] <= 1,
                'one run for each key',
                PEER,
                target,
            )


async def _run(seed: int, count: int) -> RequestsReport:
    run = _Run(seed, count)
    begun = time.monotonic()
    for number in range(ENTRIES):
        await run.add_entry(f'entry-{number}')
    for number in range(SIDECARS):
        run.add_sidecar(f'server-{number}')
    loop = asyncio.get_running_loop()
    background = [loop.create_task(run.beat())]
    # The first home list.
    await asyncio.sleep(1.0)
    background.append(loop.create_task(run.churn()))
    await asyncio.gather(*(run.call() for _ in range(CALLERS)))
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    # What was still on its way may run now, and must not.
    await asyncio.sleep(max(DEADLINES))
    run.check_ends()
    service = identifiers.ServiceName(model.SERVICE)
    lists = max(
        entry.homes.read_version(service) for entry in run.entries.values()
    )
    for name in tuple(run.entries):
        await run.stop_entry(name)
    for sidecar in run.sidecars.values():
        await sidecar.kill()
    return _report(run, count, lists, time.monotonic() - begun)


def _report(
    run: _Run, count: int, lists: int, seconds: float
) -> RequestsReport:
    errors.check_invariant(
        sum(run.ends.values()) == count, 'each request ends once', PEER
    )
    return RequestsReport(
        seed=run.seed,
        requests=count,
        keyed=run.keyed,
        answered=run.ends['answered'],
        not_run=run.ends['not-run'],
        unknown=run.ends['unknown'],
        runs=sum(run.totals.values()),
        killed=run.events['killed'],
        left=run.events['left'],
        cut=run.events['cut'],
        entries_replaced=run.events['entries'],
        home_lists=lists,
        messages_lost=run.network.lost,
        messages_repeated=run.network.repeated,
        seconds=seconds,
    )


def run_requests(seed: int, count: int) -> RequestsReport:
    """Run the model; raise InvariantError when an invariant breaks."""
    return asyncio.run(_run(seed, count))
