"""Test that tasks which crash their workers are given up, and no others."""

import typing
import unittest

import msgspec

from chivespoke import clock as clocks
from chivespoke import decisions
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _context
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _index
from chivespoke.scheduling import _link
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke.scheduling.tests import builders
from chivespoke import standins
from chivespoke import workers
from chivespoke import workloads

STEP_SECONDS = 0.25
DEADLY = builders.build_payload(crashes=True)
# Starts of a task that has crashed three workers, and two more.
MAX_STARTS = 5
CRASHED_AT_MS = 1_700_000_000_000


class Case(msgspec.Struct, frozen=True):
    """Hold records about a worker whose two tasks are of two jobs."""

    name: str
    records: tuple[_records.Record, ...]
    # Tasks that are suspected afterwards, with the number of crashes.
    suspects: dict[int, dict[int, int]]
    # Records of further jobs, which come first.
    before: tuple[_records.Record, ...] = ()


def build_worker(number: int = 0) -> _records.WorkerRegistered:
    """Return the registration of a worker."""
    return _records.WorkerRegistered(
        identifiers.WorkerId(f'worker-{number}'),
        identifiers.Incarnation('1'),
        builders.DC1,
        identifiers.RackName('rack-1'),
        resources.Resources(16_000, 61_440, 0),
        f'memory://{number}',
    )


def build_crash(
    number: int = 0,
    life: int = 2,
    lost: tuple[tuple[int, int, int, int], ...] = (),
    **changes: typing.Any,
) -> _records.WorkerRegistered:
    """Return the record of a worker that is back after a crash.

    Lost attempts are job, index, attempt and age in milliseconds.
    """
    record = msgspec.structs.replace(
        build_worker(number),
        incarnation=identifiers.Incarnation(str(life)),
        epoch=1,
        previous=identifiers.Incarnation(str(life - 1)),
        crashed_at_ms=CRASHED_AT_MS + 1000 * life,
        lost=tuple(_records.LostAttempt(*each) for each in lost),
    )
    return msgspec.structs.replace(record, **changes)


def build_fold(*records: _records.Record) -> scheduling.ShardFold:
    """Return a fold with eight workers and two jobs, both on worker 0."""
    fold = scheduling.ShardFold('default')
    start: list[_records.Record] = [
        *(build_worker(number) for number in range(8)),
        _records.OwnerClaimed(1, identifiers.Incarnation('entry-1:1')),
        _records.ConfigurationObserved(3, (), {}),
        builders.build_submission('job-1', 4),
        builders.build_submission('job-2', 4),
        _records.AttemptPlaced(0, 0, 1, 0, 3),
        _records.AttemptPlaced(1, 0, 1, 0, 3),
    ]
    for record in (*start, *records):
        refusal = fold.apply_at(record, fold.shard.offset + 1)
        if refusal is not None:
            raise AssertionError(refusal, record)
    return fold


def count_suspects(
    fold: scheduling.ShardFold,
) -> dict[int, dict[int, int]]:
    """Return the number of crashes of each suspect, by job and index."""
    return {
        job: {index: len(crashes) for index, crashes in tasks.items()}
        for job, tasks in fold.shard.suspects.items()
    }


