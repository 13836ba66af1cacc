"""Tests of shared appends, in simulated time."""

import asyncio
import collections
import collections.abc
import random
import unittest

import hypothesis
from hypothesis import strategies

from chivespoke.intake import _responses
from chivespoke.intake import _submissions
from chivespoke.intake.tests import builders

ACCEPTED = _responses.Outcome.ACCEPTED
UNAVAILABLE = _responses.Outcome.UNAVAILABLE
UNCERTAIN = _responses.Outcome.UNCERTAIN
SLOW = builders.Period(15.0, 20.0, slowness=49.0)
SEED = 34
END = 1e9


def make_period(start: float, length: float, kind: str) -> builders.Period:
    """Return a period of one kind of fault."""
    return builders.Period(
        start,
        start + length,
        slowness=49.0 if kind == 'slowness' else 1.0,
        refuses=kind == 'refuses',
        silent=kind == 'silent',
        loses_answers=kind == 'loses_answers',
        resets=kind == 'resets',
    )


PERIODS = strategies.lists(
    strategies.builds(
        make_period,
        strategies.floats(0, 5),
        strategies.floats(0.1, 4),
        strategies.sampled_from(
            ('slowness', 'refuses', 'silent', 'loses_answers', 'resets')
        ),
    ),
    max_size=4,
)
CALLERS = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 8),
        strategies.sampled_from((10, 300, 9_000, 20_000)),
        strategies.floats(0.1, 3),
    ),
    min_size=1,
    max_size=40,
)


def make_arrivals() -> list[float]:
    """Return arrival times: 4 a second, 30 a second from 14 to 20 s."""
    generator = random.Random(SEED)
    arrivals = []
    now = 0.0
    while now < 30.0:
        rate = 30.0 if 14.0 <= now < 20.0 else 4.0
        now += generator.expovariate(rate)
        arrivals.append(now)
    return arrivals


async def replay(
    store: builders.SimulatedStore, appender: builders.Appender
) -> list[builders.Answer]:
    """Replay a burst beside a store; refused callers try five times."""
    joins = asyncio.ensure_future(store.join_repeatedly())
    answers = await asyncio.gather(
        *(
            builders.call(appender, f'test/{number}', at, tries=5)
            for number, at in enumerate(make_arrivals())
        )
    )
    joins.cancel()
    return answers


def count_outcomes(
    answers: collections.abc.Iterable[builders.Answer],
) -> collections.Counter[_responses.Outcome]:
    """Return the number of answers by outcome."""
    return collections.Counter(answer.outcome for answer in answers)


