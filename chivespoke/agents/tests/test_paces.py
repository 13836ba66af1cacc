"""What a sidecar remembers of its runs."""

import unittest

from chivespoke.agents import _paces
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import platform

FILLER = coordination.StartOrder('filler', 1, '', '', 'f1', 0, True, False)
SERVING = coordination.StartOrder('serving', 1, '', '', 's1', 18, False, False)
EMPTY = platform.WorkerStatus(0, (), ())


def make_look(tail: float, *tasks: str) -> platform.WorkerStatus:
    measures = {'serving': tail, 'filler': 2000.0}
    return platform.WorkerStatus(
        0,
        tuple(
            platform.RunningTask(task, 1, '', 50.0, measures[task])
            for task in tasks
        ),
        (),
    )


class PaceKeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper = _paces.PaceKeeper('w', 10000)
        self.keeper.note_order(SERVING)
        self.keeper.note_order(FILLER)

    def adjust(self, look: platform.WorkerStatus, now: float) -> list[str]:
        return [change.task for change in self.keeper.adjust(look, now)]

    def test_run_that_a_look_on_its_way_did_not_list_is_paced(self) -> None:
        # Found on a bench day: such runs were forgotten and never paced.
        self.assertEqual([], self.adjust(EMPTY, 0.0))
        both = make_look(40.0, 'serving', 'filler')
        self.assertEqual(['filler'], self.adjust(both, 1.0))

    def test_run_that_stays_unlisted_is_forgotten(self) -> None:
        for step in range(_paces.LOOKS_KEPT + 1):
            self.adjust(EMPTY, 0.1 * step)
        both = make_look(40.0, 'serving', 'filler')
        self.assertEqual([], self.adjust(both, 10.0))

    def test_pace_that_was_set_is_not_set_again(self) -> None:
        low = make_look(11.5, 'serving', 'filler')
        self.keeper.note_set(decisions.PaceOrder('filler', 1, 60))
        self.assertEqual([], self.adjust(low, 1.0))


if __name__ == '__main__':
    unittest.main()
