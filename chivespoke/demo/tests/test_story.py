"""Tests of the demonstration as a whole."""

import unittest

import msgspec

from chivespoke import clock as clocks
from chivespoke import demo


class _Listener(demo.Reporter):
    """Remember the titles of the steps."""

    def __init__(self) -> None:
        self.titles: list[str] = []

    def begin_step(self, title: str) -> None:
        self.titles.append(title)

    def tell(self, sentence: str) -> None:
        return None


class StoryTest(unittest.IsolatedAsyncioTestCase):
    """Run the story at a small size."""

    async def test_story_ends_with_exact_counts(self) -> None:
        usual = demo.DEFAULT_SETTINGS
        small = msgspec.structs.replace(
            usual,
            calls=60,
            service=msgspec.structs.replace(usual.service, runners=3),
            job=msgspec.structs.replace(usual.job, tasks=9),
            workers=msgspec.structs.replace(usual.workers, count=6),
        )
        clock = clocks.SystemClock()
        cluster = demo.Cluster(small, clock)
        listener = _Listener()
        story = demo.Story(cluster, small, listener, clock)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        await story.run()
        measures = story.measures
        self.assertEqual({'answered': 120}, measures.outcomes)
        self.assertEqual(9, measures.tasks_completed)
        self.assertEqual(0, measures.runs_beyond_calls)
        self.assertEqual(0, measures.late_starts)
        self.assertEqual(5, len(listener.titles))


if __name__ == '__main__':
    unittest.main()
