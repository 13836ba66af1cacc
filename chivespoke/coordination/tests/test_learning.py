"""Tests of what the leader learns and hands over; no I/O."""

import math
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke import coordination
from chivespoke.coordination import _learned_record
from chivespoke.coordination import _learning
from chivespoke.coordination import _records
from chivespoke.coordination.tests import builders
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

STEP = workloads.Step(
    count=4,
    cpu_millis=1000,
    estimated_ms=500,
    image='f1',
    filler=True,
    max_per_worker=4,
)
STEP_ID = f'{builders.JOB}.0.0'
# Work of each task at full speed, 20 times the estimate.
WORK_SECONDS = 10.0
POLL_SECONDS = 0.5
ENCODER = msgspec.msgpack.Encoder()
OTHER_QUEUE = 'q2'


def make_shared_state(
    priority: int = 2, service: str = builders.SERVICE
) -> coordination.DesiredState:
    """Return a desired state with a second queue."""
    desired_state = builders.make_desired_state()
    configuration = desired_state.configuration
    terms = msgspec.structs.replace(
        builders.TERMS, priority=priority, service=service
    )
    other = workloads.Queue(OTHER_QUEUE, 'host', '/other/', terms)
    return msgspec.structs.replace(
        desired_state,
        configuration=msgspec.structs.replace(
            configuration, queues=(*configuration.queues, other)
        ),
    )


def make_pair(
    number: int, name_length: int = 10, weight: float = 1.0
) -> decisions.CoefficientState:
    """Return the interference of a pair of images with long names."""
    name = f'{number}'.rjust(name_length, 'i')
    return decisions.CoefficientState(f's{number % 7}', name, 2.5, weight)