YOUNG = (0, 0, 1, 10)
SETTLED = (1, 0, 1, 5_000)
AGAIN = _records.AttemptPlaced(0, 0, 2, 1, 3)
CASES = (
    Case('young', (build_crash(lost=(YOUNG, SETTLED)),), {0: {0: 1}}),
    Case(
        'both young',
        (build_crash(lost=(YOUNG, (1, 0, 1, 0))),),
        {0: {0: 1}, 1: {0: 1}},
    ),
    Case('settled', (build_crash(lost=(SETTLED,)),), {}),
    Case('not started', (build_crash(),), {}),
    Case('an earlier attempt', (build_crash(lost=((0, 0, 0, 10),)),), {}),
    Case(
        'not heard before, or said by an earlier program',
        (build_crash(lost=(YOUNG,), crashed_at_ms=0),),
        {},
    ),
    Case(
        'given up in a cut',
        (
            _records.WorkerGivenUp(0, 1, 'its lease lapsed'),
            build_crash(lost=(YOUNG,)),
        ),
        {},
    ),
    Case(
        'data centre taken out',
        (
            _records.ConfigurationObserved(4, (builders.DC1,), {}),
            build_crash(lost=(YOUNG,)),
        ),
        {},
    ),
    Case(
        'survived the next time',
        (
            build_crash(lost=(YOUNG,)),
            AGAIN,
            _records.OwnerRenewed(1, ((0, 0, 2),)),
        ),
        {},
    ),
    Case(
        'another attempt survived',
        (
            build_crash(lost=(YOUNG,)),
            AGAIN,
            _records.OwnerRenewed(1, ((0, 0, 1),)),
        ),
        {0: {0: 1}},
    ),
    Case(
        'completed the next time',
        (
            build_crash(lost=(YOUNG,)),
            AGAIN,
            _records.AttemptEnded(0, 0, 2, _records.Outcome.COMPLETED),
        ),
        {},
    ),
    Case(
        'failed for good the next time',
        (
            build_crash(lost=((2, 0, 1, 10),)),
            _records.AttemptPlaced(2, 0, 2, 1, 3),
            _records.AttemptEnded(2, 0, 2, _records.Outcome.FAILED),
        ),
        {},
        (
            builders.build_submission('job-3', 1, retries=0),
            _records.AttemptPlaced(2, 0, 1, 0, 3),
        ),
    ),
    Case(
        'cancelled',
        (build_crash(lost=(YOUNG,)), _records.JobCancelled(0)),
        {},
    ),
    Case(
        'crashed again',
        (
            build_crash(lost=(YOUNG,)),
            AGAIN,
            build_crash(1, lost=((0, 0, 2, 0),)),
        ),
        {0: {0: 2}},
    ),
    Case(
        'outage of a rack',
        (
            build_crash(lost=(YOUNG,)),
            *(build_crash(number) for number in range(1, 5)),
        ),
        {},
    ),
    Case(
        'several deadly tasks at once',
        (
            _records.AttemptPlaced(0, 1, 1, 1, 3),
            _records.AttemptPlaced(1, 1, 1, 2, 3),
            build_crash(0, lost=(YOUNG,)),
            build_crash(1, lost=((0, 1, 1, 0),)),
            build_crash(2, lost=((1, 1, 1, 0),)),
        ),
        {0: {0: 1, 1: 1}, 1: {1: 1}},
    ),
)


