"""Inject faults and check the guarantees that must hold."""

import asyncio
import typing
import unittest

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _permits
from chivespoke.scheduling.tests import builders
from chivespoke import standins

STEP_SECONDS = 0.25
SERVICE = identifiers.ServiceName('counting')


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Run jobs under faults.

    CheckedCluster checks after each step that no task starts twice or late.
    """

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
            await cluster.run(12, STEP_SECONDS)
        await cluster.run(60, STEP_SECONDS)
        for wave in range(3):
            report = cluster.get_report(f'job-{wave}')
            self.assertEqual(report.completed, 60)
            self.assertEqual(report.attempts, 60)

    async def test_an_instance_fails_and_its_work_resumes_once(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 8, payload=builders.build_payload(30))
        await cluster.run(5, STEP_SECONDS)
        cluster.set_reachable(False, 0)
        await cluster.run(120, STEP_SECONDS)
        self._check_finished(cluster, 8)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_a_rack_fails(self) -> None:
        cluster = await self._build(9)
        await builders.submit(cluster, 30, payload=builders.build_payload(40))
        await cluster.run(5, STEP_SECONDS)
        cluster.set_reachable(False, 0, 3, 6)
        await cluster.run(150, STEP_SECONDS)
        self._check_finished(cluster, 30)

    async def test_an_unreachable_worker_becomes_reachable(self) -> None:
        cluster = await self._build(2)
        await builders.submit(cluster, 8, payload=builders.build_payload(300))
        await cluster.run(5, STEP_SECONDS)
        cluster.set_reachable(False, 0)
        await cluster.run(80, STEP_SECONDS)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual(shard.workers[0].state.name, 'GIVEN_UP')
        self.assertEqual(cluster.agents[0].runs, {})
        cluster.set_reachable(True, 0)
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(shard.workers[0].state.name, 'UP')
        self.assertTrue(cluster.agents[0].runs)

    async def test_a_worker_answers_while_it_is_given_up(self) -> None:
        """Do not extend its lease or start tasks on it in the meantime.

        If that happened while the record that gives it up is being appended,
        tasks could run twice.
        """
        cluster = await self._build(2)
        await cluster.run(5, STEP_SECONDS)
        await builders.submit(cluster, 16, payload=builders.build_payload(300))
        cluster.set_reachable(False, 0)
        await cluster.run(5, STEP_SECONDS)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        # Placed before the failure was detected, and never started.
        self.assertTrue(shard.workers[0].tasks)
        link = cluster.processes['entry-1'].get_owner().links[0]
        while not link.is_lease_expired(cluster.now()):
            await cluster.run(STEP_SECONDS, STEP_SECONDS)
        # The worker answers again while the record is being appended.
        cluster.log.faults.append_delay = 8.0
        await cluster.run(2.5, STEP_SECONDS)
        cluster.set_reachable(True, 0)
        await cluster.run(3, STEP_SECONDS)
        agent = cluster.agents[0]
        self.assertEqual(
            (0, 'UP'), (link.failures, shard.workers[0].state.name)
        )
        self.assertLess(agent.lease_until, agent.clock.read_monotonic())
        cluster.log.faults.append_delay = 0.0
        await cluster.run(60, STEP_SECONDS)
        self.assertEqual(shard.workers[0].state.name, 'UP')
        self.assertTrue(agent.runs)

    async def test_a_late_answer_of_an_old_incarnation_is_ignored(
        self,
    ) -> None:
        """Restart a worker twice while an exchange with it is in progress."""
        cluster = await self._build(1)
        await builders.submit(cluster, 4, payload=builders.build_payload(300))
        await cluster.run(5, STEP_SECONDS)
        owner = cluster.processes['entry-1'].get_owner()
        old_link = owner.links[0]
        client = cluster.connector.clients['memory://0']
        cluster.witness.note_killed(cluster.agents[0])
        second_incarnation = cluster.add_worker(0, 2)
        third_incarnation = cluster.add_worker(0, 3)
        client.agent = third_incarnation
        cluster.connector.clients['memory://0'] = client
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(4, len(third_incarnation.runs))
        old_link.client = standins.MemoryWorkerClient(second_incarnation)
        await old_link.exchange(renew=True)
        await cluster.run(30, STEP_SECONDS)
        worker = owner.shard.workers[0]
        self.assertEqual(
            third_incarnation.registration.incarnation, worker.incarnation
        )
        self.assertEqual(8, cluster.get_report().attempts)

    async def test_a_task_runs_twice_as_another_worker_answers_its_stop(
        self,
    ) -> None:
        """Evict a task while another worker has its worker's address."""
        cluster = await self._build(3)
        await builders.submit(cluster, 3, payload=builders.build_payload(300))
        await cluster.run(5, STEP_SECONDS)
        evicted = set(cluster.agents[0].runs)
        self.assertTrue(evicted)
        client = cluster.connector.clients['memory://0']
        client.agent = cluster.agents[1]
        cluster.publish(builders.take_out(builders.build_document(), 'dc1'))
        await cluster.run(30, STEP_SECONDS)
        # It still has a lease, so its tasks may not run elsewhere yet.
        self.assertEqual(evicted, set(cluster.agents[0].runs))
        await cluster.run(60, STEP_SECONDS)
        self.assertFalse(cluster.agents[0].runs)
        self.assertEqual(3, cluster.get_report().placed)

    async def test_a_task_runs_twice_as_its_worker_registers_elsewhere(
        self,
    ) -> None:
        """Register another incarnation while the earlier one is at work."""
        cluster = await self._build(2)
        await builders.submit(cluster, 4, payload=builders.build_payload(300))
        await cluster.run(5, STEP_SECONDS)
        earlier = cluster.agents[0]
        at_work = set(earlier.runs)
        self.assertTrue(at_work)
        later = await cluster.register_elsewhere(0, 2)
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(at_work, set(earlier.runs))
        cluster.set_reachable(False, 0)
        await cluster.run(120, STEP_SECONDS)
        self.assertFalse(earlier.runs)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual(
            later.registration.incarnation, shard.workers[0].incarnation
        )
        self.assertEqual(4, cluster.get_report().placed)

    async def test_a_late_registration_cuts_off_the_living_incarnation(
        self,
    ) -> None:
        cluster = await self._build(1)
        cluster.set_reachable(False, 0)
        earlier = cluster.agents[0].registration
        later = await cluster.register_elsewhere(0, 2)
        await cluster.run(120, STEP_SECONDS)
        await builders.submit(cluster, 4, payload=builders.build_payload(300))
        await cluster.run(10, STEP_SECONDS)
        self.assertEqual(4, len(later.runs))
        await cluster.register(earlier)
        await cluster.run(120, STEP_SECONDS)
        self.assertEqual(4, len(later.runs))
        self.assertEqual(0, cluster.get_report().abandoned)

    async def test_the_owner_process_dies_and_tasks_keep_running(self) -> None:
        cluster = await self._build(3, 2)
        await builders.submit(cluster, 20, payload=builders.build_payload(20))
        await cluster.run(5, STEP_SECONDS)
        await cluster.processes.pop('entry-1').die()
        await cluster.run(150, STEP_SECONDS)
        self._check_finished(cluster, 20)
        self.assertEqual(cluster.get_report().abandoned, 0)

    async def test_leases_expire_while_the_owner_is_paused(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 6, payload=builders.build_payload(90))
        await cluster.run(5, STEP_SECONDS)
        owner = cluster.processes['entry-1']
        owner.gate.close()
        await cluster.run(_permits.LEASE_SECONDS + 20, STEP_SECONDS)
        self.assertFalse(any(each.runs for each in cluster.agents.values()))
        owner.gate.open()
        await cluster.run(250, STEP_SECONDS)
        self._check_finished(cluster, 6)

    async def test_a_paused_owner_resumes_after_a_takeover(self) -> None:
        cluster = await self._build(3, 2)
        await builders.submit(cluster, 12, payload=builders.build_payload(30))
        first = cluster.processes['entry-1']
        first.gate.close()
        await cluster.run(30, STEP_SECONDS)
        successor = cluster.processes['entry-2'].get_owner()
        self.assertEqual(successor.epoch, 2)
        first.gate.open()
        await cluster.run(100, STEP_SECONDS)
        self.assertEqual(first.get_owner().epoch, 0)
        self._check_finished(cluster, 12)

    async def test_a_restarted_owner_forgets_its_leases_or_waits_for_hours(
        self,
    ) -> None:
        """Restart the owner's process while a worker is cut off."""
        cluster = await self._build(2)
        await builders.submit(cluster, 8, payload=builders.build_payload(300))
        await cluster.run(5, STEP_SECONDS)
        cluster.set_reachable(False, 0)
        await cluster.processes['entry-1'].die()
        await cluster.add_process('entry-1', 2)
        await cluster.run(45, STEP_SECONDS)
        self.assertTrue(cluster.agents[0].runs)
        self.assertEqual(0, cluster.get_report().abandoned)
        await cluster.run(60, STEP_SECONDS)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_a_thawed_owner_renews_while_its_successor_gives_up(
        self,
    ) -> None:
        """Let an owner that lost its claim while frozen go on blindly."""
        cluster = await self._build(2, 2)
        await builders.submit(cluster, 8, payload=builders.build_payload(600))
        await cluster.run(5, STEP_SECONDS)
        first = cluster.processes['entry-1']
        first.gate.close()
        cluster.set_reachable(False, 0)
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(2, cluster.processes['entry-2'].get_owner().epoch)
        first.log.reachable = False
        first.gate.open()
        link = first.get_owner().links[0]
        for _ in range(10):
            cluster.set_reachable(True, 0)
            await link.exchange(renew=True)
            cluster.set_reachable(False, 0)
            await cluster.run(20, STEP_SECONDS)
        self.assertTrue(cluster.agents[0].runs)
        self.assertEqual(0, cluster.get_report().abandoned)
        first.log.reachable = True
        await cluster.run(120, STEP_SECONDS)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_a_successor_waits_for_the_longer_earlier_lease(
        self,
    ) -> None:
        """Take over while the earlier owner's lease outlasts the new ones."""
        cluster = await self._build(2, 2)
        await builders.submit(cluster, 8, payload=builders.build_payload(300))
        cluster.processes['entry-1'].gate.close()
        await cluster.run(18, STEP_SECONDS)
        agent = cluster.agents[0]
        # Much longer than any lease that the successor grants.
        agent.lease_until += 150.0
        await cluster.run(22, STEP_SECONDS)
        cluster.set_reachable(False, 0)
        await cluster.run(110, STEP_SECONDS)
        self.assertTrue(agent.runs)
        self.assertEqual(0, cluster.get_report().abandoned)
        await cluster.run(110, STEP_SECONDS)
        self.assertGreater(cluster.get_report().abandoned, 0)

    async def test_declared_run_times_are_wrong(self) -> None:
        cluster = await self._build(3)
        await builders.submit(
            cluster, 12, run_time=0.5, payload=builders.build_payload(25)
        )
        out = builders.take_out(
            builders.build_document(), 'dc1', leave_within=20.0
        )
        await cluster.run(2, STEP_SECONDS)
        cluster.publish(out)
        await cluster.run(25, STEP_SECONDS)
        self.assertEqual(cluster.agents[0].runs, {})
        await cluster.run(80, STEP_SECONDS)
        self._check_finished(cluster, 12)

    async def test_an_infeasible_job_becomes_feasible(self) -> None:
        cluster = await self._build(3)
        await builders.submit(cluster, 2, data_centres=(builders.DC1,))
        document = builders.build_document()
        cluster.publish(builders.take_out(document, 'dc1'))
        await builders.submit(
            cluster, 2, 'job-2', data_centres=(builders.DC1,)
        )
        await cluster.run(20, STEP_SECONDS)
        report = cluster.get_report('job-2')
        self.assertEqual(report.state, 'impossible')
        self.assertIn('out of service', report.reason)
        cluster.publish(document)
        await cluster.run(30, STEP_SECONDS)
        self.assertEqual(cluster.get_report('job-2').completed, 2)

    async def test_many_jobs_are_cancelled_at_once(self) -> None:
        cluster = await self._build(3)
        api = cluster.processes['entry-1'].api
        names = [identifiers.JobId(f'job-{number}') for number in range(20)]
        for name in names:
            await builders.submit(cluster, 50, name)
        cancelling = asyncio.ensure_future(api.cancel(names))
        await cluster.run(35, STEP_SECONDS)
        self.assertTrue(all(answer.accepted for answer in await cancelling))
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
                cluster, 30, f'job-{number}', payload=builders.build_payload(3)
            )
        await cluster.run(120, STEP_SECONDS)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual(shard.workers[0].task_limit, 0)
        for number in range(3):
            self.assertEqual(cluster.get_report(f'job-{number}').completed, 30)
        cluster.agents[0].fails_everything = False
        await cluster.run(320, 2.0)
        await builders.submit(
            cluster, 200, 'job-9', payload=builders.build_payload(3)
        )
        await cluster.run(60, STEP_SECONDS)
        self.assertEqual(shard.workers[0].task_limit, -1)

    async def test_a_job_fails_everywhere(self) -> None:
        cluster = await self._build(4)
        await builders.submit(
            cluster, 40, payload=builders.build_payload(2, fails=True)
        )
        await cluster.run(30, STEP_SECONDS)
        report = cluster.get_report()
        self.assertEqual((report.state, report.failed), ('failed', 40))
        self.assertIn('worker-', report.reason)
        self.assertIn('exit status 1', report.reason)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        limits = {each.task_limit for each in shard.workers.values()}
        self.assertEqual(limits, {-1})

    async def test_tasks_keep_running_while_the_log_is_down_for_an_hour(
        self,
    ) -> None:
        cluster = await self._build(2)
        await builders.submit(cluster, 4, payload=builders.build_payload(3000))
        await cluster.run(5, STEP_SECONDS)
        faults = cluster.log.faults
        faults.append_down = faults.read_down = True
        await cluster.run(3600, 4.0)
        completed = [
            run for run in cluster.list_runs() if run.progress >= 3000
        ]
        self.assertEqual(len(completed), 4)
        faults.append_down = faults.read_down = False
        await cluster.run(60, STEP_SECONDS)
        self._check_finished(cluster, 4)
        self.assertEqual(cluster.get_report().attempts, 4)

    async def test_the_log_is_slow(self) -> None:
        cluster = await self._build(3)
        cluster.log.faults.append_delay = 2.0
        cluster.log.faults.read_delay = 1.0
        await builders.submit(cluster, 10)
        await cluster.run(90, STEP_SECONDS)
        self._check_finished(cluster, 10)

    async def test_answers_are_lost_after_requests_took_effect(self) -> None:
        cluster = await self._build(3)
        for client in cluster.connector.clients.values():
            client.lost_answers = 6
        cluster.log.faults.lost_answers = 4
        cluster.log.faults.duplicates = 4
        await builders.submit(cluster, 10)
        await cluster.run(90, STEP_SECONDS)
        self._check_finished(cluster, 10)

    async def test_data_centres_are_taken_out_and_returned_repeatedly(
        self,
    ) -> None:
        cluster = await self._build(6)
        document = builders.build_document()
        await builders.submit(
            cluster, 40, checkpointing=True, payload=builders.build_payload(20)
        )
        for repetition in range(12):
            names = (
                ('dc1', 'dc2')
                if repetition % 3 == 0
                else (f'dc{repetition % 3}',)
            )
            cluster.publish(builders.take_out(document, *names))
            await cluster.run(1.5, 0.1)
            cluster.publish(document)
            await cluster.run(1.0, 0.1)
        await cluster.run(200, STEP_SECONDS)
        self._check_finished(cluster, 40)

    async def test_nothing_starts_late_after_a_pause(self) -> None:
        """Delay start commands across a take-out and a pause of the owner."""
        refused = 0
        for delay in (0.5, 1.5, 2.5, 4.0):
            for pause in (0.0, 2.0, 30.0):
                with self.subTest(delay=delay, pause=pause):
                    refused += await self._count_refused_late_starts(
                        delay, pause
                    )
        # Workers refused the commands that arrived too late.
        self.assertGreater(refused, 0)

    async def _count_refused_late_starts(
        self, delay: float, pause: float
    ) -> int:
        cluster = await self._build(3)
        process = cluster.processes['entry-1']
        await cluster.run(1, STEP_SECONDS)
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

    async def test_services_keep_their_replicas_while_two_data_centres_leave(
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
        await cluster.run(20, STEP_SECONDS)
        self.assertEqual(self._count_replicas(cluster), [2, 2, 2])
        cluster.publish(builders.take_out(document, 'dc1', 'dc2'))
        for _ in range(60):
            await cluster.run(1, STEP_SECONDS)
            running = sum(self._count_replicas(cluster))
            self.assertGreaterEqual(running, 6)
        self.assertEqual(self._count_replicas(cluster), [0, 0, 6])

    async def test_a_rolling_update_keeps_the_number_of_replicas(self) -> None:
        cluster = await self._build(6)
        for revision in ('1', '2'):
            service = operators.Service(
                team=builders.TEAM, replicas=5, revision=revision
            )
            cluster.publish(
                builders.build_document(services={SERVICE: service})
            )
            for second in range(40):
                await cluster.run(1, STEP_SECONDS)
                if revision == '2' or second > 20:
                    running = sum(self._count_replicas(cluster))
                    self.assertGreaterEqual(running, 5)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        revisions = {
            attempt.revision for attempt in shard.jobs[0].running.values()
        }
        self.assertEqual(revisions, {'2'})

    def _count_replicas(self, cluster: builders.CheckedCluster) -> list[int]:
        """Return the number of replicas in each data centre."""
        counts = [0, 0, 0]
        for number, agent in cluster.agents.items():
            counts[number % 3] += len(agent.runs)
        return counts
