"""Test the life of tasks through an owner, a log and workers."""

import unittest

from chivespoke.scheduling.tests import builders


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """Drive tasks from submission to their count."""

    async def asyncSetUp(self) -> None:
        self.cluster = builders.Cluster()
        self.process = await self.cluster.add_process()
        await self.cluster.register_workers()

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    async def test_a_job_runs_to_its_count(self) -> None:
        await self.cluster.submit('job-1', 30)
        await self.cluster.run(120)
        job = self.process.owner.shard.jobs[0]
        self.assertEqual(job.counts.completed, 30)
        self.assertEqual(job.counts.attempts, 30)
        runs = [run for agent in self.cluster.agents for run in agent.history]
        self.assertEqual(len(runs), 30)
