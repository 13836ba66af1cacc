"""Structured logging: short sentences, a fixed prefix for each part."""

import enum
import os
import sys
import time
import typing

import loguru
import msgspec

HUMAN_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} '
    '[{extra[part]}] {message} {extra[fields]}'
)

# Lines a second that a process may write, and how many at once: three times
# the lines of the busiest entry at the size to design for.
LINES_A_SECOND = 400
LINES_BURST = 2000


class LogFormat(enum.Enum):
    """Name the ways in which a log line is written."""

    HUMAN = 'human'
    JSON = 'json'


class PartLogger:
    """Write the log lines of one part, each with the part's prefix."""

    __slots__ = ('_logger',)

    def __init__(self, part: str) -> None:
        self._logger = loguru.logger.bind(part=part, fields='')

    def debug(self, sentence: str, **fields: typing.Any) -> None:
        """Write a line for developers."""
        self._write('DEBUG', sentence, fields)

    def info(self, sentence: str, **fields: typing.Any) -> None:
        """Write a line for operators."""
        self._write('INFO', sentence, fields)

    def warning(self, sentence: str, **fields: typing.Any) -> None:
        """Write a line on something that may need a hand."""
        self._write('WARNING', sentence, fields)

    def error(self, sentence: str, **fields: typing.Any) -> None:
        """Write a line on something that failed."""
        self._write('ERROR', sentence, fields)

    def _write(
        self, level: str, sentence: str, fields: dict[str, typing.Any]
    ) -> None:
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._logger.bind(fields=text, **fields).log(level, sentence)


def make_logger(part: str) -> PartLogger:
    """Return the logger of a part, named once at the top of a module."""
    return PartLogger(part)


def configure_logs(log_format: LogFormat, level: str) -> None:
    """Send every log line to standard error in the given format."""
    loguru.logger.remove()
    loguru.logger.configure(extra={'part': 'chivespoke', 'fields': ''})
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=HUMAN_FORMAT,
        serialize=log_format is LogFormat.JSON,
    )


class LineSink:
    """Write lines without ever blocking, and no more than a bounded rate."""

    __slots__ = ('_descriptor', '_allowance', '_refilled_at', '_dropped')

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._allowance = float(LINES_BURST)
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def write(self, message: 'loguru.Message') -> None:
        """Write one line, or count it as dropped."""
        if not self._take_allowance():
            self._dropped += 1
            return
        record = message.record
        line = {
            'time': record['time'].timestamp(),
            'level': record['level'].name,
            'part': record['extra']['part'],
            'message': record['message'],
        }
        if self._dropped:
            line['dropped_before'] = self._dropped
        # The part's own fields, beside the two that loguru is bound to.
        for key, value in record['extra'].items():
            if key not in ('part', 'fields'):
                line[key] = value
        try:
            os.write(
                self._descriptor,
                msgspec.json.encode(line, enc_hook=str) + b'\n',
            )
        except OSError:
            # Nobody reads, or not fast enough; the next line tells how many.
            self._dropped += 1
        else:
            self._dropped = 0

    def _take_allowance(self) -> bool:
        now = time.monotonic()
        passed = now - self._refilled_at
        self._refilled_at = now
        self._allowance = min(
            LINES_BURST, self._allowance + passed * LINES_A_SECOND
        )
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def configure_json_lines(level: str = 'INFO') -> None:
    """Send log lines to standard output as JSON, bounded, never blocking."""
    loguru.logger.remove()
    loguru.logger.configure(extra={'part': 'chivespoke', 'fields': ''})
    loguru.logger.add(
        LineSink(sys.stdout.fileno()).write, level=level, format='{message}'
    )
