"""Tests of the demonstration's settings."""

import pathlib
import unittest

from chivespoke import demo

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'


class ExamplesTest(unittest.TestCase):
    """Read the example settings of both users."""

    def test_example_sizes(self) -> None:
        cases = (('kandy_tallyworks', 3, 16), ('cedar_hollow', 4, 60))
        for name, data_centres, processors in cases:
            with self.subTest(name=name):
                found = demo.read_demo_settings(EXAMPLES / f'{name}.yaml')
                self.assertEqual(data_centres, len(found.data_centres))
                self.assertEqual(
                    processors * 1000, found.workers.capacity.millicores
                )
                self.assertEqual(
                    (10, 8, 60),
                    (
                        found.service.runners,
                        found.service.slots,
                        found.service.connections,
                    ),
                )

    def test_default_is_the_first_example(self) -> None:
        path = EXAMPLES / 'kandy_tallyworks.yaml'
        self.assertEqual(demo.read_demo_settings(path), demo.DEFAULT_SETTINGS)


if __name__ == '__main__':
    unittest.main()
