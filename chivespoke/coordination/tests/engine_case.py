"""Base class of the engine tests."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke import workloads

FIRST_TASK = f'{builders.JOB}.0.0.0'
SECOND_TASK = f'{builders.JOB}.0.0.1'
ONE_TASK_STEP = workloads.Step(count=1, cpu_millis=1000, estimated_ms=1000)


class EngineTest(unittest.TestCase):
    """Test an engine with one worker."""

    def setUp(self) -> None:
        self.leader = builders.Leader()

    def list_starts(self, sidecar: str = 'side-1') -> list[str]:
        """Return the tasks that a sidecar is ordered to start."""
        directive = self.leader.make_directive(sidecar)
        return sorted(start.task for start in directive.starts)

    def start_job(self, *steps: workloads.Step) -> None:
        """Submit a job and report the tasks ordered to start as running."""
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(*steps))
        self.leader.plan()
        starts = self.leader.make_directive().starts
        running = tuple(
            builders.make_running(start.task, start.run) for start in starts
        )
        self.leader.report(builders.make_report(running=running))
