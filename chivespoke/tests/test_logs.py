"""Log lines of the platform's daemons."""

import os
import unittest

import loguru
import msgspec

from chivespoke import logs

LINES = 400
BYTES = 1000


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

    def test_line_names_part_and_fields(self) -> None:
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

    def test_full_pipe_never_blocks_and_the_loss_is_told(self) -> None:
        # Far more than a pipe holds, and fewer lines than a burst may have.
        for _ in range(LINES):
            self.logger.info('x' * BYTES)
        written = self.read()
        self.assertLess(len(written), LINES * BYTES)
        lost = LINES - written.count(b'\n')
        self.logger.info('after')
        line = msgspec.json.decode(self.read())
        self.assertEqual(lost, line['dropped_before'])

    def test_more_lines_than_the_rate_allows_are_left_out(self) -> None:
        seen = 0
        for _ in range(2 * logs.LINES_BURST):
            self.logger.info('many')
            seen += self.read().count(b'\n')
        self.assertLess(seen, 2 * logs.LINES_BURST)


if __name__ == '__main__':
    unittest.main()
