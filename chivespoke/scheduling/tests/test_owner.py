"""Test that tasks run from submission to completion."""

import asyncio
import unittest
from unittest import mock

from chivespoke import application
from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _placer
from chivespoke.scheduling.tests import builders
from chivespoke import standins

WEB = identifiers.ServiceName('web')


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """Run a job with one owner, a log and workers."""

    async def test_each_task_of_a_job_runs_once(self) -> None:
        cluster = await builders.build_cluster()
        self.addAsyncCleanup(cluster.stop)
        await builders.submit(cluster, 30)
        await cluster.run(100)
        report = cluster.processes['entry-1'].api.report_jobs()[0]
        self.assertEqual(report.state, 'completed')
        self.assertEqual(report.completed, 30)
        self.assertEqual(report.attempts, 30)
        runs = [
            run for agent in cluster.agents.values() for run in agent.history
        ]
        self.assertEqual(len(runs), 30)

    async def test_owner_goes_on_after_an_unexpected_error(self) -> None:
        # The loop of the owner ended: nothing was placed any more, and nobody
        # else claims the shard while this process is the only one.
        cluster = await builders.build_cluster()
        self.addAsyncCleanup(cluster.stop)
        with mock.patch.object(
            _placer.Placer, 'propose_batch', side_effect=KeyError('unexpected')
        ):
            await cluster.run(1)
        await asyncio.sleep(2 * application.LOOP_RESTART_SECONDS)
        await builders.submit(cluster, 3)
        await cluster.run(60)
        self.assertEqual('completed', cluster.get_report().state)

    async def test_exchanges_with_a_worker_overlap(self) -> None:
        cluster = await builders.build_cluster(1)
        self.addAsyncCleanup(cluster.stop)
        await cluster.run(5)
        process = cluster.processes['entry-1']
        owner = process.get_owner()
        process.connector.delay = 1.0
        worker_id = cluster.agents[0].registration.worker_id
        with mock.patch.object(
            standins.WorkerAgent,
            'renew',
            autospec=True,
            side_effect=standins.WorkerAgent.renew,
        ) as renew:
            for _ in range(3):
                owner.request_heartbeat(worker_id)
            await cluster.run(1.5)
        self.assertEqual(1, renew.call_count)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Own a shard only with a configuration that was read."""

    async def asyncSetUp(self) -> None:
        self.cluster = await builders.build_cluster(processes=2)
        self.addAsyncCleanup(self.cluster.stop)

    async def restart_without_configuration(self) -> None:
        cluster = self.cluster
        await cluster.processes['entry-1'].die()
        await cluster.add_process('entry-1', 2, reads_configuration=False)

    async def check_job_completes(self) -> None:
        await builders.submit(self.cluster, 6)
        await self.cluster.run(60)
        self.assertEqual('completed', self.cluster.get_report().state)

    async def test_unloaded_process_does_not_take_ownership(self) -> None:
        await self.restart_without_configuration()
        await self.check_job_completes()

    async def test_unloaded_process_fences_its_earlier_epochs(self) -> None:
        await self.restart_without_configuration()
        await self.cluster.run(30)
        shard = self.cluster.processes['entry-2'].get_owner().shard
        self.assertEqual((2, {}), (shard.epoch, shard.unfenced))

    async def test_process_without_recent_read_loses_ownership(self) -> None:
        self.cluster.processes['entry-1'].configuration.reachable = False
        await self.cluster.run(5)
        await self.check_job_completes()

    async def start_service(self) -> None:
        service = operators.Service(
            team=builders.TEAM, size=builders.SIZE, replicas=3
        )
        self.cluster.publish(builders.build_document(services={WEB: service}))
        await self.cluster.run(20)

    async def check_runs_continue(self, seconds: float) -> None:
        await self.cluster.run(seconds)
        runs = [
            run for agent in self.cluster.agents.values() for run in agent.runs
        ]
        self.assertEqual(3, len(runs))
        report = self.cluster.get_report('service:web@default')
        self.assertEqual(3, report.placed)

    async def test_runs_outlive_their_owner_without_a_configuration(
        self,
    ) -> None:
        # Regression: nobody claimed the shard while the configuration could
        # not be read, and all leases expired when its owner died.
        await self.start_service()
        for process in self.cluster.processes.values():
            process.configuration.reachable = False
        await self.cluster.processes['entry-1'].die()
        await self.check_runs_continue(120)

    async def test_living_owner_stays_owner_without_a_configuration(
        self,
    ) -> None:
        await self.start_service()
        for process in self.cluster.processes.values():
            process.configuration.reachable = False
        await self.check_runs_continue(120)
        shard = self.cluster.processes['entry-2'].get_owner().shard
        self.assertEqual(1, shard.epoch)

    async def test_unloaded_process_does_not_cancel_services(self) -> None:
        await self.start_service()
        report = self.cluster.get_report('service:web@default')
        self.assertEqual(3, report.placed)
        await self.restart_without_configuration()
        await self.cluster.run(60)
        report = self.cluster.get_report('service:web@default')
        self.assertEqual(3, report.placed)
