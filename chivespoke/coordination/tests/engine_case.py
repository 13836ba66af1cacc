"""What the cases on the leader's decisions share."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke import workloads

FIRST = f'{builders.JOB}.0.0.0'
SECOND = f'{builders.JOB}.0.0.1'
ONE = workloads.Step(count=1, cpu_millis=1000, estimated_ms=1000)


class EngineTest(unittest.TestCase):
    """Drive a leader with one worker."""

    def setUp(self) -> None:
        self.leader = builders.Leader()

    def list_starts(self, sidecar: str = 'side-1') -> list[str]:
        """Return the tasks that a sidecar is told to start."""
        directive = self.leader.direct(sidecar)
        return sorted(start.task for start in directive.starts)

    def begin(self, *steps: workloads.Step) -> None:
        """Have a job's first tasks run on one worker."""
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(*steps))
        self.leader.plan()
        starts = self.leader.direct().starts
        running = tuple(
            builders.make_running(start.task, start.run) for start in starts
        )
        self.leader.report(builders.make_report(running=running))
