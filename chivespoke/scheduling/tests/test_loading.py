"""Tests of the answers of a process that has not read its shards."""

import asyncio
import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web

from chivespoke import clock
from chivespoke import daemons
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import scheduling
from chivespoke.scheduling import _routes
from chivespoke.scheduling.tests import builders
from chivespoke import settings
from chivespoke import standins

JOB_ID = identifiers.JobId('job-1')
TEST_TIMEOUT_SECONDS = 20.0
# Longer than any age of a state from which something is denied.
OUTAGE_SECONDS = 6.0


class LoadingApiTest(unittest.IsolatedAsyncioTestCase):
    """Ask a process that cannot read the log for a job of another."""

    async def asyncSetUp(self) -> None:
        cluster = await builders.build_cluster()
        self.addAsyncCleanup(cluster.stop)
        await builders.submit(cluster, 6)
        await cluster.run(5)
        self.api = await self.start_unloaded(cluster)

    async def start_unloaded(
        self, cluster: builders.CheckedCluster
    ) -> scheduling.SchedulingApi:
        cluster.log.faults.read_down = True
        process = await cluster.add_process('entry-2')
        return process.api

    async def test_cancel_of_a_job_is_not_denied(self) -> None:
        with self.assertRaises(errors.RefusedError):
            await self.api.cancel([JOB_ID])

    async def test_repeated_submission_is_not_refused(self) -> None:
        nowhere = identifiers.DataCentreName('nowhere')
        request = scheduling.JobRequest(
            id=JOB_ID, team=builders.TEAM, data_centres=(nowhere,)
        )
        with self.assertRaises(errors.NotLoadedError):
            await self.api.submit([request])

    async def test_job_is_not_reported_as_unknown(self) -> None:
        with self.assertRaises(errors.RefusedError):
            self.api.report_job(JOB_ID)

    async def test_routes_ask_to_repeat(self) -> None:
        server = web.Application()
        server.add_routes(_routes.SchedulingRoutes(self.api).list_routes())
        client = test_utils.TestClient(test_utils.TestServer(server))
        await client.start_server()
        self.addAsyncCleanup(client.close)
        cases = (
            ('GET', '/v1/jobs', None),
            ('GET', '/v1/jobs/job-1', None),
            ('GET', '/v1/workers', None),
            ('POST', '/v1/jobs/cancel', {'jobs': ['job-1']}),
        )
        for method, path, body in cases:
            with self.subTest(method=method, path=path):
                async with client.request(method, path, json=body) as answer:
                    self.assertEqual(503, answer.status)
                    self.assertIn('Retry-After', answer.headers)


class OutdatedApiTest(unittest.IsolatedAsyncioTestCase):
    """Ask a process that lost sight of the log for a job of meanwhile."""

    async def asyncSetUp(self) -> None:
        self.cluster = await builders.build_cluster()
        self.addAsyncCleanup(self.cluster.stop)
        self.api = (await self.cluster.add_process('entry-2')).api
        await self.cluster.run(2)
        self.cluster.log.faults.read_down = True
        await self.cluster.run(OUTAGE_SECONDS)

    async def test_new_job_is_neither_unknown_nor_uncancellable(self) -> None:
        with self.assertRaises(errors.NotLoadedError):
            self.api.report_job(JOB_ID)
        with self.assertRaises(errors.NotLoadedError):
            await self.api.cancel([JOB_ID])

    async def test_job_is_not_refused_by_an_old_configuration(self) -> None:
        new_place = identifiers.DataCentreName('new')
        request = scheduling.JobRequest(
            id=JOB_ID, team=builders.TEAM, data_centres=(new_place,)
        )
        with self.assertRaises(errors.NotLoadedError):
            await self.api.submit([request])

    async def test_unknown_job_is_denied_once_the_log_is_read(self) -> None:
        self.cluster.log.faults.read_down = False
        await self.cluster.run(OUTAGE_SECONDS)
        self.assertIsNone(self.api.report_job(JOB_ID))
        (answer,) = await self.api.cancel([JOB_ID])
        self.assertEqual('the job is unknown', answer.reason)


class LoadingHealthTest(unittest.IsolatedAsyncioTestCase):
    """Probe an entry whose log answers late or not at all."""

    async def asyncSetUp(self) -> None:
        self.clock = clock.SystemClock()
        self.log = standins.MemoryLog(self.clock)
        self.server = standins.LogServer(self.log, settings.Address())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def start_entry(self) -> str:
        entry = daemons.Entry(
            settings.EntrySettings(
                name='entry-1',
                data_centre=builders.DC1,
                platform_log=self.server.address,
            ),
            self.clock,
            balancer_notice_seconds=0.0,
        )
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        return entry.http.address.format_http() + '/health'

    async def probe(self, url: str) -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            return answer.status

    async def test_entry_is_not_healthy_while_it_loads(self) -> None:
        self.log.faults.read_delay = TEST_TIMEOUT_SECONDS
        url = await self.start_entry()
        self.assertEqual(503, await self.probe(url))

    async def test_entry_without_log_becomes_healthy(self) -> None:
        self.log.faults.read_down = True
        url = await self.start_entry()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while await self.probe(url) != 200:
                await asyncio.sleep(0.05)


if __name__ == '__main__':
    unittest.main()