class LearningTest(unittest.TestCase):
    """Replay runs that a pacer slows, on one worker, and changes of leader."""

    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.leader.desired_state = make_shared_state()
        self.clock_ms = 1000
        # Work done at full speed in seconds, by task.
        self.running: dict[str, float] = {}
        self.ends: list[platform.EndedRun] = []

    def start(
        self, step: workloads.Step = STEP, identifier: str = builders.JOB
    ) -> None:
        self.leader.report(builders.make_report(clock_ms=self.clock_ms))
        self.leader.submit(builders.make_job(step, identifier=identifier))
        self.leader.plan()
        starts = self.leader.make_directive().starts
        for start in starts:
            self.running[start.task] = 0.0
        outcomes = tuple(
            coordination.OrderOutcome(start.task, start.run)
            for start in starts
        )
        self.leader.report(
            builders.make_report(
                ended=tuple(self.ends),
                outcomes=outcomes,
                clock_ms=self.clock_ms,
            )
        )

    def pass_time(self, seconds: float, share: float = 0.5) -> None:
        """Let the runs work at a share of full speed."""
        for _ in range(int(seconds / POLL_SECONDS)):
            self.leader.now += POLL_SECONDS
            self.clock_ms += int(POLL_SECONDS * 1000)
            for task in tuple(self.running):
                self.running[task] += POLL_SECONDS * share
                if self.running[task] >= WORK_SECONDS:
                    del self.running[task]
                    number = len(self.ends) + 1
                    self.ends.append(builders.make_end(number, task))
            running = tuple(
                platform.RunningTask(
                    task, 1, '', 100 * work / WORK_SECONDS, 1000 * share
                )
                for task, work in self.running.items()
            )
            self.leader.report(
                builders.make_report(
                    running=running,
                    ended=tuple(self.ends),
                    clock_ms=self.clock_ms,
                )
            )
            self.leader.plan()

    def replace_leader(self, seconds: float = 0.0) -> None:
        """Let another leader take over from the records."""
        now, desired_state = self.leader.now, self.leader.desired_state
        token = self.leader.engine.state.fences.find_token('')
        epoch = token // 65_536 + 1
        self.leader = builders.Leader(self.leader.ledger, epoch)
        self.leader.now = now + seconds
        self.leader.desired_state = desired_state
        self.leader.plan()

    def estimate(
        self, step_id: str = STEP_ID, step: workloads.Step = STEP
    ) -> float:
        return self.leader.engine.state.durations.estimate_seconds(
            builders.QUEUE, step_id, step
        )

    def teach_interference(self, samples: int = 400) -> None:
        for number in range(samples):
            share = 0.3 * math.sin(number)
            self.leader.engine.state.interference.learn(
                's1', 6.0 * share, {'f1': share}
            )

    def find_coefficient(self) -> float:
        return self.leader.engine.state.interference.find_coefficient(
            's1', 'f1'
        )

    def test_work_at_full_speed_is_learned_from_runs_that_are_paced(
        self,
    ) -> None:
        for share in (0.1, 0.5, 1.0):
            with self.subTest(share=share):
                self.setUp()
                self.start()
                self.assertEqual(0.5, self.estimate())
                self.pass_time(2.0 / share, share)
                self.assertAlmostEqual(
                    WORK_SECONDS, self.estimate(), delta=2.5
                )
                self.pass_time(9.0 / share, share)
                self.assertEqual([], list(self.running))
                # One step moves the estimates of the others part of the way.
                self.assertGreater(self.estimate('later.0.0'), 0.5)
                self.assertLess(self.estimate('later.0.0'), WORK_SECONDS)

    def test_runs_too_short_to_be_followed_are_learned(self) -> None:
        step = msgspec.structs.replace(STEP, estimated_ms=60_000)
        for number in range(20):
            self.start(step, f'{number:016x}')
            for task in self.running:
                self.running[task] = WORK_SECONDS
            self.pass_time(POLL_SECONDS)
            self.assertEqual({}, self.running)
        self.assertLess(self.estimate('later.0.0', step), 2.0)

    def test_estimates_are_as_declared_unless_priorities_share_a_service(
        self,
    ) -> None:
        for name, desired_state, is_used in (
            ('one queue', builders.make_desired_state(), False),
            ('same priority', make_shared_state(priority=0), False),
            ('other service', make_shared_state(service='s2'), False),
            ('shared', make_shared_state(), True),
        ):
            with self.subTest(name):
                self.setUp()
                self.leader.desired_state = desired_state
                self.teach_interference()
                self.start()
                self.pass_time(8.0)
                self.assertEqual(is_used, self.estimate() != 0.5)
                self.assertEqual(is_used, bool(self.leader.ledger.learned))

    def test_successor_has_what_was_learned(self) -> None:
        self.start()
        self.teach_interference()
        self.pass_time(8.0)
        seconds, coefficient = self.estimate(), self.find_coefficient()
        self.replace_leader(seconds=3.0)
        self.assertAlmostEqual(seconds, self.estimate(), delta=0.1 * seconds)
        self.assertAlmostEqual(coefficient, self.find_coefficient(), delta=0.3)
        age = self.leader.engine.learned_record_age
        assert age is not None
        self.assertGreaterEqual(age, 3.0)
        self.assertLess(age, 12.0)

    def test_knowledge_lasts_over_six_leaders_in_twenty_seconds(self) -> None:
        self.start()
        self.teach_interference()
        self.pass_time(8.0)
        seconds, coefficient = self.estimate(), self.find_coefficient()
        for _ in range(6):
            self.replace_leader(seconds=3.0)
        self.assertAlmostEqual(seconds, self.estimate(), delta=0.1 * seconds)
        self.assertAlmostEqual(coefficient, self.find_coefficient(), delta=0.5)

    def test_old_knowledge_counts_less(self) -> None:
        self.teach_interference()
        self.start()
        self.pass_time(8.0)
        prior = decisions.FixedInterferenceModel().find_coefficient('s', 'f')
        distances = []
        for seconds in (0.0, 3600.0, 48 * 3600.0):
            self.replace_leader(seconds)
            distances.append(abs(self.find_coefficient() - prior))
        self.assertEqual(sorted(distances, reverse=True), distances)
        self.assertLess(distances[-1], 0.01)

    def test_leader_lost_before_its_record_leaves_the_earlier_one(
        self,
    ) -> None:
        self.start()
        self.teach_interference()
        self.pass_time(8.0)
        coefficient = self.find_coefficient()
        recorded = self.leader.ledger.learned
        for _ in range(200):
            # Learned, but never recorded.
            self.leader.engine.state.interference.learn('s1', 0.0, {'f1': 0.3})
        self.replace_leader()
        self.assertEqual(recorded, self.leader.ledger.learned)
        self.assertAlmostEqual(coefficient, self.find_coefficient(), delta=0.3)

    def test_leader_without_a_record_starts_as_before(self) -> None:
        self.replace_leader()
        self.assertIsNone(self.leader.engine.learned_record_age)
        self.assertEqual(0.5, self.estimate())
        self.assertEqual(
            decisions.FixedInterferenceModel().find_coefficient('s', 'f'),
            self.find_coefficient(),
        )

    def test_unusable_records_are_skipped(self) -> None:
        self.start()
        self.teach_interference()
        self.pass_time(8.0)
        whole = msgspec.msgpack.decode(self.leader.ledger.learned)
        damages = {
            'cut off': self.leader.ledger.learned[:-3],
            'no message': b'\xc1',
            'not a number': {'pairs': [[0, 1, math.nan, 0]]},
            'infinite': {'pairs': [[0, 1, math.inf, 0]]},
            'huge coefficient': {'pairs': [[0, 1, 10**9, 0]]},
            'huge weight': {'pairs': [[0, 1, 100, 10**6]]},
            'negative index': {'pairs': [[-1, 1, 100, 0]]},
            'unknown name': {'pairs': [[0, 99, 100, 0]]},
            'negative variance': {
                'fits': [[0, True, 0, 0, 0, -1, 0, 0]],
            },
            'negative count': {'steps': [[STEP_ID, 100, -1]]},
            'negative time': {'written_ms': -1},
            'huge time': {'written_ms': 2**60},
        }
        for name, damage in damages.items():
            encoded = (
                damage
                if isinstance(damage, bytes)
                else ENCODER.encode(whole | damage)
            )
            with self.subTest(name):
                leader = builders.Leader()
                leader.desired_state = make_shared_state()
                leader.write(
                    platform.encode_record(_records.LEARNED_KEY, encoded)
                )
                successor = builders.Leader(leader.ledger)
                successor.desired_state = make_shared_state()
                successor.plan()
                self.assertIsNone(successor.engine.learned_record_age)
                model = successor.engine.state.interference
                self.assertEqual((), model.export())

    def test_record_of_a_later_version_is_read(self) -> None:
        self.start()
        self.teach_interference()
        self.pass_time(8.0)
        seconds, coefficient = self.estimate(), self.find_coefficient()
        whole = msgspec.msgpack.decode(self.leader.ledger.learned)
        whole['new_field'] = {'a': 1}
        for rows in ('pairs', 'fits', 'images', 'steps'):
            self.assertTrue(whole[rows])
            whole[rows] = [[*row, 7] for row in whole[rows]]
        self.leader.write(
            platform.encode_record(_records.LEARNED_KEY, ENCODER.encode(whole))
        )
        self.replace_leader()
        self.assertAlmostEqual(seconds, self.estimate(), delta=0.1 * seconds)
        self.assertAlmostEqual(coefficient, self.find_coefficient(), delta=0.3)

    def test_ledger_keeps_the_record_undecoded(self) -> None:
        ledger = coordination.Ledger()
        record = platform.Record(0, _records.LEARNED_KEY, b'\xc1')
        ledger.apply(record)
        self.assertEqual(b'\xc1', ledger.learned)
        ledger.retain(frozenset({_records.LEARNED_KEY}))
        self.assertEqual(b'\xc1', ledger.learned)
        ledger.retain(frozenset())
        self.assertEqual(b'', ledger.learned)

    def test_ledger_skips_records_of_unknown_keys(self) -> None:
        # As an entry of an earlier version does with the learned state.
        self.leader.write(platform.encode_record('learned/other', b'\xc1'))
        self.assertEqual({}, self.leader.ledger.entries)
        self.assertEqual(b'', self.leader.ledger.learned)

    def test_records_keep_to_their_interval_and_rate(self) -> None:
        keeper = _learning.LearningKeeper(self.leader.engine.state)
        keeper.apply_configuration(
            make_shared_state().configuration, builders.WALL
        )
        model = self.leader.engine.state.interference
        sizes = []
        times = []
        for tick in range(600):
            now = 0.2 * tick
            for number in range(40):
                model.learn(
                    f's{number % 5}',
                    math.sin(tick) * tick,
                    {f'image-{number}': 0.1 + 0.01 * math.sin(tick)},
                )
            record = keeper.make_record(now, builders.WALL + now)
            if record is not None:
                sizes.append(len(record))
                times.append(now)
        self.assertGreater(len(sizes), 3)
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        self.assertGreaterEqual(
            min(gaps) + 1e-6, _learning.RECORD_INTERVAL_SECONDS
        )
        # Without the last, which pays for the time after it.
        self.assertLessEqual(
            sum(sizes[:-1]),
            1.1 * _learning.MAX_BYTES_PER_SECOND * (times[-1] - times[0]),
        )

    def test_nothing_is_recorded_unless_it_has_changed(self) -> None:
        self.teach_interference()
        self.leader.plan()
        recorded = self.leader.ledger.learned
        self.assertTrue(recorded)
        for seconds, samples, is_recorded in (
            (5.0, 0, False),
            (5.0, 1, False),
            (_learning.REFRESH_SECONDS, 1, True),
            (60.0, 0, False),
        ):
            self.leader.now += seconds
            self.teach_interference(samples)
            before = self.leader.ledger.learned
            self.leader.plan()
            with self.subTest(seconds=seconds, samples=samples):
                self.assertEqual(
                    is_recorded, before != self.leader.ledger.learned
                )

    def test_samples_are_counted_once(self) -> None:
        self.teach_interference(3)
        self.assertEqual(
            {'interference': 3, 'durations': 0},
            self.leader.engine.take_learned_samples(),
        )
        self.assertEqual(
            {'interference': 0, 'durations': 0},
            self.leader.engine.take_learned_samples(),
        )


