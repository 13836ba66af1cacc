"""Tests of the root command, its errors and exit codes."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from chivespoke.cli import _application
from chivespoke.cli import _exit_codes
from chivespoke import errors

ROOT = pathlib.Path(__file__).resolve().parents[3]

EXIT_CODE_CASES = (
    (errors.SettingsError, 2),
    (errors.RefusedError, 3),
    (errors.UnavailableError, 4),
    (errors.InvariantError, 5),
    (errors.ChivespokeError, 1),
)


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a command and return its exit code and what it printed."""
    output, error_output = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(error_output),
    ):
        code = _application.run(list(arguments))
    return code, output.getvalue(), error_output.getvalue()


class RunTest(unittest.TestCase):
    """Run commands in this process."""

    def test_exit_code_of_each_error(self) -> None:
        for kind, code in EXIT_CODE_CASES:
            with self.subTest(kind=kind.__name__):
                error = kind('step', 'peer', 'detail')
                self.assertEqual(code, _exit_codes.find_exit_code(error))
                self.assertTrue(_exit_codes.find_next_step(error))

    def test_bad_arguments(self) -> None:
        for arguments in (('settings', 'chek'), ('--absent',)):
            with self.subTest(arguments=arguments):
                code, _, error_output = run(*arguments)
                self.assertEqual(_exit_codes.BAD_INPUT, code)
                self.assertIn('next: ', error_output)

    def test_settings_check(self) -> None:
        path = str(ROOT / 'examples' / 'sidecar.yaml')
        code, output, _ = run('settings', 'check', path, '--json')
        self.assertEqual(_exit_codes.DONE, code)
        self.assertEqual('counting', json.loads(output)['service'])

    def test_settings_check_names_line_and_correction(self) -> None:
        text = (ROOT / 'examples' / 'sidecar.yaml').read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'bad.yaml'
            path.write_text(text.replace('slots', 'slot'))
            code, output, error_output = run('settings', 'check', str(path))
        self.assertEqual((_exit_codes.BAD_INPUT, ''), (code, output))
        self.assertIn('bad.yaml:11: unknown key slot', error_output)
        self.assertIn('did you mean slots?', error_output)

    def test_help_has_examples_and_exit_codes(self) -> None:
        code, output, _ = run('--help')
        self.assertEqual(_exit_codes.DONE, code)
        self.assertIn('Exit codes', output)
        self.assertIn('chivespoke demo', output)


if __name__ == '__main__':
    unittest.main()