class EvidenceTest(unittest.TestCase):
    """Apply records about crashes to a small shard."""

    def test_a_crash_blames_young_attempts_only(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                fold = build_fold(*case.before, *case.records)
                self.assertEqual(case.suspects, count_suspects(fold))

    def test_a_snapshot_loses_the_crashes_of_a_task(self) -> None:
        fold = build_fold(
            build_crash(lost=(YOUNG, SETTLED)),
            AGAIN,
            _records.OwnerClaimed(2, identifiers.Incarnation('entry-2:1')),
        )
        copy = scheduling.ShardFold('default')
        copy.restore_state(fold.encode_state())
        crash = build_crash(1, lost=((0, 0, 2, 0),), epoch=2)
        for each in (fold, copy):
            self.assertIsNone(each.apply_at(crash, 99))
            self.assertEqual({0: 0}, _crashes.find_hopeless(each.shard))
        self.assertEqual(fold.encode_state(), copy.encode_state())
        self.assertEqual(
            (
                workloads.Crash(
                    'worker-0', 'worker-0', CRASHED_AT_MS + 2000, 1, True
                ),
                workloads.Crash(
                    'worker-1', 'worker-1', CRASHED_AT_MS + 2000, 2, True
                ),
            ),
            _crashes.find_crashes(copy.shard, 0, 0),
        )

    def test_a_service_that_is_given_up_loses_replicas_at_work(self) -> None:
        kind = workers.TaskKind.LATENCY_CRITICAL
        fold = build_fold(
            builders.build_submission('service:web', 0, kind=kind),
            _records.ReplicasAdded(2, 0, 3),
            _records.AttemptPlaced(2, 0, 1, 5, 3),
            _records.AttemptPlaced(2, 1, 1, 1, 3),
            build_crash(1, lost=((2, 1, 1, 0),)),
            _records.AttemptPlaced(2, 1, 2, 2, 3),
            build_crash(2, lost=((2, 1, 2, 0),)),
            _records.JobFailed(2, 'its replica 1 crashed workers'),
        )
        job = fold.shard.jobs[2]
        self.assertEqual([0], list(job.running))
        self.assertFalse(job.running[0].stop_requested)
        self.assertEqual(2, job.counts.failed)
        # Another revision may start.
        revised = builders.build_spec(kind=kind, revision='2')
        fold.apply_at(_records.JobRevised(2, revised), 99)
        self.assertEqual('OPEN', job.phase.name)
        self.assertEqual({}, fold.shard.suspects)


class DeadlyTaskTest(unittest.IsolatedAsyncioTestCase):
    """Run deadly tasks beside good jobs."""

    async def _build(
        self, *counts: int, **options: typing.Any
    ) -> builders.CheckedCluster:
        cluster = await builders.build_cluster(*counts, **options)
        self.addAsyncCleanup(cluster.stop)
        return cluster

    def _check_deadly(
        self, cluster: builders.CheckedCluster, *names: str
    ) -> None:
        crashed_workers = 0
        for name in names:
            report = cluster.get_report(name)
            crashed_workers += report.crashed_workers
            self.assertEqual('failed', report.state, report)
            self.assertRegex(report.reason, f'task {name}/0 crashed')
            self.assertLessEqual(report.attempts, MAX_STARTS)
        self.assertGreaterEqual(crashed_workers, len(cluster.crashes))

    async def test_a_deadly_task_walks_through_the_fleet(self) -> None:
        # Seconds after the start at which the owner is cut off.
        for cut_off_after in (None, 0.25, 1.0, 3.0, 6.0, 9.0):
            with self.subTest(cut_off_after=cut_off_after):
                cluster = await self._build(6, 2)
                await builders.submit(cluster, 12, 'job-1')
                await cluster.run(3, STEP_SECONDS)
                await builders.submit(cluster, 1, 'deadly', payload=DEADLY)
                if cut_off_after is not None:
                    await cluster.run(cut_off_after, STEP_SECONDS)
                    cluster.processes['entry-1'].gate.close()
                await cluster.run(120, STEP_SECONDS)
                self._check_deadly(cluster, 'deadly')
                good = cluster.get_report('job-1')
                self.assertEqual('completed', good.state, good)
                self.assertEqual(12, good.completed)

    async def test_jobs_started_beside_a_deadly_one_fail(self) -> None:
        cluster = await self._build(6)
        for name in ('job-1', 'deadly', 'job-2'):
            payload = DEADLY if name == 'deadly' else builders.build_payload()
            await builders.submit(cluster, 1, name, payload=payload)
        await builders.submit(cluster, 18, 'job-3')
        await cluster.run(90, STEP_SECONDS)
        self._check_deadly(cluster, 'deadly')
        for name in ('job-1', 'job-2', 'job-3'):
            report = cluster.get_report(name)
            self.assertEqual('completed', report.state, report)
            self.assertEqual(0, report.crashed_workers)

    async def test_operators_cannot_see_which_task_crashes_workers(
        self,
    ) -> None:
        cluster = await self._build(4)
        await builders.submit(cluster, 1, 'deadly', payload=DEADLY)
        api = cluster.processes['entry-1'].api
        explainer = scheduling.SchedulingExplainer(api)
        status = scheduling.SchedulingStatus(api)
        described: list[str] = []
        for _ in range(120):
            await cluster.run(STEP_SECONDS, STEP_SECONDS)
            explanation = explainer.explain('task', 'deadly/0')
            if explanation is not None:
                described.extend(explanation.why)
            if len(cluster.crashes) == 1:
                described.extend(status.make_section().troubles)
        job = explainer.explain('job', 'deadly')
        assert job is not None
        self.assertEqual('2', job.details['workers crashed'])
        self.assertRegex(job.why[0], 'task deadly/0 crashed 2 workers: worker')
        self.assertEqual('2', status.make_section().lines['workers crashed'])
        for expected in (
            'suspected, as task deadly/0 crashed 1 workers: worker',
            'job deadly is suspected of 1 crashes of workers',
            'task deadly/0 crashed 2 workers: worker',
        ):
            self.assertTrue(
                any(text.startswith(expected) for text in described), expected
            )

    async def test_two_deadly_jobs_hide_each_other(self) -> None:
        cluster = await self._build(4)
        stream = cluster.processes['entry-1'].api.streams['default']
        for name in ('deadly-1', 'deadly-2'):
            stream.propose(builders.build_submission(name, 1, payload=DEADLY))
        await builders.submit(cluster, 6)
        await cluster.run(120, STEP_SECONDS)
        self._check_deadly(cluster, 'deadly-1', 'deadly-2')
        self.assertEqual('completed', cluster.get_report().state)

    async def test_a_bad_worker_fails_the_jobs_on_it(self) -> None:
        """Crash one worker again and again, soon after it is back."""
        for pause_seconds in (4.0, 5.0, 8.0):
            with self.subTest(pause_seconds=pause_seconds):
                cluster = await self._build(3)
                for number in range(4):
                    await builders.submit(cluster, 4, f'job-{number}')
                for _ in range(12):
                    cluster.crash(0)
                    await cluster.run(pause_seconds, STEP_SECONDS)
                await cluster.run(60, STEP_SECONDS)
                for number in range(4):
                    report = cluster.get_report(f'job-{number}')
                    self.assertEqual('completed', report.state, report)

    async def test_an_outage_of_a_rack_blames_the_youngest_tasks(
        self,
    ) -> None:
        cluster = await self._build(9)
        await builders.submit(cluster, 9, payload=builders.build_payload(40))
        await cluster.run(5, STEP_SECONDS)
        await builders.submit(cluster, 3, 'job-2')
        cluster.crash(0, 3, 6, 1, 4, 7)
        await cluster.run(30, STEP_SECONDS)
        shard = cluster.processes['entry-1'].api.streams['default'].fold.shard
        self.assertEqual({}, shard.suspects)
        await cluster.run(90, STEP_SECONDS)
        for name in ('job-1', 'job-2'):
            self.assertEqual('completed', cluster.get_report(name).state)

    async def test_a_suspect_brings_other_jobs_under_suspicion(self) -> None:
        """Start deadly tasks among many short good ones."""
        for seconds in (2.0, 12.0):
            with self.subTest(seconds=seconds):
                cluster = await self._build(6)
                payload = builders.build_payload(seconds)
                stream = cluster.processes['entry-1'].api.streams['default']
                for number in range(30):
                    name = f'job-{number}'
                    stream.propose(
                        builders.build_submission(name, 2, payload=payload)
                    )
                    if number == 5:
                        stream.propose(
                            builders.build_submission(
                                'deadly', 1, payload=DEADLY
                            )
                        )
                    await cluster.run(1, STEP_SECONDS)
                await cluster.run(90, STEP_SECONDS)
                self._check_deadly(cluster, 'deadly')
                self.assertEqual(
                    len(set(cluster.crashes)), len(cluster.crashes)
                )
                for lost in cluster.lost[1:]:
                    young = [
                        task_id
                        for task_id, age in lost.items()
                        if age < decisions.SUSPECT_AGE_SECONDS
                    ]
                    self.assertEqual(['deadly/0'], young)
                for number in range(30):
                    report = cluster.get_report(f'job-{number}')
                    self.assertEqual('completed', report.state, report)


class IsolationTest(unittest.TestCase):
    """Place suspects and other tasks on a small shard."""

    def _build_placer(self, fold: scheduling.ShardFold) -> _placer.Placer:
        index = _index.WorkerIndex()
        index.rebuild(fold.shard, 0.0)
        return _placer.Placer(fold, index, scheduling.FirstFit())

    def _place(self, placer: _placer.Placer) -> dict[tuple[int, int], int]:
        """Return the workers of the tasks in the next batch."""
        return {
            (placed.job, placed.index): placed.worker
            for placed in placer.propose_batch(3)
        }

    def test_a_suspect_starts_apart_from_other_jobs(self) -> None:
        placer = self._build_placer(build_fold(build_crash(lost=(YOUNG,))))
        places = self._place(placer)
        suspect = places.pop((0, 0))
        self.assertNotEqual(0, suspect)
        self.assertNotIn(suspect, places.values())
        self.assertEqual(7, len(places))

    def test_a_suspect_starts_on_a_worker_with_young_attempts(self) -> None:
        placer = self._build_placer(build_fold(build_crash(lost=(YOUNG,))))
        placer.isolation.is_settled = lambda worker, job: worker in (0, 3)
        self.assertEqual(3, self._place(placer)[(0, 0)])

    def test_a_suspect_starves_behind_young_attempts(self) -> None:
        """Hold a worker for it, so that the attempts there settle."""
        placer = self._build_placer(build_fold(build_crash(lost=(YOUNG,))))
        placer.isolation.is_settled = lambda worker, job: False
        places = self._place(placer)
        self.assertNotIn((0, 0), places)
        (held,) = placer.isolation.held
        self.assertNotIn(held, places.values())
        placer.isolation.is_settled = lambda worker, job: worker == held
        self.assertEqual(held, self._place(placer)[(0, 0)])

    def test_suspects_hold_the_whole_fleet(self) -> None:
        lost = []
        records: list[_records.Record] = []
        for number in range(2, 6):
            name = f'job-{number + 1}'
            records.append(builders.build_submission(name, 1))
            records.append(_records.AttemptPlaced(number, 0, 1, 6, 3))
            lost.append((number, 0, 1, 0))
        fold = build_fold(*records, build_crash(6, lost=tuple(lost)))
        placer = self._build_placer(fold)
        suspects = {(number, 0) for number in range(2, 6)}
        places = self._place(placer)
        # A quarter of eight workers.
        self.assertEqual(2, len(suspects & set(places)))
        self.assertEqual(2, len(tuple(placer.isolation.held)))

    def test_a_hopeless_task_starts_once_more(self) -> None:
        fold = build_fold(
            build_crash(lost=(YOUNG,)),
            AGAIN,
            build_crash(1, lost=((0, 0, 2, 0),)),
        )
        places = self._place(self._build_placer(fold))
        self.assertEqual({1}, {job for job, _ in places})


class LinkOwner(_context.LinkContext):
    """Own one link to worker 0 of a fold, on a clock moved by hand."""

    def __init__(self, fold: scheduling.ShardFold) -> None:
        self.fold = fold
        self.clock = clocks.ManualClock()
        self.proposed: list[_records.Record] = []
        self.client = standins.MemoryWorkerClient(self.make_agent(1))
        self.link = _link.WorkerLink(
            self, 0, fold.shard.workers[0], self.client
        )

    def make_agent(self, life: int) -> standins.WorkerAgent:
        """Return an incarnation of worker 0."""
        registration = workers.Registration(
            worker_id=identifiers.WorkerId('worker-0'),
            incarnation=identifiers.Incarnation(str(life)),
            data_centre=builders.DC1,
            rack=identifiers.RackName('rack-1'),
            capacity=resources.Resources(16_000, 61_440, 0),
        )
        return standins.WorkerAgent(registration, self.clock)

    async def exchange(self, seconds: float = 5.0) -> None:
        """Let time pass, then renew the lease and send commands."""
        self.clock.advance(seconds)
        await self.link.exchange(renew=True)

    def place(self, job: int, index: int, attempt: int) -> None:
        """Place an attempt on the worker."""
        record = _records.AttemptPlaced(job, index, attempt, 0, 3)
        refusal = self.fold.apply_at(record, self.shard.offset + 1)
        if refusal is not None:
            raise AssertionError(refusal)

    def find_young(self) -> list[tuple[int, int]]:
        """Return the tasks that the last registration calls young."""
        registered = self.proposed[-1]
        assert isinstance(registered, _records.WorkerRegistered)
        return [
            (lost.job, lost.index)
            for lost in registered.lost
            if lost.age_ms < 1000 * decisions.SUSPECT_AGE_SECONDS
        ]

    @property
    def shard(self) -> _state.Shard:
        return self.fold.shard

    @property
    def epoch(self) -> int:
        return 1

    def read_clock(self) -> float:
        return self.clock.read_monotonic()

    def read_wall_clock(self) -> float:
        return self.clock.read_wall()

    def get_shard_read_time(self) -> float | None:
        return self.read_clock()

    def get_start_read_time(self) -> float | None:
        return self.read_clock()

    def may_start_in(self, name: identifiers.DataCentreName) -> bool:
        return True

    def connect(self, address: str) -> workers.WorkerClient:
        return self.client

    def propose(self, record: _records.Record) -> None:
        self.proposed.append(record)

    def handle_usage_report(
        self, number: int, report: workers.UsageReport
    ) -> None:
        return None


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Exchange messages with a worker that crashes."""

    async def test_an_attempt_placed_after_a_crash_is_blamed_for_it(
        self,
    ) -> None:
        owner = LinkOwner(build_fold())
        await owner.exchange()
        await owner.exchange()
        owner.client.agent = owner.make_agent(2)
        await owner.exchange()
        self.assertEqual([], owner.find_young())
        owner.place(0, 1, 1)
        # The start may seem to have reached the earlier incarnation.
        owner.link.renewed_at = owner.read_clock()
        owner.client.reachable = False
        await owner.link.exchange()
        owner.client.reachable = True
        await owner.exchange()
        self.assertEqual([], owner.find_young())

    async def test_a_suspect_is_blamed_for_an_earlier_crash(self) -> None:
        """Place a suspect on a worker whose crash nobody has noticed."""
        fold = build_fold(
            _records.AttemptPlaced(0, 1, 1, 1, 3),
            build_crash(1, lost=((0, 1, 1, 0),)),
        )
        owner = LinkOwner(fold)
        await owner.exchange()
        await owner.exchange()
        owner.client.agent.crashed = True
        owner.place(0, 1, 2)
        owner.clock.advance(4.0)
        await owner.link.exchange()
        owner.client.agent = owner.make_agent(2)
        await owner.exchange()
        self.assertEqual([], owner.find_young())
