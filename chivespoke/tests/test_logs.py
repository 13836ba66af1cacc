"""Tests of the log lines that daemons write."""

import os
import unittest

import loguru
import msgspec

from chivespoke import logs

LINE_COUNT = 400
LINE_BYTES = 1000


class LineSinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        sink = logs.LineSink(self.writer)
        handler = loguru.logger.add(sink.write, format='{message}')
        self.addCleanup(loguru.logger.remove, handler)
        self.logger = logs.make_logger('part-1')

    def read(self) -> bytes:
        try:
            return os.read(self.reader, 1 << 22)
        except BlockingIOError:
            return b''

    def test_line_has_part_and_fields(self) -> None:
        self.logger.info('A task is assigned.', task='t', run=2)
        line = msgspec.json.decode(self.read())
        expected = {
            'level': 'INFO',
            'part': 'part-1',
            'message': 'A task is assigned.',
            'task': 't',
            'run': 2,
        }
        self.assertEqual(expected, {key: line[key] for key in expected})

    def test_full_pipe_does_not_block_and_drops_are_counted(self) -> None:
        # Far more bytes than a pipe holds, but fewer lines than the burst.
        for _ in range(LINE_COUNT):
            self.logger.info('x' * LINE_BYTES)
        written = self.read()
        self.assertLess(len(written), LINE_COUNT * LINE_BYTES)
        lost = LINE_COUNT - written.count(b'\n')
        self.logger.info('after')
        line = msgspec.json.decode(self.read())
        self.assertEqual(lost, line['dropped_before'])

    def test_lines_above_rate_are_dropped(self) -> None:
        seen = 0
        for _ in range(2 * logs.MAX_BURST_LINES):
            self.logger.info('many')
            seen += self.read().count(b'\n')
        self.assertLess(seen, 2 * logs.MAX_BURST_LINES)


if __name__ == '__main__':
    unittest.main()