class RecordSizeTest(unittest.TestCase):
    @hypothesis.settings(max_examples=30, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 3000),
        strategies.integers(0, 600),
        strategies.integers(0, 300),
        strategies.integers(1, 4000),
    )
    def test_record_is_bounded(
        self, pairs: int, steps: int, images: int, name_length: int
    ) -> None:
        learned = _learned_record.LearnedState(
            tuple(make_pair(number, name_length) for number in range(pairs)),
            decisions.DurationState(
                (
                    decisions.FitState(
                        'q' * name_length, True, 9.0, 1.0, 1.0, 1.0, 0.1, 0.5
                    ),
                ),
                tuple(
                    decisions.ImageState(
                        'q', True, f'{number}' * name_length, 1.0, 2.0, 0.5
                    )
                    for number in range(images)
                ),
                tuple(
                    decisions.StepState(f'{number:016x}.0.0', 1.0, 4)
                    for number in range(steps)
                ),
            ),
        )
        record = _learned_record.make_record(learned, builders.WALL)
        encoded = ENCODER.encode(record)
        self.assertLessEqual(len(encoded), _learned_record.MAX_RECORD_BYTES)
        self.assertEqual(record, _learned_record.decode_record(encoded))
        _learned_record.read_record(record)

    @hypothesis.given(
        *(strategies.floats() for _ in range(2)),
        strategies.floats(min_value=0.0),
    )
    def test_any_numbers_give_a_record_that_can_be_read(
        self, value: float, other: float, weight: float
    ) -> None:
        learned = _learned_record.LearnedState(
            (decisions.CoefficientState('s', 'f', value, weight),),
            decisions.DurationState(
                (
                    decisions.FitState(
                        'q', True, weight, value, other, other, value, other
                    ),
                ),
                (decisions.ImageState('q', True, 'i', weight, value, other),),
                (decisions.StepState('a.0.0', value, 1),),
            ),
        )
        record = _learned_record.make_record(learned, builders.WALL)
        encoded = ENCODER.encode(record)
        read = _learned_record.read_record(
            _learned_record.decode_record(encoded)
        )
        for pair in read.pairs:
            self.assertTrue(math.isfinite(pair.coefficient))
            self.assertGreater(pair.weight, 0.0)
        interference = decisions.LearnedInterferenceModel()
        interference.restore(read.pairs, 0.7)
        coefficient = interference.find_coefficient('s', 'f')
        self.assertTrue(0.0 <= coefficient <= 31.0, coefficient)
        durations = decisions.LearnedDurations()
        durations.restore(read.durations, 0.7, ('a',))
        for step_id in ('a.0.0', 'b.0.0'):
            seconds = durations.estimate_seconds('q', step_id, STEP)
            self.assertTrue(
                decisions.MIN_SECONDS <= seconds <= decisions.MAX_SECONDS
            )

    def test_pairs_of_the_least_weight_are_dropped_first(self) -> None:
        pairs = [
            make_pair(number, weight=0.01 * (number + 1))
            for number in range(3000)
        ]
        record = _learned_record.make_record(
            _learned_record.LearnedState(
                tuple(pairs), decisions.DurationState()
            ),
            builders.WALL,
        )
        read = _learned_record.read_record(record)
        self.assertGreater(len(read.pairs), 100)
        self.assertEqual(
            {pair.filler for pair in pairs[-len(read.pairs) :]},
            {pair.filler for pair in read.pairs},
        )


if __name__ == '__main__':
    unittest.main()
