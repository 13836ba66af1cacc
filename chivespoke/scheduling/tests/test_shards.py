"""Test transfers between shards and the retention of the log."""

import unittest

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling.tests import builders

SHARDS = ('default', 'second')
STEP_SECONDS = 0.25
QUOTA = resources.Resources(24_000, 600_000, 0)


class ShardsTest(unittest.IsolatedAsyncioTestCase):
    """Run two shards of three workers each."""

    async def _build(self, processes: int = 1) -> builders.CheckedCluster:
        cluster = await builders.build_cluster(6, processes, shards=SHARDS)
        self.addAsyncCleanup(cluster.stop)
        return cluster

    async def test_tasks_without_room_are_transferred_exactly_once(
        self,
    ) -> None:
        cluster = await self._build()
        api = cluster.processes['entry-1'].api
        home = api.choose_stream(identifiers.JobId('job-1')).name
        cluster.log.faults.lost_answers = 3
        cluster.log.faults.duplicates = 3
        await builders.submit(cluster, 60, payload=builders.build_payload(20))
        await cluster.run(90, STEP_SECONDS)
        report = cluster.get_report()
        self.assertEqual((report.completed, report.attempts), (60, 60))
        for name, stream in api.streams.items():
            counts = stream.fold.shard.jobs[0].counts
            self.assertGreater(counts.completed, 0, name)
            self.assertEqual(counts.tasks_transferred_out > 0, name == home)

    async def test_a_cancellation_reaches_transferred_tasks(self) -> None:
        cluster = await self._build()
        await builders.submit(cluster, 60, payload=builders.build_payload(500))
        await cluster.run(20, STEP_SECONDS)
        self.assertEqual(cluster.get_report().placed, 24)
        api = cluster.processes['entry-1'].api
        cancelling = api.cancel([identifiers.JobId('job-1')])
        await builders.run_concurrently(cluster, cancelling, 10.0)
        report = cluster.get_report()
        self.assertEqual((report.state, report.cancelled), ('cancelled', 60))

    async def test_a_quota_holds_while_a_process_cannot_reach_the_log(
        self,
    ) -> None:
        cluster = await self._build(2)
        document = builders.build_document(
            teams={builders.TEAM: operators.Team(quota=QUOTA)},
            shards={
                'default': operators.ShardGroup(mints_quotas=True),
                'second': operators.ShardGroup(),
            },
        )
        cluster.publish(document)
        await cluster.run(2, STEP_SECONDS)
        api = cluster.processes['entry-1'].api
        for name, stream in api.streams.items():
            stream.propose(builders.build_submission(f'in-{name}', 20))
        most = 0
        for second in range(150):
            if second == 20:
                cluster.processes['entry-1'].log.reachable = False
            if second == 60:
                cluster.processes['entry-1'].log.reachable = True
            await cluster.run(1, 0.5)
            running = sum(
                agent.compute_committed_resources().millicores
                for agent in cluster.agents.values()
            )
            most = max(most, running)
        self.assertLessEqual(most, QUOTA.millicores)
        self.assertGreater(most, QUOTA.millicores // 2)
        for name in api.streams:
            self.assertEqual(cluster.get_report(f'in-{name}').completed, 20)
        # The second shard has returned all unused quota.
        transferred = api.streams['second'].fold.shard.transferred_quotas[
            builders.TEAM
        ]
        self.assertEqual(transferred, resources.NOTHING)

    async def test_counts_survive_the_removal_of_old_records(self) -> None:
        cluster = await builders.build_cluster(3, retention=60.0)
        self.addAsyncCleanup(cluster.stop)
        await builders.submit(cluster, 30)
        await cluster.run(200, 0.5)
        before = cluster.get_report()
        self.assertEqual(before.completed, 30)
        late = await cluster.add_process('entry-2')
        await cluster.run(5, STEP_SECONDS)
        replica = late.api.streams['default'].replica
        self.assertTrue(replica.is_ready)
        self.assertGreater(replica.earliest, 0)
        self.assertEqual(cluster.get_report(), before)
