"""Tests of settings files and of their reference page."""

import pathlib
import re
import tempfile
import unittest

from chivespoke import errors
from chivespoke import settings
from chivespoke import settings_reference

VALID = """\
name: entry-1
data_centre: colombo-1
http:
  host: 127.0.0.1
  port: 8080
platform_log:
  host: 127.0.0.1
  port: 9000
"""

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Text to replace, its replacement, and the line and a part of the error.
BAD_CASES = (
    ('port: 8080', 'port: soon', ':5', "http.port: 'soon'"),
    ('port: 8080', 'prt: 8080', ':5', 'did you mean port?'),
    ('name: entry-1', '# none', ':1', 'the key name is missing'),
    ('host: 127.0.0.1', 'host: localhost', ':4', "http.host: 'localhost'"),
    ('name:', 'heartbeat_limit: 0.5\nname:', ':1', 'at least 2 times'),
    ('name:', 'log: {level: LOUD}\nname:', ':1', "'LOUD'"),
    ('name:', 'shards: [a, 3]\nname:', ':1', 'shards.1: 3'),
    ('name:', 'name: x\nname:', ':2', 'duplicate key'),
    ('port: 8080', 'port: 80800', ':5', '65535'),
    ('port: 8080', 'port: soon', ':5', 'int'),
    ('port: 8080', 'prt: 8080', ':5', 'prt'),
    ('data_centre:', 'data_centre: [', ':3', ''),
)


class ReadSettingsTest(unittest.TestCase):
    """Read valid and invalid settings files."""

    def read(self, text: str) -> settings.EntrySettings:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'entry.yaml'
            path.write_text(text, encoding='utf-8')
            return settings.read_settings(path, settings.EntrySettings)

    def test_valid_settings(self) -> None:
        found = self.read(VALID)
        self.assertEqual('entry-1', found.name)
        self.assertEqual(8080, found.http.port)

    def test_errors_name_line_and_cause(self) -> None:
        for old, new, line, word in BAD_CASES:
            with self.subTest(new=new):
                with self.assertRaises(errors.SettingsError) as caught:
                    self.read(VALID.replace(old, new))
                self.assertIn(line, caught.exception.peer)
                self.assertIn(word, caught.exception.detail)

    def test_fractions_are_read_as_numbers(self) -> None:
        found = self.read(VALID + 'heartbeat_interval: 0.25\n')
        self.assertEqual(0.25, found.heartbeat_interval)

    def test_kind_is_detected_from_keys(self) -> None:
        for name, kind in (
            ('entry.yaml', settings.EntrySettings),
            ('sidecar.yaml', settings.SidecarSettings),
        ):
            found = settings.check_settings(ROOT / 'examples' / name)
            self.assertIsInstance(found, kind)

    def test_missing_file(self) -> None:
        with self.assertRaises(errors.SettingsError):
            settings.read_settings(
                pathlib.Path('absent.yaml'), settings.EntrySettings
            )


class SettingsPageTest(unittest.TestCase):
    """Compare the settings page with the structs."""

    def test_page_lists_exactly_the_keys_of_the_code(self) -> None:
        page = (ROOT / 'docs' / 'settings.md').read_text(encoding='utf-8')
        _, entry_part, sidecar_part = page.split('\n## ')[:3]
        for part, kind in (
            (entry_part, settings.EntrySettings),
            (sidecar_part, settings.SidecarSettings),
        ):
            expected = [
                f'| `{key.name}` | {key.type_name} | {key.default} |'
                for key in settings_reference.list_keys(kind)
            ]
            rows = re.findall(r'^\| `.*$', part, re.MULTILINE)
            shown = [row.rsplit('|', 2)[0] + '|' for row in rows]
            with self.subTest(kind=kind.__name__):
                self.assertEqual(expected, shown)


if __name__ == '__main__':
    unittest.main()
