"""A short run of the request model; the bench runs the long one."""

import unittest

from chivespoke import bench

REQUESTS = 4000
SEEDS = (7, 8)


class RequestsTest(unittest.TestCase):
    """Let the invariants inside the program judge."""

    def test_every_invariant_holds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found = bench.run_requests(seed, REQUESTS)
                ends = found.answered + found.not_run + found.unknown
                self.assertEqual(REQUESTS, ends)
                self.assertGreater(found.answered, REQUESTS // 2)


if __name__ == '__main__':
    unittest.main()
