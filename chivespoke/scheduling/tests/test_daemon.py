"""Test jobs over HTTP with an entry, a log server and a worker."""

import asyncio
import unittest

import aiohttp
import msgspec

from chivespoke import clock
from chivespoke import daemons
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling.tests import builders
from chivespoke import settings
from chivespoke import standins

TIMEOUT_SECONDS = 30.0


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """Submit, run, explain, cancel and refuse jobs over HTTP."""

    async def asyncSetUp(self) -> None:
        time = clock.SystemClock()
        log = standins.LogServer(standins.MemoryLog(time), settings.Address())
        await log.start()
        self.addAsyncCleanup(log.stop)
        self.entry = daemons.Entry(
            settings.EntrySettings(
                name='entry-1',
                data_centre=builders.DC1,
                platform_log=log.address,
            ),
            time,
            balancer_notice_seconds=0.0,
        )
        await self.entry.start()
        self.addAsyncCleanup(self.entry.stop)
        self.url = self.entry.http.address.format_http()
        worker = standins.WorkerServer(
            standins.make_worker_registration(
                'worker-1',
                builders.DC1,
                'rack-1',
                resources.Resources(16_000, 61_440, 0),
            ),
            settings.Address(),
            self.entry.http.address,
            time,
        )
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _post(self, path: str, body: object) -> object:
        data = msgspec.json.encode(body)
        async with self.session.post(self.url + path, data=data) as answer:
            return msgspec.json.decode(await answer.read())

    async def _wait(self, job: str, state: str) -> scheduling.JobReport:
        path = f'{self.url}/v1/jobs/{job}'
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                async with self.session.get(path) as answer:
                    report = msgspec.json.decode(
                        await answer.read(), type=scheduling.JobReport
                    )
                if report.state == state:
                    return report
                await asyncio.sleep(0.05)

    async def test_jobs_run_and_are_counted(self) -> None:
        job = scheduling.JobRequest(
            id='job-1',
            tasks=5,
            team='billing',
            payload=builders.build_payload(0.2),
        )
        endless = scheduling.JobRequest(id='job-2', team='billing')
        for _ in range(2):
            answers = await self._post('/v1/jobs', {'jobs': [job, endless]})
            self.assertEqual(
                answers,
                [
                    {'id': 'job-1', 'accepted': True, 'reason': ''},
                    {'id': 'job-2', 'accepted': True, 'reason': ''},
                ],
            )
        report = await self._wait('job-1', 'completed')
        self.assertEqual((report.completed, report.attempts), (5, 5))
        await self._wait('job-2', 'placed')
        await self._post('/v1/jobs/cancel', {'jobs': ['job-2']})
        report = await self._wait('job-2', 'cancelled')
        self.assertEqual(report.cancelled, 1)

    async def test_jobs_tasks_and_workers_are_explained(self) -> None:
        endless = scheduling.JobRequest(id='job-1', tasks=20, team='billing')
        await self._post('/v1/jobs', {'jobs': [endless]})
        await self._wait('job-1', 'placed')
        # The worker has 16 processors, one for each of 16 tasks.
        cases = (
            ('worker/worker-1', 'up, 16 tasks, in'),
            ('job/job-1', '16 placed, 4 waiting'),
            ('task/job-1/0', 'attempt 1 is placed on worker-1'),
            ('task/job-1/19', 'waits for attempt 1'),
        )
        for path, expected in cases:
            with self.subTest(path=path):
                await self._wait_explained(path, expected)
        missing = await self._explain('task/job-1/20')
        self.assertIn('no task is named', missing['reason'])
        async with self.session.get(f'{self.url}/status') as answer:
            status = await answer.json()
        (section,) = status['sections']
        self.assertEqual('16', section['lines']['tasks placed'])

    async def _explain(self, path: str) -> dict[str, str]:
        async with self.session.get(f'{self.url}/explain/{path}') as answer:
            found: dict[str, str] = await answer.json()
            return found

    async def _wait_explained(self, path: str, expected: str) -> None:
        found: dict[str, str] = {}
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while expected not in found.get('what', ''):
                found = await self._explain(path)
                await asyncio.sleep(0.05)

    async def test_refusals_name_the_reason(self) -> None:
        while not self.entry.context.scheduling.api.report_workers():
            await asyncio.sleep(0.05)
        huge = scheduling.JobRequest(
            id='huge',
            team='billing',
            size=resources.Resources(99_000, 1024, 0),
        )
        other = scheduling.JobRequest(id='job-3', team='billing')
        await self._post('/v1/jobs', {'jobs': [other]})
        changed = msgspec.structs.replace(other, tasks=2)
        answers = await self._post('/v1/jobs', {'jobs': [huge, changed]})
        self.assertEqual(
            answers,
            [
                {
                    'id': identifiers.JobId('huge'),
                    'accepted': False,
                    'reason': 'no worker that it may use is large enough',
                },
                {
                    'id': identifiers.JobId('job-3'),
                    'accepted': False,
                    'reason': 'another job has this id',
                },
            ],
        )
