"""End-to-end test of the demonstration."""

import unittest

import msgspec

from chivespoke import clock as clocks
from chivespoke import demo


class _TitleRecorder(demo.Reporter):
    """Record the titles of the steps."""

    def __init__(self) -> None:
        self.titles: list[str] = []

    def begin_step(self, title: str) -> None:
        self.titles.append(title)

    def report_result(self, sentence: str) -> None:
        return None


class StoryTest(unittest.IsolatedAsyncioTestCase):
    """Run the scenario on a small cluster."""

    async def test_scenario_completes_with_exact_counts(self) -> None:
        defaults = demo.DEFAULT_SETTINGS
        small = msgspec.structs.replace(
            defaults,
            calls=60,
            service=msgspec.structs.replace(defaults.service, runners=3),
            job=msgspec.structs.replace(defaults.job, tasks=9),
            workers=msgspec.structs.replace(defaults.workers, count=6),
        )
        clock = clocks.SystemClock()
        cluster = demo.Cluster(small, clock)
        recorder = _TitleRecorder()
        story = demo.Story(cluster, small, recorder, clock)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        await story.run()
        measures = story.measures
        self.assertEqual({'answered': 120}, measures.outcomes)
        self.assertEqual(9, measures.tasks_completed)
        self.assertEqual(0, measures.runs_beyond_calls)
        self.assertEqual(0, measures.late_starts)
        self.assertEqual(5, len(recorder.titles))


if __name__ == '__main__':
    unittest.main()