class SubmissionsTest(unittest.TestCase):
    def run_calls(
        self,
        store: builders.SimulatedStore,
        *calls: tuple[float, int],
        wait_seconds: float = builders.CALLER_WAIT_SECONDS,
    ) -> list[builders.Answer]:
        """Return the answers to calls at times, with sizes of records."""

        async def run() -> list[builders.Answer]:
            submissions = builders.make_submissions(store)
            try:
                return await asyncio.gather(
                    *(
                        builders.call(
                            submissions,
                            f'test/{number}',
                            # In the order of their numbers.
                            at + number * 1e-6,
                            size,
                            wait_seconds=wait_seconds,
                        )
                        for number, (at, size) in enumerate(calls)
                    )
                )
            finally:
                await submissions.stop()

        return builders.run_simulated(run())

    def list_outcomes(
        self, answers: list[builders.Answer]
    ) -> list[_responses.Outcome]:
        return [answer.outcome for answer in answers]

    def test_burst_at_a_slow_store_is_stored(self) -> None:
        # Load pattern: the store answers 49 times slower for 5 s in a burst.
        # One by one, the appends wait for each other, and are given up while
        # the store goes on to store them.
        before_store = builders.SimulatedStore(SLOW)
        before = count_outcomes(
            builders.run_simulated(
                replay(before_store, builders.SingleAppends(before_store))
            )
        )
        store = builders.SimulatedStore(SLOW)

        async def run() -> list[builders.Answer]:
            return await replay(store, builders.make_submissions(store))

        after = count_outcomes(builders.run_simulated(run()))
        self.assertGreater(before[UNCERTAIN], 0)
        self.assertEqual({ACCEPTED: len(make_arrivals())}, dict(after))
        self.assertEqual(len(set(store.stored)), len(store.stored))

    def test_records_that_come_together_share_an_append_in_order(
        self,
    ) -> None:
        store = builders.SimulatedStore()
        answers = self.run_calls(store, *[(1.0, 300)] * 50)
        self.assertEqual([ACCEPTED] * 50, self.list_outcomes(answers))
        self.assertEqual([1, 49], store.batches)
        self.assertEqual([f'test/{i}' for i in range(50)], store.stored)

    def test_appends_are_bounded_in_size(self) -> None:
        store = builders.SimulatedStore()
        size = 9_900
        self.run_calls(store, *[(1.0, size)] * 50)
        most = _submissions.MAX_APPEND_BYTES // size
        self.assertEqual(50, sum(store.batches))
        self.assertLessEqual(max(store.batches), most)

    def test_record_that_is_too_large_fails_alone(self) -> None:
        store = builders.SimulatedStore()
        sizes = [300] * 20
        sizes[7] = builders.MAX_RECORD_BYTES + 1
        answers = self.run_calls(store, *[(1.0, size) for size in sizes])
        self.assertEqual(
            [ACCEPTED if size == 300 else UNAVAILABLE for size in sizes],
            self.list_outcomes(answers),
        )
        self.assertEqual(19, len(store.stored))

    def test_refused_append_is_refused_to_all_its_callers(self) -> None:
        store = builders.SimulatedStore(
            builders.Period(1.0, 1.5, refuses=True)
        )
        answers = self.run_calls(store, *[(1.0, 300)] * 9, (2.0, 300))
        self.assertEqual(
            [UNAVAILABLE] * 9 + [ACCEPTED], self.list_outcomes(answers)
        )
        self.assertEqual(['test/9'], store.stored)

    def test_lost_answer_holds_up_nobody(self) -> None:
        store = builders.SimulatedStore(
            builders.Period(1.0, 1.001, loses_answers=True)
        )
        answers = self.run_calls(store, *[(1.0, 300)] * 9)
        self.assertEqual([ACCEPTED] * 9, self.list_outcomes(answers))
        self.assertEqual(9, len(store.stored))

    def test_record_is_sent_again_after_a_reset_connection(self) -> None:
        # The ledger takes a record once, so that storing it twice is safe.
        store = builders.SimulatedStore(
            builders.Period(1.0, 1.001, resets=True)
        )
        answers = self.run_calls(store, (1.0, 300))
        self.assertEqual([ACCEPTED], self.list_outcomes(answers))
        self.assertEqual(['test/0'] * 2, store.stored)

    def test_refusal_after_a_reset_connection_stays_uncertain(self) -> None:
        store = builders.SimulatedStore(
            builders.Period(1.0, 1.001, resets=True),
            builders.Period(1.001, END, refuses=True),
        )
        (answer,) = self.run_calls(store, (1.0, 300))
        self.assertIs(UNCERTAIN, answer.outcome)

    def test_silent_store_leaves_sent_records_uncertain_only(self) -> None:
        store = builders.SimulatedStore(builders.Period(1.0, END, silent=True))
        answers = self.run_calls(store, *[(1.0, 300)] * 5, (3.9, 300))
        self.assertEqual(
            [UNCERTAIN, *[UNAVAILABLE] * 4, UNCERTAIN],
            self.list_outcomes(answers),
        )
        for answer in answers:
            self.assertLess(answer.seconds, 3.0)

    def test_store_is_silent_until_it_answers(self) -> None:
        store = builders.SimulatedStore(builders.Period(1.0, 9.0, silent=True))

        async def run() -> list[bool]:
            submissions = builders.make_submissions(store)
            calling = asyncio.ensure_future(
                builders.call(submissions, 'test/0', 1.0)
            )
            refuses = []
            for seconds in (1.5, 0.4, 0.6):
                await asyncio.sleep(seconds)
                refuses.append(submissions.refuses)
            store.periods = ()
            await store.append('topic', b'')
            refuses.append(submissions.refuses)
            await calling
            await submissions.stop()
            return refuses

        self.assertEqual(
            [False, False, True, False], builders.run_simulated(run())
        )

    def test_record_of_a_caller_that_left_is_not_sent(self) -> None:
        store = builders.SimulatedStore(SLOW)

        async def run() -> builders.Answer:
            submissions = builders.make_submissions(store)
            await asyncio.sleep(16.0)
            first, second, third = (
                asyncio.ensure_future(
                    builders.call(
                        submissions, f'test/{number}', 16.0 + number * 1e-6
                    )
                )
                for number in range(3)
            )
            await asyncio.sleep(0.1)
            # The append of the first record is under way.
            first.cancel()
            second.cancel()
            answer = await third
            await submissions.stop()
            return answer

        self.assertIs(ACCEPTED, builders.run_simulated(run()).outcome)
        self.assertEqual(['test/0', 'test/2'], store.stored)

    def test_two_callers_of_one_key_are_both_answered(self) -> None:
        # Regression: when the first of two waiters for a key left, the second
        # was not told that its record had appeared in the ledger.
        store = builders.SimulatedStore(
            builders.Period(1.0, 1.001, loses_answers=True)
        )

        async def run() -> builders.Answer:
            submissions = builders.make_submissions(store)
            first, second = (
                asyncio.ensure_future(
                    builders.call(submissions, 'test/0', 1.0)
                )
                for _ in range(2)
            )
            await asyncio.sleep(1.05)
            first.cancel()
            answer = await second
            await submissions.stop()
            return answer

        self.assertIs(ACCEPTED, builders.run_simulated(run()).outcome)

    def test_stop_answers_every_caller_truly(self) -> None:
        store = builders.SimulatedStore(SLOW)

        async def run() -> list[builders.Answer]:
            submissions = builders.make_submissions(store)
            calls = [
                asyncio.ensure_future(
                    builders.call(
                        submissions, f'test/{number}', 16.0 + number * 1e-6
                    )
                )
                for number in range(3)
            ]
            await asyncio.sleep(16.1)
            await submissions.stop()
            late = await builders.call(submissions, 'test/3', 16.2)
            return [*await asyncio.gather(*calls), late]

        self.assertEqual(
            [UNCERTAIN, UNAVAILABLE, UNAVAILABLE, UNAVAILABLE],
            self.list_outcomes(builders.run_simulated(run())),
        )

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(PERIODS, CALLERS)
    def test_each_caller_gets_one_true_answer_in_time(
        self,
        periods: list[builders.Period],
        callers: list[tuple[float, int, float]],
    ) -> None:
        store = builders.SimulatedStore(*periods)

        async def run() -> list[builders.Answer]:
            submissions = builders.make_submissions(store)
            answers = await asyncio.gather(
                *(
                    builders.call(
                        submissions,
                        f'test/{number}',
                        at,
                        size,
                        wait_seconds=wait_seconds,
                    )
                    for number, (at, size, wait_seconds) in enumerate(callers)
                )
            )
            # Calls that were given up take effect late.
            await asyncio.sleep(60.0)
            await submissions.stop()
            return answers

        answers = builders.run_simulated(run())
        self.assertEqual(len(callers), len(answers))
        for answer, (_, _, wait_seconds) in zip(answers, callers, strict=True):
            if answer.outcome is ACCEPTED:
                self.assertIn(answer.key, store.stored)
            elif answer.outcome is UNAVAILABLE:
                self.assertNotIn(answer.key, store.stored)
            self.assertLessEqual(
                answer.seconds, wait_seconds + 2 * _submissions.CHECK_SECONDS
            )


if __name__ == '__main__':
    unittest.main()
