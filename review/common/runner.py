"""A stand-in of a runner, as the pages describe it, and of all its tasks.

Each boot has its own identifier or `born`, clock, lease, fence and lists. The
client's `spec` is JSON: a list with one object for each step, which says how
long the step's tasks work (`ms`) and how many of their first runs fail
(`fail`).
"""

import asyncio
import json
import time

import aiohttp
from aiohttp import web

TARGET_HEADER = 'Chivespoke-Target-Instance'
CHECKPOINT_SECONDS = 1.0
GANG_TIMEOUT_SECONDS = 3.0
MAX_HOLD_MS = 10_000
STOP_SECONDS = 0.1
HEARTBEAT_SECONDS = 1.1


class Run:
    """One run of a task on one boot."""

    def __init__(self, boot, body, job, step_number):
        self.boot = boot
        self.task = body['task']
        self.run = body['run_id']
        self.job = job
        self.step = job['steps'][step_number]
        self.behaviour = json.loads(body['spec'])[step_number]
        self.started_at = time.monotonic()
        self.start_checkpoint = body.get('checkpoint', '')
        self.saved = self.start_checkpoint
        # All checkpoints of the run.
        self.checkpoints = {self.start_checkpoint}
        self.pace = 100
        self.done_ms = int(self.saved[:8], 16) if self.saved else 0
        # A gang works from the moment when all its members are present.
        self.works = not self.step.get('gang')
        self.stopping = False

    @property
    def group(self):
        """Return the key of the gang that the run is a member of."""
        return self.task.rpartition('.')[0], self.run

    def advance(self, seconds):
        """Work for some seconds; return the cause of the end, if any."""
        waited = time.monotonic() - self.started_at
        if not self.works:
            return 'alone' if waited > GANG_TIMEOUT_SECONDS else ''
        before = self.done_ms
        self.done_ms += seconds * 1000 * self.pace / 100
        if self.step.get('checkpointing'):
            interval = CHECKPOINT_SECONDS * 1000
            if int(self.done_ms // interval) > int(before // interval):
                self.save()
        if self.run <= self.behaviour.get('fail', 0) and self.done_ms > 100:
            return 'failed'
        if self.step.get('long_running'):
            return ''
        return 'done' if self.done_ms >= self.behaviour['ms'] else ''

    def save(self):
        """Make a checkpoint."""
        self.saved = f'{int(self.done_ms):08x}{self.task[:8]}'
        self.checkpoints.add(self.saved)

    def list_row(self):
        """Return the row of the list of running tasks."""
        if self.step.get('long_running'):
            percent = min(100, int(self.done_ms / 5))
        else:
            percent = min(99, int(100 * self.done_ms / self.behaviour['ms']))
        if self.step.get('target_ms'):
            measure = int(self.step['target_ms'] / 2)
        else:
            measure = self.step.get('cpu', 0) if self.works else 0
            measure = int(measure * self.pace / 100)
        return [self.task, self.run, self.saved, percent, measure]


class Boot:
    """What a runner knows from its start to its end."""

    def __init__(self, identifier, labels, capacity):
        self.identifier = identifier
        self.labels = labels
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.numbers = 0
        self.running = {}
        self.ends = []
        self.over = {}
        self.up = True

    def read_clock(self):
        """Return the reading of the boot's own clock in milliseconds."""
        return int((time.monotonic() - self.origin) * 1000)


class Runner:
    """A runner: one machine's boots, its calls and its status reports."""

    def __init__(self, world, name, service, zone, labels, capacity):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.boots = 0
        self.state = 'ready'
        self.enforces = True
        # The runner answers each start with this status and does nothing.
        self.refuse_starts = 0
        # Time from the start of a later boot to its first status report.
        self.first_report_seconds = 0.0
        # Number of start calls that get no answer and are held back.
        self.late_starts = 0
        self._held_starts = []
        self.address = ''
        self.control = ''
        self.boot = None
        self._labels = labels
        self._capacity = capacity
        self._site = None
        self._app_runner = None
        self._tasks = []

    async def start(self, host, port, control):
        """Listen, and report to the control address of the machine."""
        self.address, self.control = f'{host}:{port}', control
        self._host, self._port = host, port
        await self.boot_up()
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._beat()),
        ]

    async def boot_up(self, labels=None, keep_identifier=False):
        """Start a boot."""
        if not keep_identifier or self.boot is None:
            self.boots += 1
        self.boot = Boot(
            f'i-{self.name}{self.boots:02x}',
            labels or self._labels,
            dict(self._capacity),
        )
        application = web.Application(middlewares=[self._guard])
        application.router.add_post('/run-start', self._handle_start)
        application.router.add_post('/run-stop', self._handle_stop)
        application.router.add_post('/hold', self._handle_hold)
        application.router.add_post('/pace', self._handle_pace)
        self._app_runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.01
        )
        await self._app_runner.setup()
        self._site = web.TCPSite(
            self._app_runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        self.world.note('runner up', runner=self.boot.identifier)

    @web.middleware
    async def _guard(self, request, handler):
        try:
            return await handler(request)
        except (asyncio.CancelledError, web.HTTPException):
            raise
        except ConnectionError:
            # The sidecar was ended during its call.
            raise
        except Exception as error:
            self.world.errors.append(repr(error))
            raise

    async def crash(self):
        """End the boot at once: all that it ran and knew is gone."""
        boot = self.boot
        boot.up = False
        self.world.note(
            'runner crashes',
            runner=boot.identifier,
            lost=[f'{run.task}#{run.run}' for run in boot.running.values()],
        )
        for run in list(boot.running.values()):
            self.world.record_end(run, 'lost')
            self._break_gang(run)
        boot.running.clear()
        boot.ends.clear()
        await self._app_runner.cleanup()

    async def stop(self):
        """End the stand-in."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.boot.up:
            await self._app_runner.cleanup()

    async def _work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            boot = self.boot
            if boot.up:
                self._enforce_lease(boot)
                for run in list(boot.running.values()):
                    if boot.running.get(run.task) is not run:
                        continue
                    cause = run.advance(now - last)
                    if cause:
                        self._end(boot, run, cause)
            last = now

    async def _beat(self):
        async with aiohttp.ClientSession() as session:
            reported = self.boot
            while True:
                boot = self.boot
                if boot is not reported:
                    await asyncio.sleep(self.first_report_seconds)
                    reported = boot
                if boot.up:
                    await self._report(session, boot)
                await asyncio.sleep(HEARTBEAT_SECONDS if boot.up else 0.02)

    async def _report(self, session, boot):
        boot.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_remaining_ms': 0,
            'capacity': boot.capacity,
            'labels': boot.labels,
            'clock_ms': boot.read_clock(),
            'sequence': boot.sequence,
            'born': boot.born,
        }
        url = f'http://{self.control}/instances/{boot.identifier}'
        try:
            timeout = aiohttp.ClientTimeout(total=1)
            async with session.put(url, json=body, timeout=timeout):
                pass
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass

    def _enforce_lease(self, boot):
        if boot.read_clock() <= boot.until:
            return
        for end in boot.ends:
            end['lapsed'] = True
        for run in list(boot.running.values()):
            self._end(boot, run, 'lapsed')

    def _end(self, boot, run, cause):
        if boot.running.get(run.task) is not run:
            return
        del boot.running[run.task]
        boot.over[run.task] = max(boot.over.get(run.task, 0), run.run)
        boot.numbers += 1
        saved = '' if cause in ('done', 'failed') else run.saved
        boot.ends.append(
            {
                'number': boot.numbers,
                'run': run,
                'row': [boot.numbers, run.task, run.run, cause, saved],
                'cause': cause,
                'lapsed': False,
            }
        )
        self.world.record_end(run, cause)
        if cause == 'done':
            self.world.finish_gang(run)
        else:
            self._break_gang(run)

    def _break_gang(self, run):
        for runner, other in self.world.find_members(run):
            runner._end(other.boot, other, 'broken')

    def end_member(self, run):
        """End a member whose gang is done."""
        self._end(run.boot, run, 'done')

    def _admit(self, boot, body):
        token = body.get('fencing_token', 0)
        if token < boot.fence:
            return False
        boot.fence = token
        return True

    def _extend(self, boot, body):
        until = body.get('deadline_ms', 0)
        until = min(until, boot.read_clock() + MAX_HOLD_MS)
        boot.until = max(boot.until, until)

    def _refuse(self, boot, reason):
        return web.json_response(
            {'clock_ms': boot.read_clock(), 'reason': reason}, status=409
        )

    def _accept(self, boot, **body):
        return web.json_response(
            {'clock_ms': boot.read_clock(), 'born': boot.born, **body}
        )

    def _is_addressed(self, request, boot):
        target = request.headers.get(TARGET_HEADER)
        return target in (None, boot.identifier)

    def carry_out_late(self):
        """Execute the start calls that were held back; return their number."""
        held, self._held_starts = self._held_starts, []
        for target, body in held:
            response = self._execute_start(target, body)
            self.world.note(
                'late start',
                task=body['task'],
                run=body['run_id'],
                status=response.status,
                body=response.text,
            )
        return len(held)

    async def _handle_start(self, request):
        body = await request.json()
        target = request.headers.get(TARGET_HEADER)
        if self.late_starts:
            self.late_starts -= 1
            self._held_starts.append((target, body))
            self.world.note(
                'start unanswered', task=body['task'], run=body['run_id']
            )
            await asyncio.sleep(3600)
        return self._execute_start(target, body)

    def _execute_start(self, target, body):
        boot = self.boot
        if target not in (None, boot.identifier):
            return web.Response(status=421)
        if self.refuse_starts:
            self.world.note(
                'start refused', task=body['task'], status=self.refuse_starts
            )
            return web.Response(status=self.refuse_starts)
        self._enforce_lease(boot)
        if not self._admit(boot, body):
            return self._refuse(boot, 'fence')
        task, number = body['task'], body['run_id']
        current = boot.running.get(task)
        if current is not None and current.run == number:
            self._extend(boot, body)
            return self._accept(boot)
        if current is not None or number <= boot.over.get(task, 0):
            self._extend(boot, body)
            return self._refuse(boot, 'old')
        if body['deadline_ms'] < boot.read_clock():
            return self._refuse(boot, 'late')
        run = self.world.make_run(boot, body)
        if run is None:
            return web.Response(status=400)
        if self.enforces and not self.world.fits(boot, run):
            self._extend(boot, body)
            return self._refuse(boot, 'room')
        self._extend(boot, body)
        self.world.record_start(self, run, body)
        boot.running[task] = run
        self.world.join_gang(self, run)
        return self._accept(boot)

    async def _handle_stop(self, request):
        body = await request.json()
        boot = self.boot
        if not self._is_addressed(request, boot):
            return web.Response(status=421)
        self._enforce_lease(boot)
        if not self._admit(boot, body):
            return self._refuse(boot, 'fence')
        task, number = body['task'], body['run_id']
        boot.over[task] = max(boot.over.get(task, 0), number)
        run = boot.running.get(task)
        if run is not None and run.run <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_SECONDS, self._finish_stop, boot, run
            )
        return self._accept(boot)

    def _finish_stop(self, boot, run):
        if boot.up:
            if run.step.get('checkpointing') and run.works:
                run.save()
            self._end(boot, run, 'stopped')

    async def _handle_pace(self, request):
        body = await request.json()
        boot = self.boot
        if not self._is_addressed(request, boot):
            return web.Response(status=421)
        if not self._admit(boot, body):
            return self._refuse(boot, 'fence')
        run = boot.running.get(body['task'])
        if run is not None and run.run == body['run_id']:
            run.pace = body['percent']
        return self._accept(boot)

    async def _handle_hold(self, request):
        body = await request.json()
        boot = self.boot
        if not self._is_addressed(request, boot):
            return web.Response(status=421)
        self._enforce_lease(boot)
        if not self._admit(boot, body):
            return self._refuse(boot, 'fence')
        self._extend(boot, body)
        cursor = body.get('ack_cursor', 0)
        for end in boot.ends:
            if end['number'] <= cursor:
                self.world.record_acknowledged(end)
        boot.ends = [end for end in boot.ends if end['number'] > cursor]
        limit = time.monotonic() + min(2000, body.get('wait_ms', 0)) / 1000
        while not boot.ends and boot.up and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        if not boot.up:
            # A runner that has crashed answers nothing.
            if request.transport is not None:
                request.transport.abort()
            await asyncio.sleep(3600)
        return self._accept(
            boot,
            running=[run.list_row() for run in boot.running.values()],
            ended_runs=[end['row'] for end in boot.ends[:500]],
        )
