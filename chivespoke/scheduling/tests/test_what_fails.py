"""Cause each fault that the users name, and check what must hold."""

import asyncio
import typing
import unittest

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _permits
from chivespoke.scheduling.tests import builders
from chivespoke import standins

STEP = 0.25
SERVICE = identifiers.ServiceName('counting')


class WhatFailsTest(unittest.IsolatedAsyncioTestCase):
    """Every cluster is checked after each step for twice and late starts."""

    async def _build(
        self, *counts: int, **options: typing.Any
    ) -> builders.CheckedCluster:
        cluster = await builders.build_cluster(*counts, **options)
        self.addAsyncCleanup(cluster.stop)
        return cluster

    def _check_finished(
        self, cluster: builders.CheckedCluster, tasks: int
    ) -> None:
        report = cluster.get_report()
        self.assertEqual(report.state, 'completed', report)
        self.assertEqual(report.completed, tasks)

    async def test_noisy_tasks_arrive_in_waves(self) -> None:
        cluster = await self._build(9)
        for wave in range(3):
            await builders.submit(cluster, 60, f'job-{wave}')
            await cluster.run(12, STEP)
        await cluster.run(60, STEP)
        for wave in range(3):
            report = cluster.get_report(f'job-{wave}')
            self.assertEqual(report.completed, 60)
            self.assertEqual(report.attempts, 60)

    async def test_an_instance_fails_and_its_work_resumes_once(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 8, payload=builders.build_plan(30))
        await cluster.run(5, STEP)
        cluster.set_reachable(False, 0)
        await cluster.run(120, STEP)
        self._check_finished(cluster, 8)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_a_rack_fails(self) -> None:
        cluster = await self._build(9)
        await builders.submit(cluster, 30, payload=builders.build_plan(40))
        await cluster.run(5, STEP)
        cluster.set_reachable(False, 0, 3, 6)
        await cluster.run(150, STEP)
        self._check_finished(cluster, 30)

    async def test_an_unreachable_worker_comes_back(self) -> None:
        cluster = await self._build(2)
        await builders.submit(cluster, 8, payload=builders.build_plan(300))
        await cluster.run(5, STEP)
        cluster.set_reachable(False, 0)
        await cluster.run(80, STEP)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual(shard.workers[0].state.name, 'GIVEN_UP')
        self.assertEqual(cluster.agents[0].runs, {})
        cluster.set_reachable(True, 0)
        await cluster.run(30, STEP)
        self.assertEqual(shard.workers[0].state.name, 'UP')
        self.assertTrue(cluster.agents[0].runs)

    async def test_a_worker_answers_while_it_is_being_given_up(self) -> None:
        """Prolong and start nothing that is about to be placed elsewhere."""
        cluster = await self._build(2)
        await cluster.run(5, STEP)
        await builders.submit(cluster, 16, payload=builders.build_plan(300))
        cluster.set_reachable(False, 0)
        await cluster.run(5, STEP)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        # Placed before the silence was noticed, and never started.
        self.assertTrue(shard.workers[0].tasks)
        link = cluster.processes['entry-1'].get_owner().links[0]
        while not link.is_lapsed(cluster.now()):
            await cluster.run(STEP, STEP)
        # The record that gives it up is under way while it answers again.
        cluster.log.faults.append_delay = 8.0
        await cluster.run(2.5, STEP)
        cluster.set_reachable(True, 0)
        await cluster.run(3, STEP)
        agent = cluster.agents[0]
        self.assertEqual(
            (0, 'UP'), (link.failures, shard.workers[0].state.name)
        )
        self.assertLess(agent.lease_until, agent.clock.read_monotonic())
        cluster.log.faults.append_delay = 0.0
        await cluster.run(60, STEP)
        self.assertEqual(shard.workers[0].state.name, 'UP')
        self.assertTrue(agent.runs)

    async def test_a_late_answer_of_an_earlier_life_replaces_nothing(
        self,
    ) -> None:
        """Restart a worker twice while an exchange with it hangs."""
        cluster = await self._build(1)
        await builders.submit(cluster, 4, payload=builders.build_plan(300))
        await cluster.run(5, STEP)
        owner = cluster.processes['entry-1'].get_owner()
        hanging = owner.links[0]
        client = cluster.connector.clients['memory://0']
        cluster.witness.note_killed(cluster.agents[0])
        between = cluster.add_worker(0, 2)
        newest = cluster.add_worker(0, 3)
        client.agent = newest
        cluster.connector.clients['memory://0'] = client
        await cluster.run(30, STEP)
        self.assertEqual(4, len(newest.runs))
        hanging.client = standins.MemoryWorkerClient(between)
        await hanging.exchange(renew=True)
        await cluster.run(30, STEP)
        worker = owner.shard.workers[0]
        self.assertEqual(newest.registration.incarnation, worker.incarnation)
        self.assertEqual(8, cluster.get_report().attempts)

    async def test_own_processes_die(self) -> None:
        cluster = await self._build(3, 2)
        await builders.submit(cluster, 20, payload=builders.build_plan(20))
        await cluster.run(5, STEP)
        await cluster.processes.pop('entry-1').die()
        await cluster.run(150, STEP)
        self._check_finished(cluster, 20)
        self.assertEqual(cluster.get_report().abandoned, 0)

    async def test_the_owner_is_paused_and_leases_lapse(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 6, payload=builders.build_plan(90))
        await cluster.run(5, STEP)
        owner = cluster.processes['entry-1']
        owner.gate.close()
        await cluster.run(_permits.LEASE + 20, STEP)
        self.assertFalse(any(each.runs for each in cluster.agents.values()))
        owner.gate.open()
        await cluster.run(250, STEP)
        self._check_finished(cluster, 6)

    async def test_a_paused_owner_wakes_beside_its_successor(self) -> None:
        cluster = await self._build(3, 2)
        await builders.submit(cluster, 12, payload=builders.build_plan(30))
        first = cluster.processes['entry-1']
        first.gate.close()
        await cluster.run(30, STEP)
        successor = cluster.processes['entry-2'].get_owner()
        self.assertEqual(successor.epoch, 2)
        first.gate.open()
        await cluster.run(100, STEP)
        self.assertEqual(first.get_owner().epoch, 0)
        self._check_finished(cluster, 12)

    async def test_a_successor_waits_for_the_longer_earlier_lease(
        self,
    ) -> None:
        """Take over while the last owner's lease outlasts the own ones."""
        cluster = await self._build(2, 2)
        await builders.submit(cluster, 8, payload=builders.build_plan(300))
        cluster.processes['entry-1'].gate.close()
        await cluster.run(18, STEP)
        agent = cluster.agents[0]
        # Far longer than any lease that the successor gives.
        agent.lease_until += 150.0
        await cluster.run(22, STEP)
        cluster.set_reachable(False, 0)
        await cluster.run(110, STEP)
        self.assertTrue(agent.runs)
        self.assertEqual(0, cluster.get_report().abandoned)
        await cluster.run(110, STEP)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_declared_run_times_are_far_off(self) -> None:
        cluster = await self._build(3)
        await builders.submit(
            cluster, 12, run_time=0.5, payload=builders.build_plan(25)
        )
        out = builders.take_out(
            builders.build_document(), 'dc1', leave_within=20.0
        )
        await cluster.run(2, STEP)
        cluster.publish(out)
        await cluster.run(25, STEP)
        self.assertEqual(cluster.agents[0].runs, {})
        await cluster.run(80, STEP)
        self._check_finished(cluster, 12)

    async def test_a_job_can_never_run_and_then_can(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 2, data_centres=(builders.DC1,))
        document = builders.build_document()
        cluster.publish(builders.take_out(document, 'dc1'))
        await builders.submit(
            cluster, 2, 'job-2', data_centres=(builders.DC1,)
        )
        await cluster.run(20, STEP)
        report = cluster.get_report('job-2')
        self.assertEqual(report.state, 'impossible')
        self.assertIn('out of service', report.reason)
        cluster.publish(document)
        await cluster.run(30, STEP)
        self.assertEqual(cluster.get_report('job-2').completed, 2)

    async def test_cancellations_come_in_waves(self) -> None:
        cluster = await self._build(3)
        api = cluster.processes['entry-1'].api
        names = [identifiers.JobId(f'job-{number}') for number in range(20)]
        for name in names:
            await builders.submit(cluster, 50, name)
        wave = asyncio.ensure_future(api.cancel(names))
        await cluster.run(35, STEP)
        self.assertTrue(all(answer.accepted for answer in await wave))
        for name in names:
            report = cluster.get_report(name)
            self.assertEqual(report.cancelled + report.completed, 50)
            self.assertEqual(report.state, 'cancelled')
        self.assertFalse(any(each.runs for each in cluster.agents.values()))

    async def test_a_worker_fails_everything_it_starts(self) -> None:
        cluster = await self._build(4)
        cluster.agents[0].fails_everything = True
        for number in range(3):
            await builders.submit(
                cluster, 30, f'job-{number}', payload=builders.build_plan(3)
            )
        await cluster.run(120, STEP)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual(shard.workers[0].task_limit, 0)
        for number in range(3):
            self.assertEqual(cluster.get_report(f'job-{number}').completed, 30)
        cluster.agents[0].fails_everything = False
        await cluster.run(320, 2.0)
        await builders.submit(
            cluster, 200, 'job-9', payload=builders.build_plan(3)
        )
        await cluster.run(60, STEP)
        self.assertEqual(shard.workers[0].task_limit, -1)

    async def test_a_job_fails_everywhere(self) -> None:
        cluster = await self._build(4)
        await builders.submit(
            cluster, 40, payload=builders.build_plan(2, fails=True)
        )
        await cluster.run(30, STEP)
        report = cluster.get_report()
        self.assertEqual((report.state, report.failed), ('failed', 40))
        self.assertIn('worker-', report.reason)
        self.assertIn('exit status 1', report.reason)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        limits = {each.task_limit for each in shard.workers.values()}
        self.assertEqual(limits, {-1})

    async def test_the_log_is_down_for_an_hour_and_tasks_run_on(self) -> None:
        cluster = await self._build(2)
        await builders.submit(cluster, 4, payload=builders.build_plan(3000))
        await cluster.run(5, STEP)
        faults = cluster.log.faults
        faults.append_down = faults.read_down = True
        await cluster.run(3600, 4.0)
        completed = [
            run for run in cluster.list_runs() if run.progress >= 3000
        ]
        self.assertEqual(len(completed), 4)
        faults.append_down = faults.read_down = False
        await cluster.run(60, STEP)
        self._check_finished(cluster, 4)
        self.assertEqual(cluster.get_report().attempts, 4)

    async def test_the_log_is_slow(self) -> None:
        cluster = await self._build(3)
        cluster.log.faults.append_delay = 2.0
        cluster.log.faults.read_delay = 1.0
        await builders.submit(cluster, 10)
        await cluster.run(90, STEP)
        self._check_finished(cluster, 10)

    async def test_answers_are_lost_after_the_action_took_effect(self) -> None:
        cluster = await self._build(3)
        for client in cluster.connector.clients.values():
            client.lost_answers = 6
        cluster.log.faults.lost_answers = 4
        cluster.log.faults.duplicates = 4
        await builders.submit(cluster, 10)
        await cluster.run(90, STEP)
        self._check_finished(cluster, 10)

    async def test_operators_take_out_and_return_in_quick_turns(self) -> None:
        cluster = await self._build(6)
        document = builders.build_document()
        await builders.submit(
            cluster, 40, checkpointing=True, payload=builders.build_plan(20)
        )
        for turn in range(12):
            names = ('dc1', 'dc2') if turn % 3 == 0 else (f'dc{turn % 3}',)
            cluster.publish(builders.take_out(document, *names))
            await cluster.run(1.5, 0.1)
            cluster.publish(document)
            await cluster.run(1.0, 0.1)
        await cluster.run(200, STEP)
        self._check_finished(cluster, 40)

    async def test_nothing_starts_late_after_a_pause(self) -> None:
        """Hold start commands under way over a take-out and a pause."""
        refused = 0
        for delay in (0.5, 1.5, 2.5, 4.0):
            for pause in (0.0, 2.0, 30.0):
                with self.subTest(delay=delay, pause=pause):
                    refused += await self._pause_over_take_out(delay, pause)
        # Workers refused what arrived too late.
        self.assertGreater(refused, 0)

    async def _pause_over_take_out(self, delay: float, pause: float) -> int:
        cluster = await self._build(3)
        process = cluster.processes['entry-1']
        await cluster.run(1, STEP)
        stream = process.api.streams['default']
        stream.propose(builders.build_submission('job-1', 12))
        process.connector.delay = delay
        await cluster.run(1.0, 0.1)
        cluster.publish(
            builders.take_out(builders.build_document(), 'dc1', 'dc2', 'dc3')
        )
        process.gate.close()
        await cluster.run(pause, 0.25)
        process.gate.open()
        await cluster.run(10, 0.1)
        return sum(
            agent.late_starts_refused for agent in cluster.agents.values()
        )

    async def test_two_data_centres_leave_and_services_stay_whole(
        self,
    ) -> None:
        cluster = await self._build(9)
        service = operators.Service(
            team=builders.TEAM,
            replicas=6,
            size=resources.Resources(4000, 4096, 0),
        )
        document = builders.build_document(services={SERVICE: service})
        cluster.publish(document)
        await cluster.run(20, STEP)
        self.assertEqual(self._list_service_centres(cluster), [2, 2, 2])
        cluster.publish(builders.take_out(document, 'dc1', 'dc2'))
        for _ in range(60):
            await cluster.run(1, STEP)
            running = sum(self._list_service_centres(cluster))
            self.assertGreaterEqual(running, 6)
        self.assertEqual(self._list_service_centres(cluster), [0, 0, 6])

    async def test_a_service_rolls_without_dropping_below(self) -> None:
        cluster = await self._build(6)
        for revision in ('1', '2'):
            service = operators.Service(
                team=builders.TEAM, replicas=5, revision=revision
            )
            cluster.publish(
                builders.build_document(services={SERVICE: service})
            )
            for second in range(40):
                await cluster.run(1, STEP)
                if revision == '2' or second > 20:
                    running = sum(self._list_service_centres(cluster))
                    self.assertGreaterEqual(running, 5)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        revisions = {
            attempt.revision for attempt in shard.jobs[0].running.values()
        }
        self.assertEqual(revisions, {'2'})

    def _list_service_centres(
        self, cluster: builders.CheckedCluster
    ) -> list[int]:
        """Return how many replicas run in each data centre."""
        counts = [0, 0, 0]
        for number, agent in cluster.agents.items():
            counts[number % 3] += len(agent.runs)
        return counts
