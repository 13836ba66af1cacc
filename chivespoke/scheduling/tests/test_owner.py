"""Test that tasks run from submission to completion."""

import unittest

from chivespoke.scheduling.tests import builders


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
