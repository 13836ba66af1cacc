"""Run every unit test of the tree, several test modules at a time."""

import argparse
import asyncio
import concurrent.futures
from concurrent.futures import process
import dataclasses
import faulthandler
import gc
import io
import multiprocessing
import os
import pathlib
import sys
import tempfile
import threading
import typing
import unittest

from hypothesis import settings
import loguru

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '
PARALLEL_MODULES = 4
# Modules that run one at a time, after all others: their tests use up memory
# and descriptors.
SOLITARY_MODULES = frozenset(('chivespoke.serving.tests.test_crowds',))
# A test that runs longer than this many seconds is considered hung: its
# process writes a report and exits. All checks together must finish within ten
# minutes.
HANG_SECONDS = 300.0
# Seconds after which the process exits even if the report cannot be written,
# because a call that holds the interpreter lock keeps all threads waiting.
HANG_REPORT_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class ModuleResult:
    """Outcome of one test module."""

    module: str
    ran: int
    skipped: int
    failed: frozenset[str]
    output: str


class HangWatchdog:
    """End the process with a report when one test takes too long.

    The report names the test and holds the stacks of all threads and asyncio
    tasks: a thread in an event loop does not show what the loop waits for.
    """

    def __init__(self, report_path: pathlib.Path) -> None:
        self._report_path = report_path
        self._timer: threading.Timer | None = None

    def watch(self, name: str) -> None:
        """Start to measure the time of a test, instead of the one before."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = threading.Timer(HANG_SECONDS, self._end, [name])
        self._timer.daemon = True
        self._timer.start()
        faulthandler.dump_traceback_later(
            HANG_SECONDS + HANG_REPORT_SECONDS, exit=True
        )

    def _end(self, name: str) -> None:
        with self._report_path.open('w', encoding='utf-8') as report:
            report.write(f'{name} did not end within {HANG_SECONDS:.0f} s\n')
            report.flush()
            faulthandler.dump_traceback(report)
            # asyncio.all_tasks() only works in the thread of the event loop.
            for task in gc.get_objects():
                if isinstance(task, asyncio.Task) and not task.done():
                    task.print_stack(file=report)
        os._exit(1)


class WatchedResult(unittest.TextTestResult):
    """Tell the watchdog of the process which test runs.

    A test is watched until the next one starts: an asyncio test closes its
    event loop only after unittest has stopped it.
    """

    watchdog: typing.ClassVar[HangWatchdog]

    def startTest(self, test: unittest.TestCase) -> None:
        self.watchdog.watch(test.id())
        super().startTest(test)


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


def run_module(
    module: str, pattern: str, verbosity: int, report_path: pathlib.Path
) -> ModuleResult:
    """Run the test cases of a module whose identifier contains a pattern."""
    if str(ROOT) not in sys.path:
        sys.path.insert(0, str(ROOT))
    WatchedResult.watchdog = HangWatchdog(report_path)
    WatchedResult.watchdog.watch(module)
    settings.register_profile('ci', derandomize=True, deadline=None)
    settings.load_profile('ci')
    loguru.logger.remove()
    suite = unittest.TestLoader().loadTestsFromName(module)
    cases = [case for case in iterate_cases(suite) if pattern in case.id()]
    output = io.StringIO()
    runner = unittest.TextTestRunner(
        output,
        verbosity=verbosity,
        resultclass=WatchedResult,  # type: ignore[arg-type]
    )
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


def run_in_process(module: str, pattern: str, verbosity: int) -> ModuleResult:
    """Run a module in a process of its own; count its loss as a failure."""
    # A fresh process, so that no module can depend on the state that another
    # one leaves behind.
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ProcessPoolExecutor(
            1, mp_context=multiprocessing.get_context('spawn')
        ) as pool,
    ):
        report_path = pathlib.Path(folder, 'hang.txt')
        future = pool.submit(
            run_module, module, pattern, verbosity, report_path
        )
        try:
            return future.result()
        except process.BrokenProcessPool:
            output = 'The process of the module ended abruptly.'
            if report_path.exists():
                output = report_path.read_text(encoding='utf-8')
            return ModuleResult(module, 1, 0, frozenset([module]), output)


def run_modules(pattern: str, verbosity: int) -> list[ModuleResult]:
    """Run all modules, several at a time but for the solitary ones."""

    def run(module: str) -> ModuleResult:
        return run_in_process(module, pattern, verbosity)

    modules = list(list_modules())
    solitary = [each for each in modules if each in SOLITARY_MODULES]
    others = [each for each in modules if each not in SOLITARY_MODULES]
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_MODULES) as threads:
        results = list(threads.map(run, others))
    return results + [run(module) for module in solitary]


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
