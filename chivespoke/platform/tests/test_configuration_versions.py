"""Tests of the versions that entries name to each other."""

import unittest

from chivespoke import platform

# Value of the header, None for no header, and version.
CASES = (
    (None, 0),
    ('', 0),
    ('newest', 0),
    ('-5', 0),
    ('1.5', 0),
    ('9' * 40, 0),
    ('129', 129),
)


class ConfigurationVersionTest(unittest.TestCase):
    def test_what_is_no_version_counts_as_none(self) -> None:
        for value, version in CASES:
            with self.subTest(value=value):
                headers = {}
                if value is not None:
                    headers['Chivespoke-Configuration-Version'] = value
                self.assertEqual(
                    version, platform.read_configuration_version(headers)
                )

    def test_version_is_handed_on(self) -> None:
        headers = platform.encode_configuration_version(129)
        self.assertEqual(129, platform.read_configuration_version(headers))

    def test_paths_of_jobs_are_told_from_those_of_queues(self) -> None:
        for path, expected in (
            ('/jobs/00000000000000a1', True),
            ('/jobs/', False),
            ('/jobs/00000000000000g1', False),
            ('/', False),
        ):
            with self.subTest(path):
                self.assertEqual(expected, platform.names_job(path))


if __name__ == '__main__':
    unittest.main()
