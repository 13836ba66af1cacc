"""Tests of when a call to the store is repeated and which tries stay open."""

import collections
import unittest

from chivespoke import decisions

STEP_SECONDS = 0.01
# Longest queue that the store allows, and the time that a slow one takes for
# one append and for a call in each direction.
MAX_QUEUE_SECONDS = 2.0
SLOW_APPEND_SECONDS = 0.05
SLOW_TRANSFER_SECONDS = 0.2
SLOW_SECONDS = 8.0
QUICK_REPLY_SECONDS = 0.006
LEASE_SECONDS = 5.0
LARGE_REQUEST_BYTES = 131_072


class SlowStore:
    """Serve appends one at a time; other callers keep its queue filled."""

    def __init__(self, queue_seconds: float) -> None:
        self._others = round(queue_seconds / SLOW_APPEND_SECONDS)
        # Tries of the caller under test in the queue: the number of appends
        # before each.
        self._waiting: collections.deque[tuple[int, int]] = collections.deque()
        self._served = 0

    def add(self, number: int) -> None:
        """Add a try at the end of the queue."""
        self._waiting.append((number, self._served + self._others))

    def serve(self) -> list[int]:
        """Serve one append; return the tries that are done."""
        self._served += 1
        done = []
        while self._waiting and self._waiting[0][1] <= self._served:
            done.append(self._waiting.popleft()[0])
        return done


def measure_wait(queue_seconds: float, stay_open: bool) -> float:
    """Return the seconds until a call is answered, at most SLOW_SECONDS."""
    timeout = decisions.AdaptiveTimeout()
    schedule = decisions.RepeatSchedule(timeout, 0, 0.0)
    store = SlowStore(queue_seconds)
    open_tries: list[int] = []
    arrivals: list[tuple[float, int]] = []
    steps_per_append = round(SLOW_APPEND_SECONDS / STEP_SECONDS)
    answers: list[tuple[float, int]] = []
    for step in range(round(SLOW_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if now >= schedule.due_at:
            open_tries = open_tries if stay_open else []
            schedule.record_send(now)
            open_tries.append(schedule.tries)
            arrivals.append((now + SLOW_TRANSFER_SECONDS, schedule.tries))
        while arrivals and arrivals[0][0] <= now:
            store.add(arrivals.pop(0)[1])
        if step % steps_per_append == 0:
            answers += [
                (now + SLOW_TRANSFER_SECONDS, number)
                for number in store.serve()
            ]
        if any(
            number in open_tries and answered_at <= now
            for answered_at, number in answers
        ):
            return now
    return SLOW_SECONDS


class RepeatScheduleTest(unittest.TestCase):
    def make_schedule(self, size_bytes: int = 0) -> decisions.RepeatSchedule:
        timeout = decisions.AdaptiveTimeout()
        for _ in range(20):
            timeout.record_reply(QUICK_REPLY_SECONDS)
        return decisions.RepeatSchedule(timeout, size_bytes, 0.0)

    def test_long_queue_is_waited_out_once(self) -> None:
        # The rule before abandoned each try when the next one was sent.
        for queue_seconds, is_answered_without in (
            (0.0, True),
            (0.5, True),
            (1.0, False),
            (MAX_QUEUE_SECONDS, False),
        ):
            with self.subTest(queue_seconds=queue_seconds):
                wait = measure_wait(queue_seconds, True)
                wait_without = measure_wait(queue_seconds, False)
                self.assertLessEqual(
                    wait,
                    queue_seconds
                    + 2 * SLOW_TRANSFER_SECONDS
                    + 2 * SLOW_APPEND_SECONDS,
                )
                self.assertLess(wait, wait_without)
                self.assertIs(is_answered_without, wait_without < SLOW_SECONDS)

    def test_open_try_outlasts_the_longest_queue(self) -> None:
        schedule = self.make_schedule()
        self.assertGreater(
            schedule.open_seconds,
            MAX_QUEUE_SECONDS + 2 * SLOW_TRANSFER_SECONDS,
        )

    def test_dead_connections_are_found_before_leases_expire(self) -> None:
        schedule = self.make_schedule()
        for _ in range(5):
            schedule.record_send(schedule.due_at)
        self.assertLess(schedule.due_at, LEASE_SECONDS)

    def test_unanswered_tries_extend_the_intervals(self) -> None:
        schedule = self.make_schedule()
        sent_at = []
        for _ in range(4):
            sent_at.append(schedule.due_at)
            schedule.record_send(schedule.due_at)
        intervals = [
            later - earlier
            for earlier, later in zip(sent_at, sent_at[1:], strict=False)
        ]
        self.assertEqual(sorted(intervals), intervals)
        self.assertGreater(intervals[-1], intervals[0])

    def test_refused_call_is_repeated_soon(self) -> None:
        schedule = self.make_schedule()
        for _ in range(20):
            schedule.record_send(schedule.due_at)
            refused_at = schedule.due_at
            schedule.record_failure(refused_at, may_take_effect=False)
            self.assertLess(schedule.due_at - refused_at, 0.15)

    def test_large_request_has_one_open_try(self) -> None:
        for size_bytes, max_open_tries in (
            (0, decisions.MAX_OPEN_TRIES),
            (1_000, decisions.MAX_OPEN_TRIES),
            (30_000, 2),
            (LARGE_REQUEST_BYTES, 1),
        ):
            with self.subTest(size_bytes=size_bytes):
                schedule = self.make_schedule(size_bytes)
                self.assertEqual(max_open_tries, schedule.max_open_tries)


if __name__ == '__main__':
    unittest.main()
