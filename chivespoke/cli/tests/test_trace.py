"""Tests of the trace command."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from chivespoke import cli  # noqa: F401 registers the commands
from chivespoke.cli import _application

ENTRY = """\
12.5 entry-1 {"time":2.5,"part":"intake","message":"Answered.","job":"abc"}
not a line of a log
{"time":1.0,"part":"term","message":"Took over.","epoch":7}
"""
SIDECAR = (
    '{"time":3.0,"part":"session","message":"Settled.","task":"abc.0.0.1"}\n'
)


class TraceTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = []
        for name, text in (('side.log', SIDECAR), ('entry.log', ENTRY)):
            path = pathlib.Path(folder.name, name)
            path.write_text(text, encoding='utf-8')
            self.files.append(str(path))

    def trace(self, *arguments: str) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = _application.run(['trace', *arguments])
        return code, [
            line.split('[')[1].split(']')[0]
            for line in output.getvalue().splitlines()
        ]

    def test_lines_of_a_job_are_sorted_by_time(self) -> None:
        result = self.trace('abc', *self.files)
        self.assertEqual((0, ['intake', 'session']), result)

    def test_around_adds_nearby_context_lines(self) -> None:
        result = self.trace('abc', *self.files, '--around', '2')
        self.assertEqual((0, ['term', 'intake', 'session']), result)

    def test_no_matching_line_is_a_failure(self) -> None:
        self.assertEqual((1, []), self.trace('xyz', *self.files))


if __name__ == '__main__':
    unittest.main()
