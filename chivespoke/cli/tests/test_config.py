"""Tests of the configuration commands against a running entry."""

import asyncio
import json
import pathlib
import tempfile
import threading
import typing
import unittest

from chivespoke.cli.tests import test_application
from chivespoke import clock as clocks
from chivespoke import daemons
from chivespoke import identifiers
from chivespoke.operators.tests import builders
from chivespoke import settings
from chivespoke import standins

START_TIMEOUT_SECONDS = 20.0


class EntryThread:
    """Run an entry and its log in a separate thread."""

    def __init__(self) -> None:
        self.url = ''
        self._ready = threading.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stop: asyncio.Event | None = None
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run())
        )

    def start(self) -> None:
        """Start the thread and wait until the entry answers."""
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_SECONDS):
            raise AssertionError(
                f'the entry did not start within {START_TIMEOUT_SECONDS} s'
            )

    def stop(self) -> None:
        """Stop the entry and its thread."""
        if self._loop is not None and self._stop is not None:
            self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    async def _run(self) -> None:
        clock = clocks.SystemClock()
        log = standins.LogServer(standins.MemoryLog(clock), settings.Address())
        await log.start()
        entry = daemons.Entry(
            settings.EntrySettings(
                name='entry-1',
                data_centre=identifiers.DataCentreName('colombo-1'),
                platform_log=log.address,
            ),
            clock,
            balancer_notice_seconds=0.0,
        )
        await entry.start()
        self._loop, self._stop = asyncio.get_running_loop(), asyncio.Event()
        self.url = entry.http.address.format_http()
        self._ready.set()
        await self._stop.wait()
        await entry.stop()
        await log.stop()


class ConfigCommandsTest(unittest.TestCase):
    """Run the commands as an operator does."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.entry = EntryThread()
        self.entry.start()
        self.addCleanup(self.entry.stop)

    def run_command(self, *arguments: str) -> tuple[int, str]:
        code, output, error_output = test_application.run(
            *arguments, '--entry', self.entry.url
        )
        return code, output + error_output

    def write(self, name: str, value: typing.Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(value), encoding='utf-8')
        return str(path)

    def test_change_from_proposal_to_explanation(self) -> None:
        base_patch = self.write(
            'base.json',
            [
                {'op': 'add', 'path': f'/{section}/{name}', 'value': value}
                for section in ('data_centres', 'teams', 'services')
                for name, value in builders.BASE_TREE[section].items()
            ],
        )
        code, output = self.run_command(
            'config', 'patch', base_patch, '--base', '0', '--patch-id', 'p1'
        )
        self.assertEqual((0, True), (code, 'version 1' in output), output)
        # A repeated patch id returns the first decision.
        code, output = self.run_command(
            'config', 'patch', base_patch, '--base', '0', '--patch-id', 'p1'
        )
        self.assertEqual((0, True), (code, 'version 1' in output), output)
        outage = self.write(
            'outage.json',
            [
                {
                    'op': 'add',
                    'path': '/data_centres/colombo-1/state',
                    'value': 'out-of-service',
                }
            ],
        )
        code, output = self.run_command(
            'config', 'patch', outage, '--base', '1', '--dry-run'
        )
        self.assertEqual(0, code)
        self.assertIn('colombo-1', output)
        self.assertIn('impossible', output)
        code, output = self.run_command(
            'config', 'patch', outage, '--base', '0'
        )
        self.assertEqual(3, code)
        self.assertIn('stands at 1', output)
        self.assertEqual(
            0, self.run_command('config', 'patch', outage, '--base', '1')[0]
        )
        self.assertEqual(0, self.run_command('config', 'wait', '2')[0])
        for arguments, expected in (
            (('config', 'show'), 'colombo-1'),
            (('config', 'show', '1', '--json'), '"version": 1'),
            (('config', 'history'), '/teams/counting'),
            (('config', 'diff', '1', '2'), 'out-of-service'),
            (('status',), 'in force at 1 of 1'),
            (('explain', 'service', 'counts'), 'take colombo-1 back'),
            (('explain', 'data-centre', 'colombo-1', '--json'), 'since_ver'),
        ):
            with self.subTest(arguments=arguments):
                code, output = self.run_command(*arguments)
                self.assertEqual(0, code, output)
                self.assertIn(expected, output)

    def test_validate_needs_no_entry(self) -> None:
        good = self.write('good.json', builders.BASE_TREE)
        bad = self.write('bad.json', {'services': {'x': {'team': 'none'}}})
        self.assertEqual(
            0, test_application.run('config', 'validate', good)[0]
        )
        code, _, error_output = test_application.run('config', 'validate', bad)
        self.assertEqual(2, code)
        self.assertIn('/services/x/team', error_output)


if __name__ == '__main__':
    unittest.main()
