"""A short run of real daemons under faults."""

import pathlib
import tempfile
import unittest

from chivespoke.bench import soak

SEEDS = (2, 3)
SECONDS = 12.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Run the daemons for some seconds."""

    async def test_daemons_keep_their_promises_under_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                with tempfile.TemporaryDirectory() as folder:
                    report = await soak.run_soak(
                        soak.SoakOptions(seed, SECONDS), pathlib.Path(folder)
                    )
                self.assertEqual((), report.violations)
                self.assertGreater(report.accepted_jobs, 0)


if __name__ == '__main__':
    unittest.main()
