"""Callers that keep their connections, and an operator that writes."""

import asyncio
import collections.abc
import random
import time

import aiohttp
import msgspec

from chivespoke.bench.soak import _checks
from chivespoke.bench.soak import _world
from chivespoke import platform
from chivespoke import standins

HOST = 'callers.example'
JOB_PREFIX = '/jobs/'
CALL_SECONDS = 4.0
MAX_TRIES = 6
CHANGE_SECONDS = 0.8
STORM_SECONDS = 0.25
PAUSE_SECONDS = 0.05
ROUTE_BYTES = 190
LASTING_CPU_MILLIS = 500
# Longer than a lease.
LONG_TASK_SECONDS = 11.0
LONG_CPU_MILLIS = 200
LONG_JOB_INTERVAL_SECONDS = 1.5
# Routes that stay in force, longer than any fault lasts.
KEPT_ROUTES = 24
# Newest routes, and last removed ones, that callers ask for.
ASKED_ROUTES = 16


class History:
    """Record what callers see, in seconds since the start of a run."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.routes: dict[str, _checks.Route] = {}
        self.observations: list[_checks.Observation] = []

    def read_time(self) -> float:
        """Return the seconds of the run."""
        return time.monotonic() - self._started_at

    def list_recent_paths(self, in_force: bool) -> list[str]:
        """Return the paths of the last routes added, or removed."""
        paths = [
            path
            for path, route in self.routes.items()
            if (route.removing_at == float('inf')) is in_force
        ]
        return paths[-ASKED_ROUTES:]


class Operator:
    """Write versions that add a route each, and remove old ones."""

    def __init__(
        self, world: _world.World, history: History, version_bytes: int
    ) -> None:
        self._world = world
        self._history = history
        self._filler_routes = version_bytes // ROUTE_BYTES
        self._version = 0
        self._paths: list[str] = []

    async def write_first(self) -> None:
        """Write the version with which the daemons start."""
        await self._write()

    async def run(self) -> None:
        """Write versions until cancelled."""
        while True:
            await asyncio.sleep(
                STORM_SECONDS if self._world.is_storm else CHANGE_SECONDS
            )
            await self._change()

    async def _change(self) -> None:
        added = f'/added-{self._version}/'
        removed = self._paths[0] if len(self._paths) >= KEPT_ROUTES else ''
        now = self._history.read_time()
        if removed:
            self._paths.remove(removed)
            self._history.routes[removed].removing_at = now
        self._paths.append(added)
        await self._write()
        now = self._history.read_time()
        if removed:
            self._history.routes[removed].removed_at = now
        self._history.routes[added] = _checks.Route(added, now)

    async def _write(self) -> None:
        self._version += 1
        paths = [JOB_PREFIX, *self._paths]
        paths += [f'/filler-{each}/' for each in range(self._filler_routes)]
        content = {
            'version': self._version,
            'routes': [
                {
                    'name': f'queue{path}'.ljust(60, '-'),
                    'host': HOST,
                    'path_prefix': path,
                    'service': _world.SERVICE,
                    'max_attempts': 5,
                    'stretch': 2.0,
                }
                for path in paths
            ],
            'services': [{'name': _world.SERVICE}],
        }
        await self._world.store.put(
            platform.OPERATOR_TOPIC, 'config', msgspec.json.encode(content)
        )


class Caller:
    """Ask one entry over one connection for as long as it is open."""

    def __init__(
        self, world: _world.World, history: History, seed: int
    ) -> None:
        self._world = world
        self._history = history
        self._random = random.Random(seed)
        self._entry = self._random.choice(world.entries)
        self._jobs: list[str] = []
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._send_some_request()
                await asyncio.sleep(PAUSE_SECONDS)
        finally:
            await self._move()

    async def is_served(self) -> bool:
        """Return whether an entry counts the jobs that wait."""
        status, _ = await self._request('GET', JOB_PREFIX)
        return status == 200

    async def find_states(
        self, jobs: collections.abc.Iterable[str]
    ) -> dict[str, str]:
        """Return the states of jobs that an entry tells."""
        states: dict[str, str] = {}
        for job in jobs:
            status, body = await self._request('GET', JOB_PREFIX + job, job)
            if status == 200:
                states[job] = msgspec.json.decode(body).get('state', '')
        return states

    async def submit_lasting_job(self, job: str, count: int) -> None:
        """Hand in a job whose tasks last, until it is accepted."""
        step = {
            'count': count,
            'cpu': LASTING_CPU_MILLIS,
            'mem_mb': 64,
            'long_running': True,
        }
        await self._submit_until_accepted(
            job, standins.LONG_RUNNING_PAYLOAD, step
        )

    async def submit_long_jobs(self, until: float) -> None:
        """Hand in jobs whose tasks outlast a lease, until a time of the run.

        Each is accepted in the end.
        """
        while self._history.read_time() < until:
            step = {
                'count': 2,
                'cpu': LONG_CPU_MILLIS,
                'mem_mb': 64,
                'estimated_ms': int(LONG_TASK_SECONDS * 1000),
            }
            await self._submit_until_accepted(
                f'{self._random.getrandbits(64):016x}',
                f'{standins.TIMED_PAYLOAD_PREFIX}{LONG_TASK_SECONDS}',
                step,
            )
            await asyncio.sleep(LONG_JOB_INTERVAL_SECONDS)

    async def _submit_until_accepted(
        self,
        job: str,
        payload: str,
        step: collections.abc.Mapping[str, object],
    ) -> None:
        body = msgspec.json.encode({'spec': payload, 'steps': [step]})
        status = 0
        while not 200 <= status < 300:
            status, _ = await self._request(
                'POST', JOB_PREFIX + job, job, body
            )

    async def close(self) -> None:
        """Close the connection."""
        await self._move()

    async def _send_some_request(self) -> None:
        choice = self._random.random()
        if choice < 0.25:
            await self._submit()
        elif choice < 0.5 and self._jobs:
            job = self._random.choice(self._jobs)
            await self._request('GET', JOB_PREFIX + job, job)
        elif paths := self._history.list_recent_paths(choice < 0.8):
            await self._request('GET', self._random.choice(paths))

    async def _submit(self) -> None:
        job = f'{self._random.getrandbits(64):016x}'
        step = {'count': 2, 'cpu': 100, 'mem_mb': 64, 'estimated_ms': 400}
        body = msgspec.json.encode({'spec': job, 'steps': [step]})
        for _ in range(MAX_TRIES):
            status, _ = await self._request(
                'POST', JOB_PREFIX + job, job, body
            )
            if 200 <= status < 300:
                self._jobs.append(job)
                return
            # A job without an answer is handed in again, at another entry.
            await asyncio.sleep(0.5)

    async def _request(
        self, method: str, path: str, job: str = '', body: bytes | None = None
    ) -> tuple[int, bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1),
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            )
        daemon = self._world.daemons[self._entry]
        asked = f'{self._entry}/{daemon.starts}'
        sent_at = self._history.read_time()
        status, content = 0, b''
        try:
            async with self._session.request(
                method,
                f'http://{daemon.ip}:8161{path}',
                data=body,
                headers={
                    'Host': HOST,
                    'Content-Type': 'application/json',
                    'Chivespoke-Deadline-Ms': '3000',
                },
            ) as response:
                content = await response.read()
                status = response.status
                is_closing = response.headers.get('Connection') == 'close'
        except (aiohttp.ClientError, TimeoutError):
            is_closing = True
        finally:
            # Also of a request that the end of the run cancels.
            self._history.observations.append(
                _checks.Observation(
                    asked,
                    method,
                    path,
                    sent_at,
                    self._history.read_time(),
                    status,
                    job,
                )
            )
        if is_closing:
            await self._move()
        return status, content

    async def _move(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None
        self._entry = self._random.choice(self._world.entries)
