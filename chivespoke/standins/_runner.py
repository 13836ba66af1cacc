"""A fake of the platform's worker that validates the orders it receives."""

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

# Delay between a stop order and the end of the run.
STOP_DELAY_SECONDS = 0.02
REGISTRATION_INTERVAL_SECONDS = 0.1
# A task with this payload runs until it is stopped.
LONG_RUNNING_PAYLOAD = 'serve'
LONG_RUNNING_SECONDS = 3600.0


class RunnerFaults(msgspec.Struct):
    """Configure the faults that the worker injects."""

    # Number of starts that get no response and take effect after
    # ``late_seconds``.
    late_starts: int = 0
    late_seconds: float = 0.2
    # Number of starts that are refused with status 503, as by an unhealthy
    # worker.
    unhealthy_starts: int = 0
    # Whether every task fails at its end.
    fails_all: bool = False


class Ran(msgspec.Struct, frozen=True):
    """Describe a started run."""

    task: str
    run: int
    checkpoint: str


class _Run:
    """Hold a run in progress and the timer that ends it."""

    __slots__ = ('number', 'ends', 'checkpoint')

    def __init__(
        self, number: int, ends: asyncio.TimerHandle, checkpoint: str
    ) -> None:
        self.number = number
        self.ends = ends
        self.checkpoint = checkpoint


class PlatformRunner(chivespoke_web.RouteProvider, application.Component):
    """Run tasks for a fixed time, under a lease and fencing tokens."""

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
        # If set, a start needs a valid ticket of this advisor.
        self.advisor: _advisor.PlatformAdvisor | None = None
        self.began: list[Ran] = []
        # Last requested percentage of the full speed, by task.
        self.paces: dict[str, int] = {}
        self.draining = False
        self.address = ''
        # Sequence number of the last ended run.
        self.number = 0
        self._service = service
        self._zone = zone
        # Run time of a task.
        self._seconds = seconds
        self._running: dict[str, _Run] = {}
        # Rows of ``ended_runs`` that are not acknowledged yet.
        self._ended: list[list[typing.Any]] = []
        # Highest identifier of a run that was stopped or ended, by task.
        self._over: dict[str, int] = {}
        # Highest fencing token seen.
        self._fence = 0
        # Clock reading in milliseconds at which the lease expires.
        self._until = 0.0
        # Incarnation; a crash increases it.
        self._born = 1
        self._sequence = 0
        self._tasks = application.TaskOwner()
        self._changed = asyncio.Event()
        self._ledger = ledger
        self._control = ''

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/run-start', self._handle_start),
            web.post('/run-stop', self._handle_stop),
            web.post('/hold', self._renew_lease),
            web.post('/pace', self._set_pace),
        )

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    def register_at(self, control: str) -> None:
        """Start to register at a control address periodically."""
        self._control = control
        self._tasks.spawn(self._register_periodically())

    async def start(self) -> None:
        self._tasks.spawn(self._enforce_lease())

    async def stop(self) -> None:
        await self._tasks.cancel()

    @property
    def running(self) -> frozenset[str]:
        """Return the running tasks."""
        return frozenset(self._running)

    def crash(self) -> None:
        """Lose all state and restart as a new incarnation of the worker."""
        for task, run in tuple(self._running.items()):
            run.ends.cancel()
            self._ledger.record_end(task)
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

    async def _register_periodically(self) -> None:
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
                    # The control address may not listen yet; retried later.
                    pass
                await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)

    async def _enforce_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self._read_clock() > self._until:
                for task in tuple(self._running):
                    self._end_run(task, 'lapsed')

    async def _handle_start(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if self.faults.unhealthy_starts:
            self.faults.unhealthy_starts -= 1
            return web.Response(status=503)
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_seconds, self._start_run, body
            )
            await asyncio.sleep(3600)
        reason = self._start_run(body)
        return self._make_response({'reason': reason} if reason else {})

    def _start_run(self, body: dict[str, typing.Any]) -> str:
        task, number = body['task'], body['run_id']
        if body['fencing_token'] < self._fence:
            return 'fence'
        self._fence = body['fencing_token']
        current = self._running.get(task)
        if current is not None and current.number == number:
            return ''
        if number <= self._over.get(task, 0) or current is not None:
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
            LONG_RUNNING_SECONDS
            if body['spec'] == LONG_RUNNING_PAYLOAD
            else self._seconds,
            self._end_run,
            task,
            cause,
        )
        self._running[task] = _Run(number, ends, checkpoint)
        self.began.append(Ran(task, number, checkpoint))
        self._ledger.record_start(task)
        return ''

    def _end_run(self, task: str, cause: str) -> None:
        run = self._running.pop(task, None)
        if run is None:
            return
        run.ends.cancel()
        self._over[task] = max(self._over.get(task, 0), run.number)
        self.number += 1
        self._ended.append(
            [self.number, task, run.number, cause, run.checkpoint]
        )
        self._ledger.record_end(task)
        self._changed.set()

    async def _handle_stop(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if body['fencing_token'] < self._fence:
            return self._make_response({'reason': 'fence'})
        self._fence = body['fencing_token']
        task, number = body['task'], body['run_id']
        self._over[task] = max(self._over.get(task, 0), number)
        current = self._running.get(task)
        if current is not None and current.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_DELAY_SECONDS, self._end_run, task, 'stopped'
            )
        return self._make_response({})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if body['fencing_token'] < self._fence:
            return self._make_response({'reason': 'fence'})
        self._fence = body['fencing_token']
        self._until = max(self._until, body.get('deadline_ms', 0))
        cursor = body['ack_cursor']
        for row in self._ended:
            if row[0] <= cursor and row[3] == 'done':
                self._ledger.record_completion(row[1])
        self._ended = [row for row in self._ended if row[0] > cursor]
        self._changed.clear()
        if not self._ended and body.get('wait_ms', 0):
            await application.wait_for_event(
                self._changed, body['wait_ms'] / 1000
            )
        return self._make_response(
            {
                'running': [
                    [task, run.number, run.checkpoint, 50, 100]
                    for task, run in self._running.items()
                ],
                'ended_runs': self._ended,
                'born': self._born,
            }
        )

    async def _set_pace(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        self.paces[body['task']] = body['percent']
        return self._make_response({})

    def _make_response(self, body: dict[str, typing.Any]) -> web.Response:
        return web.Response(
            status=409 if body.get('reason') else 200,
            body=msgspec.json.encode({'clock_ms': self._read_clock(), **body}),
            content_type='application/json',
        )


class RunLedger:
    """Detect tasks that run twice, across all workers."""

    __slots__ = ('broken', '_running', '_done')

    def __init__(self) -> None:
        self.broken: list[str] = []
        self._running: set[str] = set()
        # Tasks whose completion was acknowledged.
        self._done: set[str] = set()

    def record_start(self, task: str) -> None:
        """Record that a run of a task has started."""
        if task in self._running:
            self.broken.append(f'{task} has two concurrent runs')
        if task in self._done:
            self.broken.append(
                f'{task} started again after its completion was acknowledged'
            )
        self._running.add(task)

    def record_end(self, task: str) -> None:
        """Record that the run of a task has ended."""
        self._running.discard(task)

    def record_completion(self, task: str) -> None:
        """Record that the completion of a task was acknowledged."""
        self._done.add(task)
