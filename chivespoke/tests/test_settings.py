"""Tests of reading settings."""

import pathlib
import tempfile
import unittest

from chivespoke import errors
from chivespoke import settings

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

# Text to replace, its replacement, the line and a word of the error.
BAD_CASES = (
    ('port: 8080', 'port: 80800', ':5', '65535'),
    ('port: 8080', 'port: soon', ':5', 'int'),
    ('port: 8080', 'prt: 8080', ':5', 'prt'),
    ('data_centre:', 'data_centre: [', ':3', ''),
)


class ReadSettingsTest(unittest.TestCase):
    """Read good and bad files."""

    def read(self, text: str) -> settings.EntrySettings:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'entry.yaml'
            path.write_text(text, encoding='utf-8')
            return settings.read_settings(path, settings.EntrySettings)

    def test_valid_settings(self) -> None:
        found = self.read(VALID)
        self.assertEqual('entry-1', found.name)
        self.assertEqual(8080, found.http.port)

    def test_bad_settings_name_line_and_cause(self) -> None:
        for old, new, line, word in BAD_CASES:
            with self.subTest(new=new):
                with self.assertRaises(errors.SettingsError) as caught:
                    self.read(VALID.replace(old, new))
                self.assertIn(line, caught.exception.peer)
                self.assertIn(word, caught.exception.detail)

    def test_missing_file(self) -> None:
        with self.assertRaises(errors.SettingsError):
            settings.read_settings(
                pathlib.Path('absent.yaml'), settings.EntrySettings
            )


if __name__ == '__main__':
    unittest.main()
