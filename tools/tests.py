"""Run every unit test of the tree, several test modules at a time."""

import argparse
import concurrent.futures
import dataclasses
import faulthandler
import io
import os
import pathlib
import sys
import typing
import unittest

from hypothesis import settings
import loguru

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '
PARALLEL_MODULES = 4
# A module that runs longer than this many seconds is considered hung: its
# process dumps the stack traces of its threads and exits. All checks together
# must finish within ten minutes.
HANG_SECONDS = 420.0


@dataclasses.dataclass(frozen=True, slots=True)
class ModuleResult:
    """Outcome of one test module."""

    module: str
    ran: int
    skipped: int
    failed: frozenset[str]
    output: str


def read_known_red() -> frozenset[str]:
    """Return the identifiers of the tests listed as known failures."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def list_modules() -> list[str]:
    """Return the dotted names of the test modules, sorted."""
    paths = (ROOT / 'chivespoke').rglob('tests/test_*.py')
    return sorted(
        '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        for path in paths
    )


def iterate_cases(suite: unittest.TestSuite) -> typing.Iterator[typing.Any]:
    """Yield the test cases of a suite and of its nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def run_module(module: str, pattern: str, verbosity: int) -> ModuleResult:
    """Run the test cases of a module whose identifier contains a pattern."""
    if str(ROOT) not in sys.path:
        sys.path.insert(0, str(ROOT))
    faulthandler.dump_traceback_later(HANG_SECONDS, exit=True)
    settings.register_profile('ci', derandomize=True, deadline=None)
    settings.load_profile('ci')
    loguru.logger.remove()
    suite = unittest.TestLoader().loadTestsFromName(module)
    cases = [case for case in iterate_cases(suite) if pattern in case.id()]
    output = io.StringIO()
    runner = unittest.TextTestRunner(output, verbosity=verbosity)
    result = runner.run(unittest.TestSuite(cases))
    failures = result.failures + result.errors
    unexpected = [case.id() for case in result.unexpectedSuccesses]
    return ModuleResult(
        module=module,
        ran=result.testsRun,
        skipped=len(result.skipped),
        failed=frozenset([case.id() for case, _ in failures] + unexpected),
        output=output.getvalue(),
    )


def run_modules(pattern: str, verbosity: int) -> list[ModuleResult]:
    """Run each module in its own process; return results in module order."""
    # Each module runs in a fresh process, so that no module can depend on the
    # state that another one leaves behind.
    with concurrent.futures.ProcessPoolExecutor(
        PARALLEL_MODULES, max_tasks_per_child=1
    ) as pool:
        futures = [
            pool.submit(run_module, module, pattern, verbosity)
            for module in list_modules()
        ]
        return [future.result() for future in futures]


def print_results(results: list[ModuleResult], verbose: bool) -> None:
    """Print the output of failed modules, or of all if verbose."""
    for result in results:
        if result.failed or (verbose and result.ran):
            print(f'== {result.module}')
            print(result.output)


def main() -> int:
    """Run the tests and return the exit code."""
    # Inherited by the child processes: a fixed iteration order of string
    # sets makes seeded runs reproducible.
    os.environ.setdefault('PYTHONHASHSEED', '0')
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pattern', nargs='?', default='')
    parser.add_argument('--verbose', action='store_true')
    arguments = parser.parse_args()
    results = run_modules(arguments.pattern, 2 if arguments.verbose else 1)
    print_results(results, arguments.verbose)
    known_red = read_known_red()
    failed = frozenset().union(*(result.failed for result in results))
    for identifier in sorted(failed & known_red):
        print(f'known red: {identifier}')
    unexpected = failed - known_red
    ran = sum(result.ran for result in results)
    skipped = sum(result.skipped for result in results)
    passed = ran - len(failed) - skipped
    print(f'{passed} passed, {len(unexpected)} failed, {skipped} skipped')
    return 1 if unexpected or ran == 0 else 0


if __name__ == '__main__':
    sys.exit(main())
