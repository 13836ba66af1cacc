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
from chivespoke.standins import _run_ledger
from chivespoke.standins import _runner_boot
from chivespoke.standins import _runner_capacity
from chivespoke.standins import _runner_events
from chivespoke.standins import _runner_faults
from chivespoke import web as chivespoke_web

REGISTRATION_INTERVAL_SECONDS = 0.1
# Time after which a registration counts as not acknowledged.
REGISTRATION_TIMEOUT_SECONDS = 1.0
LEASE_CHECK_INTERVAL_SECONDS = 0.01
# A task with this payload runs until it is stopped.
LONG_RUNNING_PAYLOAD = 'serve'
LONG_RUNNING_SECONDS = 3600.0
# A task whose payload is this and a number runs for so many seconds.
TIMED_PAYLOAD_PREFIX = 'seconds '
TARGET_HEADER = 'Chivespoke-Target-Instance'
# Time between the start of a deadly task and the crash.
CRASH_DELAY_SECONDS = 0.01
# Reason within the stand-in for status 421, which has no body.
MISDIRECTED = 'misdirected'

Body = dict[str, typing.Any]


class RunnerRegistration(msgspec.Struct, frozen=True):
    """Hold a registration, which may be sent late or more than once."""

    identifier: str
    body: Body


class PlatformRunner(chivespoke_web.RouteProvider, application.Component):
    """Run tasks for a fixed time, under a lease and fencing tokens."""

    __slots__ = (
        'faults',
        'capacity',
        'advisor',
        'starts',
        'began',
        'events',
        'crashes',
        'refusals',
        'paces',
        'address',
        'draining',
        'seconds',
        '_service',
        '_zone',
        '_boot',
        '_returned',
        '_tasks',
        '_ledger',
        '_control',
        '_session',
    )

    def __init__(
        self,
        identifier: str,
        service: str,
        zone: str,
        seconds: float,
        ledger: _run_ledger.RunLedger,
        born_ms: int = 1,
    ) -> None:
        self.faults = _runner_faults.RunnerFaults()
        self.capacity = _runner_capacity.RunnerCapacity()
        # If set, a start needs a valid ticket of this advisor.
        self.advisor: _advisor.PlatformAdvisor | None = None
        # Number of calls to start a run.
        self.starts = 0
        # The started runs of all boots.
        self.began: list[_run_ledger.Ran] = []
        # What all boots have carried out.
        self.events: list[_runner_events.RunnerEvent] = []
        # Deadly tasks whose starts have crashed the worker, in order.
        self.crashes: list[str] = []
        # Reasons of the refused calls, in order.
        self.refusals: list[str] = []
        # Last requested percentage of the full speed, by task.
        self.paces: dict[str, int] = {}
        self.draining = False
        self.address = ''
        # Run time of a task.
        self.seconds = seconds
        self._service = service
        self._zone = zone
        self._ledger = ledger
        self._boot = _runner_boot.RunnerBoot(
            identifier,
            born_ms,
            0.0,
            self.faults,
            self.capacity,
            ledger,
            self.began,
            self.events,
        )
        # Clear while the machine is dark: calls that arrive wait, and the next
        # boot executes them.
        self._returned = asyncio.Event()
        self._returned.set()
        self._tasks = application.TaskOwner()
        self._control = ''
        self._session: aiohttp.ClientSession | None = None

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/run-start', self._handle_start),
            web.post('/run-stop', self._handle_stop),
            web.post('/hold', self._handle_hold),
            web.post('/pace', self._handle_pace),
        )

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    def register_at(self, control: str) -> None:
        """Start to register at a control address periodically."""
        self._control = control
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REGISTRATION_TIMEOUT_SECONDS)
        )
        self._tasks.spawn(self._register_periodically())

    async def start(self) -> None:
        self._tasks.spawn(self._enforce_lease())

    async def stop(self) -> None:
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    @property
    def identifier(self) -> str:
        """Return the identifier of the current boot."""
        return self._boot.identifier

    @property
    def born_ms(self) -> int:
        """Return the start of the current boot, in milliseconds."""
        return self._boot.born_ms

    @property
    def number(self) -> int:
        """Return the number of runs that have ended in the current boot."""
        return self._boot.number

    @property
    def lease_end_ms(self) -> int:
        """Return the clock reading at which the current boot's lease ends."""
        return self._boot.lease_end_ms

    @property
    def polls(self) -> int:
        """Return the number of polls that the current boot has executed."""
        return self._boot.polls

    @property
    def running(self) -> frozenset[str]:
        """Return the running tasks."""
        return self._boot.running

    def read_clock(self) -> int:
        """Return the reading of the current boot's clock in milliseconds."""
        return self._boot.read_clock()

    def crash(self) -> None:
        """Lose all state and restart as a new incarnation of the worker.

        The clock runs on.
        """
        self._replace_boot(
            self.identifier, self.born_ms + 1, self._boot.clock_origin
        )

    def restart(
        self, born_ms: int | None = None, identifier: str | None = None
    ) -> None:
        """Lose all state and start a new boot, whose clock starts at 0.

        The identifier stays the same by default.
        """
        self._replace_boot(
            self.identifier if identifier is None else identifier,
            self.born_ms + 1 if born_ms is None else born_ms,
            asyncio.get_running_loop().time(),
        )

    def exit(self) -> None:
        """Lose all state and break all connections until a restart."""
        self._boot.end()

    def go_dark(self) -> None:
        """Lose all state; the calls from now on wait for the next boot.

        So does a connection whose first packets were dropped while the machine
        was dark.
        """
        self._returned.clear()
        self._boot.end()

    def crash_for(self, seconds: float) -> None:
        """Exit, and restart under another identifier after some seconds."""
        self.exit()
        born_ms = self.born_ms + 1
        asyncio.get_running_loop().call_later(
            seconds, self.restart, born_ms, f'{self.identifier}+'
        )

    def make_registration(self) -> RunnerRegistration:
        """Return the next registration of the current boot."""
        self._boot.sequence += 1
        capacity = self.capacity.current
        return RunnerRegistration(
            self.identifier,
            {
                'service': self._service,
                'address': self.address,
                'zone': self._zone,
                'version': 'v1',
                'slots': 8,
                'state': 'draining' if self.draining else 'ready',
                'capacity': {
                    'cpu': capacity.cpu_millis,
                    'mem_mb': capacity.memory_mb,
                    'gpu': capacity.accelerators,
                },
                'labels': ['a', 'r1-1'],
                'clock_ms': self.read_clock(),
                'sequence': self._boot.sequence,
                'born': self.born_ms,
            },
        )

    async def send_registration(
        self, registration: RunnerRegistration
    ) -> bool:
        """Send a registration; return whether it was acknowledged."""
        return await self._call_control(
            'PUT', registration.identifier, registration.body
        )

    async def deregister(self) -> bool:
        """Send a deregistration; return whether it was acknowledged.

        The worker registers no more and runs on; a test that ends it calls
        exit().
        """
        self.faults.skips_registration = True
        return await self._call_control('DELETE', self.identifier, None)

    def _replace_boot(
        self, identifier: str, born_ms: int, clock_origin: float
    ) -> None:
        self._boot.end()
        self._boot = _runner_boot.RunnerBoot(
            identifier,
            born_ms,
            clock_origin,
            self.faults,
            self.capacity,
            self._ledger,
            self.began,
            self.events,
        )
        self._returned.set()

    async def _register_periodically(self) -> None:
        while True:
            if not (self.faults.skips_registration or self._boot.ended):
                # The control address may not listen yet; retried later.
                await self.send_registration(self.make_registration())
            await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)

    async def _call_control(
        self, method: str, identifier: str, body: Body | None
    ) -> bool:
        assert self._session is not None
        url = f'http://{self._control}/instances/{identifier}'
        try:
            async with self._session.request(
                method, url, json=body
            ) as response:
                return response.ok
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False

    async def _enforce_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
            self._boot.enforce_lease()

    async def _handle_start(self, request: web.Request) -> web.Response:
        self.starts += 1
        if self.faults.use_up('unhealthy_starts'):
            return web.Response(status=503)
        reason = await self._execute(request, 'starts', self._start_run)
        return await self._respond('starts', reason, {})

    async def _handle_stop(self, request: web.Request) -> web.Response:
        reason = await self._execute(
            request, 'stops', lambda body: self._boot.stop_run(body)
        )
        return await self._respond('stops', reason, {})

    async def _handle_hold(self, request: web.Request) -> web.Response:
        if self.faults.is_hold_stalled():
            await withhold_response()
        if self.faults.use_up('slow_holds'):
            await asyncio.sleep(self.faults.slow_seconds)
        reason = await self._execute(
            request, 'holds', lambda body: self._boot.hold(body)
        )
        boot = self._boot
        if reason:
            return await self._respond('holds', reason, {})
        wait_ms = msgspec.json.decode(await request.read()).get('wait_ms', 0)
        boot.changed.clear()
        if wait_ms and not boot.has_ends():
            await application.wait_for_event(boot.changed, wait_ms / 1000)
        if boot.ended:
            await break_connection(request)
        return await self._respond('holds', '', boot.list_runs())

    async def _handle_pace(self, request: web.Request) -> web.Response:
        reason = await self._execute(request, 'paces', self._set_pace)
        return await self._respond('paces', reason, {})

    async def _execute(
        self,
        request: web.Request,
        calls: str,
        execute: collections.abc.Callable[[Body], str],
    ) -> str:
        """Execute a call at once, or late without a response.

        Return the reason of its refusal, or an empty string.
        """
        target = request.headers.get(TARGET_HEADER, self.identifier)
        body = msgspec.json.decode(await request.read())
        await self._returned.wait()
        if self._boot.ended:
            await break_connection(request)
        if self.faults.use_up(f'late_{calls}'):
            asyncio.get_running_loop().call_later(
                self.faults.late_seconds,
                self._execute_if_addressed,
                target,
                calls,
                execute,
                body,
            )
            if self.faults.breaks_late_calls:
                await break_connection(request)
            await withhold_response()
        return self._execute_if_addressed(target, calls, execute, body)

    def _execute_if_addressed(
        self,
        target: str,
        calls: str,
        execute: collections.abc.Callable[[Body], str],
        body: Body,
    ) -> str:
        if self._boot.ended or target != self.identifier:
            return MISDIRECTED
        reason = execute(body)
        self._boot.record_call(calls, body, reason)
        return reason

    def _start_run(self, body: Body) -> str:
        step, _, _ = body['task'].rpartition('.')
        reason = self._boot.start_run(
            body,
            self._find_run_seconds(body['spec']),
            self.advisor is None
            or self.advisor.is_valid(
                step, self.identifier, body.get('ticket', '')
            ),
        )
        if not reason and body['task'] in self.faults.deadly_tasks:
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_SECONDS, self._crash_under, self._boot, body
            )
        return reason

    def _find_run_seconds(self, payload: str) -> float:
        if payload == LONG_RUNNING_PAYLOAD:
            return LONG_RUNNING_SECONDS
        if payload.startswith(TIMED_PAYLOAD_PREFIX):
            return float(payload.removeprefix(TIMED_PAYLOAD_PREFIX))
        return self.seconds

    def _crash_under(self, boot: _runner_boot.RunnerBoot, body: Body) -> None:
        if boot is self._boot and not boot.ended:
            self.crashes.append(body['task'])
            self.crash_for(self.faults.crash_seconds)

    def _set_pace(self, body: Body) -> str:
        if not self._boot.admit(body):
            return 'fence'
        self.paces[body['task']] = body['percent']
        return ''

    async def _respond(
        self, calls: str, reason: str, body: Body
    ) -> web.Response:
        """Return the response to a call, unless it is lost."""
        if self.faults.use_up(f'lost_{calls}'):
            await withhold_response()
        if reason:
            self.refusals.append(reason)
        if reason == MISDIRECTED:
            return web.Response(status=421)
        if reason:
            body = {'reason': reason}
        return web.Response(
            status=409 if reason else 200,
            body=msgspec.json.encode({'clock_ms': self.read_clock(), **body}),
            content_type='application/json',
        )


async def withhold_response() -> typing.NoReturn:
    """Wait until the server stops."""
    while True:
        await asyncio.sleep(3600)


async def break_connection(request: web.Request) -> typing.NoReturn:
    """Break the connection of a request."""
    if request.transport is not None:
        request.transport.abort()
    await withhold_response()
