"""Tests of the settings that a deployment gives to the daemons."""

import unittest

from chivespoke import errors
from chivespoke.serving import _assembly


class DelaySettingTest(unittest.TestCase):
    def test_jobs_are_delayed_only_where_the_setting_says_so(self) -> None:
        for environment, expected in (
            ({}, False),
            ({_assembly.DELAY_VARIABLE: '0'}, False),
            ({_assembly.DELAY_VARIABLE: '1'}, True),
        ):
            with self.subTest(environment=environment):
                self.assertIs(
                    expected, _assembly.read_delay_setting(environment)
                )

    def test_other_values_are_refused(self) -> None:
        for text in ('', 'yes', 'true', '2'):
            with (
                self.subTest(text=text),
                self.assertRaises(errors.SettingsError),
            ):
                _assembly.read_delay_setting({_assembly.DELAY_VARIABLE: text})
