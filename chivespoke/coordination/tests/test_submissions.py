"""Tests that no body of a submission stops the leader; no I/O."""

import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke.coordination.tests import builders
from chivespoke import errors
from chivespoke import platform
from chivespoke import workloads

QUEUE = workloads.Queue(builders.QUEUE, 'host', '/q/', builders.TERMS)
MAX_TASKS = 50
NUMBERS = strategies.one_of(
    strategies.integers(-3, 40),
    strategies.sampled_from(
        (-(2**63), 2**31, 2**53, 2**63, 2**64, 0.5, 1e300)
    ),
)
TEXTS = strategies.sampled_from(('', 'a', 'r1', 'other'))
STEP_FIELDS: dict[str, strategies.SearchStrategy[typing.Any]] = {
    'cpu': NUMBERS,
    'mem_mb': NUMBERS,
    'gpu': NUMBERS,
    'estimated_ms': NUMBERS,
    'depends_on': strategies.lists(strategies.integers(-1, 2), max_size=2),
    'checkpointing': strategies.booleans(),
    'gang': strategies.booleans(),
    'requirements': TEXTS,
    'affinity': TEXTS,
    'anti_affinity': NUMBERS,
    'long_running': strategies.booleans(),
    'image': TEXTS,
    'target_ms': NUMBERS,
    'fills': strategies.booleans(),
    'may_miss': NUMBERS,
}
STEPS = strategies.fixed_dictionaries(
    {'count': strategies.integers(0, 5)}, optional=STEP_FIELDS
)
BODIES = strategies.fixed_dictionaries(
    {'steps': strategies.lists(STEPS, max_size=3)},
    optional={
        'spec': strategies.one_of(TEXTS, strategies.none()),
        'repeat_count': strategies.integers(-1, 3),
        'start_at_ms': NUMBERS,
        'interval_ms': NUMBERS,
    },
)


class SubmissionTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(body=BODIES)
    def test_accepted_job_can_be_stored_and_planned(
        self, body: dict[str, typing.Any]
    ) -> None:
        # One malformed job took the leader down, and each leader after it.
        try:
            job = platform.decode_submission(
                msgspec.json.encode(body),
                builders.JOB,
                QUEUE,
                int(builders.WALL * 1000),
            )
        except errors.RefusedError:
            return
        hypothesis.assume(job.task_count <= MAX_TASKS)
        leader = builders.Leader()
        leader.report(builders.make_report())
        leader.submit(job)
        for _ in range(3):
            leader.plan()
            running = tuple(
                builders.make_running(start.task, start.run)
                for start in leader.make_directive().starts
            )
            leader.now += 0.8
            leader.report(builders.make_report(running=running))


if __name__ == '__main__':
    unittest.main()
