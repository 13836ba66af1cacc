"""Run every unit test of the tree.

Tests listed in KNOWN-RED.txt are run and printed, and do not fail the run.
"""

import argparse
import pathlib
import sys
import typing
import unittest

from hypothesis import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def read_known_red() -> frozenset[str]:
    """Return the identifiers of the tests that are listed as red."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def iterate_cases(suite: unittest.TestSuite) -> typing.Iterator[typing.Any]:
    """Yield the cases of a suite, nested suites flattened."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from iterate_cases(entry)
        else:
            yield entry


def find_cases(pattern: str) -> unittest.TestSuite:
    """Load the cases whose identifier contains the pattern."""
    loader = unittest.TestLoader()
    found = loader.discover(
        str(ROOT / 'chivespoke'), pattern='test_*.py', top_level_dir=str(ROOT)
    )
    cases = [case for case in iterate_cases(found) if pattern in case.id()]
    return unittest.TestSuite(cases)


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pattern', nargs='?', default='')
    parser.add_argument('--verbose', action='store_true')
    arguments = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    settings.register_profile('ci', derandomize=True, deadline=None)
    settings.load_profile('ci')
    known_red = read_known_red()
    result = unittest.TextTestRunner(
        verbosity=2 if arguments.verbose else 1
    ).run(find_cases(arguments.pattern))
    failed = {case.id() for case, _ in result.failures + result.errors}
    for identifier in sorted(failed & known_red):
        print(f'known red: {identifier}')
    unexpected = failed - known_red
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f'{passed} passed, {len(unexpected)} failed, {skipped} skipped')
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == '__main__':
    sys.exit(main())
