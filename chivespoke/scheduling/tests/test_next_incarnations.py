"""Test workers whose next incarnation differs from the earlier one."""

import typing
import unittest

from chivespoke import resources
from chivespoke.scheduling.tests import builders

STEP_SECONDS = 0.25
SMALL = resources.Resources(4_000, 4_096, 0)


class NextIncarnationTest(unittest.IsolatedAsyncioTestCase):
    """Start a worker again under its identifier.

    CheckedCluster checks that no worker is over-committed and that no task
    starts in a data centre that is out of service.
    """

    async def _build(
        self, *counts: int, **options: typing.Any
    ) -> builders.CheckedCluster:
        cluster = await builders.build_cluster(*counts, **options)
        self.addAsyncCleanup(cluster.stop)
        await cluster.run(5, STEP_SECONDS)
        return cluster

    async def test_a_smaller_incarnation_gets_the_tasks_of_a_larger_one(
        self,
    ) -> None:
        cluster = await self._build(1)
        cluster.restart_worker(0, 2, capacity=SMALL)
        await cluster.run(10, STEP_SECONDS)
        await builders.submit(cluster, 4, payload=builders.build_payload(300))
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(1, len(cluster.agents[0].runs))
        shard = cluster.processes['entry-1'].get_owner().shard
        self.assertEqual(SMALL, shard.workers[0].capacity)

    async def test_tasks_start_in_a_data_centre_that_is_out(self) -> None:
        cluster = await self._build(2)
        cluster.publish(builders.take_out(builders.build_document(), 'dc1'))
        await cluster.run(10, STEP_SECONDS)
        cluster.restart_worker(1, 2, data_centre=builders.DC1)
        await cluster.run(10, STEP_SECONDS)
        await builders.submit(cluster, 2)
        await cluster.run(10, STEP_SECONDS)
        self.assertEqual([], cluster.list_runs())

    async def test_two_shards_place_tasks_on_one_worker(self) -> None:
        cluster = await self._build(1, shards=('default', 'second'))
        cluster.restart_worker(0, 2, group='second')
        await cluster.register(cluster.agents[0].registration)
        await cluster.run(10, STEP_SECONDS)
        for number in range(6):
            await builders.submit(
                cluster,
                4,
                f'job-{number}',
                payload=builders.build_payload(300),
            )
        await cluster.run(60, STEP_SECONDS)
        self.assertEqual(4, len(cluster.agents[0].runs))
        self.assertEqual(4, len(cluster.agents[0].history))
        first = cluster.processes['entry-1']
        earlier = first.get_owner('default').shard.workers[0]
        self.assertEqual('GIVEN_UP', earlier.state.name)


if __name__ == '__main__':
    unittest.main()
