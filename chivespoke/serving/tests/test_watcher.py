"""Tests of reloading the settings file."""

import pathlib
import tempfile
import unittest

from chivespoke import errors
from chivespoke import platform
from chivespoke.serving import _watcher
from chivespoke.serving.tests import builders


def write_settings(path: pathlib.Path, lease_ms: int, name: str) -> None:
    text = builders.SETTINGS_TEMPLATE.format(
        name=name,
        kind='edge',
        ip='127.0.0.1',
        port=builders.FIRST_PORT,
        worker='',
        advisor='',
        store='127.0.0.1:1',
    )
    path.write_text(
        text.replace('max_hold_ms = 10000', f'max_hold_ms = {lease_ms}'),
        encoding='utf-8',
    )


class WatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, 'settings.toml')
        write_settings(self.path, 10000, 'entry-1')
        self.holder = platform.MachineSettingsHolder(
            platform.read_machine_settings(self.path)
        )
        self.watcher = _watcher.SettingsWatcher(self.path, self.holder)

    def test_reload_replaces_the_bounds_but_not_the_name(self) -> None:
        write_settings(self.path, 6000, 'entry-2')
        self.watcher.reload()
        self.assertEqual(6.0, self.holder.machine.bounds.max_lease_seconds)
        self.assertEqual('entry-1', self.holder.machine.name)

    def test_unreadable_file_keeps_the_current_settings(self) -> None:
        before = self.holder.machine
        self.path.write_text('node_name = ', encoding='utf-8')
        self.watcher.reload()
        self.assertIs(before, self.holder.machine)

    def test_error_for_bad_settings_names_the_file(self) -> None:
        self.path.write_text('ip = "10.0.0.1"', encoding='utf-8')
        with self.assertRaises(errors.SettingsError) as caught:
            platform.read_machine_settings(self.path)
        self.assertEqual(str(self.path), caught.exception.peer)


if __name__ == '__main__':
    unittest.main()
