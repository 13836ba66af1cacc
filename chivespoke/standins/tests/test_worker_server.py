"""Tests of simulated workers over HTTP, from registration to completion."""

import asyncio
import unittest

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import settings
from chivespoke import standins
from chivespoke import web
from chivespoke import workers

CAPACITY = resources.Resources(4000, 4096, 0)
TIMEOUT_SECONDS = 30.0


class WorkerServerTest(unittest.IsolatedAsyncioTestCase):
    """Run a job on workers that are reached over loopback."""

    async def asyncSetUp(self) -> None:
        clock = clocks.SystemClock()
        log = standins.MemoryLog(clock)
        committer = replication.GroupCommitter(
            log, clock, identifiers.make_incarnation()
        )
        configuration = operators.Configuration(log, committer, clock)
        scheduler = scheduling.Scheduling(
            'entry-1',
            (),
            log,
            committer,
            scheduling.FollowedConfiguration(configuration),
            clock,
        )
        server = web.HttpServer(settings.Address(), (scheduler.routes,))
        await self.start(committer, configuration, scheduler, server)
        self.entry = server.address
        self.workers = [
            standins.WorkerServer(
                standins.make_worker_registration(
                    f'worker-{index}',
                    identifiers.DataCentreName('colombo'),
                    'rack-1',
                    CAPACITY,
                ),
                settings.Address(),
                self.entry,
                clock,
            )
            for index in range(2)
        ]
        await self.start(*self.workers)

    async def start(self, *components: application.Component) -> None:
        for component in components:
            await component.start()
            self.addAsyncCleanup(component.stop)

    async def test_each_task_of_a_job_runs_once(self) -> None:
        job = {
            'id': 'statements',
            'team': 'billing',
            'tasks': 6,
            'payload': msgspec.json.encode(
                standins.TaskPlan(seconds=0.2)
            ).decode(),
        }
        url = self.entry.format_http() + '/v1/jobs'
        async with (
            asyncio.timeout(TIMEOUT_SECONDS),
            aiohttp.ClientSession() as http,
        ):
            for worker in self.workers:
                await worker.registered.wait()
            async with http.post(url, json={'jobs': [job]}) as response:
                (accepted,) = await response.json()
            self.assertTrue(accepted['accepted'], accepted)
            while True:
                async with http.get(f'{url}/statements') as response:
                    report = await response.json()
                if report['state'] == 'completed':
                    break
                await asyncio.sleep(0.1)
        runs = [run for worker in self.workers for run in worker.agent.history]
        self.assertEqual((6, 6), (report['completed'], len(runs)))

    async def test_a_late_registration_leaves_a_worker_without_an_owner(
        self,
    ) -> None:
        dead = msgspec.structs.replace(
            standins.make_worker_registration(
                'worker-9',
                identifiers.DataCentreName('colombo'),
                'rack-1',
                CAPACITY,
            ),
            address='http://127.0.0.1:1',
        )
        late = msgspec.structs.replace(
            dead,
            incarnation=identifiers.make_incarnation(),
            address='http://127.0.0.1:2',
        )
        await self.register(dead)
        worker = standins.WorkerServer(
            msgspec.structs.replace(
                dead, incarnation=identifiers.make_incarnation()
            ),
            settings.Address(),
            self.entry,
            clocks.SystemClock(),
        )
        await self.start(worker)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await worker.registered.wait()
            await self.register(late)
            while not worker.agent.holds_lease():
                await asyncio.sleep(0.1)

    async def register(self, registration: workers.Registration) -> None:
        url = self.entry.format_http() + '/v1/workers'
        body = msgspec.json.encode(registration)
        async with (
            aiohttp.ClientSession() as http,
            http.post(url, data=body) as response,
        ):
            self.assertEqual(200, response.status)


if __name__ == '__main__':
    unittest.main()
