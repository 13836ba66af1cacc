"""A small fake of the platform's worker, which checks what it is told."""

import asyncio
import collections.abc
import typing

import aiohttp
from aiohttp import web
import msgspec

from chivespoke import addresses
from chivespoke import application
from chivespoke.standins import _advisor
from chivespoke import web as chivespoke_web

STOP_SECONDS = 0.02
REGISTER_SECONDS = 0.1
# A task with this payload runs until it is stopped.
LASTING_PAYLOAD = 'serve'
LASTING_SECONDS = 3600.0


class RunnerFaults(msgspec.Struct):
    """Say how the worker misbehaves."""

    # Starts that get no answer and are carried out later.
    late_starts: int = 0
    late_seconds: float = 0.2
    # Starts that are refused as unhealthy.
    unhealthy_starts: int = 0
    # Every task fails at its end.
    fails_all: bool = False


class Ran(msgspec.Struct, frozen=True):
    """Record that a run began."""

    task: str
    run: int
    checkpoint: str


class _Run:
    __slots__ = ('number', 'ends', 'checkpoint')

    def __init__(
        self, number: int, ends: asyncio.TimerHandle, checkpoint: str
    ) -> None:
        self.number = number
        self.ends = ends
        self.checkpoint = checkpoint


class PlatformRunner(chivespoke_web.RouteProvider, application.Component):
    """Run tasks for a set time, under leases and fences."""

    __slots__ = (
        'identifier',
        'faults',
        'advisor',
        'began',
        'paces',
        '_service',
        '_zone',
        '_seconds',
        '_running',
        '_ended',
        '_over',
        '_fence',
        '_until',
        '_born',
        '_sequence',
        '_tasks',
        '_changed',
        '_ledger',
        '_control',
        'address',
        'draining',
        'number',
    )

    def __init__(
        self,
        identifier: str,
        service: str,
        zone: str,
        seconds: float,
        ledger: 'RunLedger',
    ) -> None:
        self.identifier = identifier
        self.faults = RunnerFaults()
        # Starts need its tickets, if there is one.
        self.advisor: _advisor.PlatformAdvisor | None = None
        self.began: list[Ran] = []
        # Percent of full speed last set, by task.
        self.paces: dict[str, int] = {}
        self.draining = False
        self.address = ''
        self.number = 0
        self._service = service
        self._zone = zone
        # How long each task takes.
        self._seconds = seconds
        self._running: dict[str, _Run] = {}
        self._ended: list[list[typing.Any]] = []
        # Highest run that was stopped or ended here, by task.
        self._over: dict[str, int] = {}
        self._fence = 0
        self._until = 0.0
        self._born = 1
        self._sequence = 0
        self._tasks = application.TaskOwner()
        self._changed = asyncio.Event()
        self._ledger = ledger
        self._control = ''

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/run-start', self._start),
            web.post('/run-stop', self._stop),
            web.post('/hold', self._hold),
            web.post('/pace', self._pace),
        )

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    def register_at(self, control: str) -> None:
        """Report to a control address from now on."""
        self._control = control
        self._tasks.spawn(self._keep_registering())

    async def start(self) -> None:
        self._tasks.spawn(self._watch_leases())

    async def stop(self) -> None:
        await self._tasks.cancel()

    @property
    def running(self) -> frozenset[str]:
        """Return the tasks that run now."""
        return frozenset(self._running)

    def crash(self) -> None:
        """Lose everything and begin a new life under the same identifier."""
        for task, run in tuple(self._running.items()):
            run.ends.cancel()
            self._ledger.note_end(task)
        self._running.clear()
        self._ended.clear()
        self._over.clear()
        self._fence = 0
        self._until = 0.0
        self.number = 0
        self._sequence = 0
        self._born += 1

    def _read_clock(self) -> int:
        return int(asyncio.get_running_loop().time() * 1000)

    async def _keep_registering(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                self._sequence += 1
                body = {
                    'service': self._service,
                    'address': self.address,
                    'zone': self._zone,
                    'version': 'v1',
                    'slots': 8,
                    'state': 'draining' if self.draining else 'ready',
                    'capacity': {'cpu': 8000, 'mem_mb': 32000, 'gpu': 0},
                    'labels': ['a', 'r1-1'],
                    'sequence': self._sequence,
                    'born': self._born,
                }
                url = f'http://{self._control}/instances/{self.identifier}'
                try:
                    async with session.put(url, json=body):
                        pass
                except aiohttp.ClientError:
                    # Nobody there yet; the next report may find somebody.
                    pass
                await asyncio.sleep(REGISTER_SECONDS)

    async def _watch_leases(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self._read_clock() > self._until:
                for task in tuple(self._running):
                    self._end(task, 'lapsed')

    async def _start(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if self.faults.unhealthy_starts:
            self.faults.unhealthy_starts -= 1
            return web.Response(status=503)
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_seconds, self._carry_out, body
            )
            await asyncio.sleep(3600)
        reason = self._carry_out(body)
        return self._answer({'reason': reason} if reason else {})

    def _carry_out(self, body: dict[str, typing.Any]) -> str:
        task, number = body['task'], body['run_id']
        if body['fencing_token'] < self._fence:
            return 'fence'
        self._fence = body['fencing_token']
        running = self._running.get(task)
        if running is not None and running.number == number:
            return ''
        if number <= self._over.get(task, 0) or running is not None:
            return 'old'
        if body['deadline_ms'] < self._read_clock():
            return 'late'
        step, _, _ = task.rpartition('.')
        if self.advisor is not None and not self.advisor.is_valid(
            step, self.identifier, body.get('ticket', '')
        ):
            return 'ticket'
        self._until = max(self._until, body['deadline_ms'])
        checkpoint = body.get('checkpoint', '')
        cause = 'failed' if self.faults.fails_all else 'done'
        ends = asyncio.get_running_loop().call_later(
            LASTING_SECONDS
            if body['spec'] == LASTING_PAYLOAD
            else self._seconds,
            self._end,
            task,
            cause,
        )
        self._running[task] = _Run(number, ends, checkpoint)
        self.began.append(Ran(task, number, checkpoint))
        self._ledger.note_start(task)
        return ''

    def _end(self, task: str, cause: str) -> None:
        run = self._running.pop(task, None)
        if run is None:
            return
        run.ends.cancel()
        self._over[task] = max(self._over.get(task, 0), run.number)
        self.number += 1
        self._ended.append(
            [self.number, task, run.number, cause, run.checkpoint]
        )
        self._ledger.note_end(task)
        self._changed.set()

    async def _stop(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if body['fencing_token'] < self._fence:
            return self._answer({'reason': 'fence'})
        self._fence = body['fencing_token']
        task, number = body['task'], body['run_id']
        self._over[task] = max(self._over.get(task, 0), number)
        running = self._running.get(task)
        if running is not None and running.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_SECONDS, self._end, task, 'stopped'
            )
        return self._answer({})

    async def _hold(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if body['fencing_token'] < self._fence:
            return self._answer({'reason': 'fence'})
        self._fence = body['fencing_token']
        self._until = max(self._until, body.get('deadline_ms', 0))
        cursor = body['ack_cursor']
        for row in self._ended:
            if row[0] <= cursor and row[3] == 'done':
                self._ledger.note_done(row[1])
        self._ended = [row for row in self._ended if row[0] > cursor]
        self._changed.clear()
        if not self._ended and body.get('wait_ms', 0):
            await application.wait_for_event(
                self._changed, body['wait_ms'] / 1000
            )
        return self._answer(
            {
                'running': [
                    [task, run.number, run.checkpoint, 50, 100]
                    for task, run in self._running.items()
                ],
                'ended_runs': self._ended,
                'born': self._born,
            }
        )

    async def _pace(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        self.paces[body['task']] = body['percent']
        return self._answer({})

    def _answer(self, body: dict[str, typing.Any]) -> web.Response:
        return web.Response(
            status=409 if body.get('reason') else 200,
            body=msgspec.json.encode({'clock_ms': self._read_clock(), **body}),
            content_type='application/json',
        )


class RunLedger:
    """Watch all workers for tasks that run twice."""

    __slots__ = ('broken', '_running', '_done')

    def __init__(self) -> None:
        self.broken: list[str] = []
        self._running: set[str] = set()
        # Tasks whose end as done was taken note of.
        self._done: set[str] = set()

    def note_start(self, task: str) -> None:
        """Note that a run of a task begins."""
        if task in self._running:
            self.broken.append(f'{task} runs twice at once')
        if task in self._done:
            self.broken.append(f'{task} starts after it was done')
        self._running.add(task)

    def note_end(self, task: str) -> None:
        """Note that the run of a task is over."""
        self._running.discard(task)

    def note_done(self, task: str) -> None:
        """Note that a task's end as done was acknowledged."""
        self._done.add(task)
