"""Structured logging: short sentences with fields, one logger per part."""

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

# Rate and burst of the log lines of a process: three times the lines of the
# busiest entry at the largest supported size.
MAX_LINES_PER_SECOND = 400
MAX_BURST_LINES = 2000


class LogFormat(enum.Enum):
    """Format of log lines."""

    HUMAN = 'human'
    JSON = 'json'


class PartLogger:
    """Write the log lines of one part of a process."""

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
        """Write a line on a condition that may need an operator."""
        self._write('WARNING', sentence, fields)

    def error(self, sentence: str, **fields: typing.Any) -> None:
        """Write a line on a failure."""
        self._write('ERROR', sentence, fields)

    def _write(
        self, level: str, sentence: str, fields: dict[str, typing.Any]
    ) -> None:
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._logger.bind(fields=text, **fields).log(level, sentence)


def make_logger(part: str) -> PartLogger:
    """Return the logger of a part; modules call this once, at the top."""
    return PartLogger(part)


def configure_logs(log_format: LogFormat, level: str) -> None:
    """Write all log lines to standard error in the given format."""
    loguru.logger.remove()
    loguru.logger.configure(extra={'part': 'chivespoke', 'fields': ''})
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=HUMAN_FORMAT,
        serialize=log_format is LogFormat.JSON,
    )


class LineSink:
    """Write log lines without blocking, limited by a token bucket."""

    __slots__ = ('_descriptor', '_tokens', '_refilled_at', '_dropped')

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def write(self, message: 'loguru.Message') -> None:
        """Write one line, or drop and count it.

        The next line that is written reports the number of dropped lines.
        """
        if not self._take_token():
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
        # Add the fields of the line itself; part and fields are bound to
        # every line.
        for key, value in record['extra'].items():
            if key not in ('part', 'fields'):
                line[key] = value
        try:
            os.write(
                self._descriptor,
                msgspec.json.encode(line, enc_hook=str) + b'\n',
            )
        except OSError:
            # The reader is closed or too slow.
            self._dropped += 1
        else:
            self._dropped = 0

    def _take_token(self) -> bool:
        now = time.monotonic()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + elapsed * MAX_LINES_PER_SECOND
        )
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def configure_json_lines(level: str = 'INFO') -> None:
    """Write JSON lines to standard output, rate limited, without blocking."""
    loguru.logger.remove()
    loguru.logger.configure(extra={'part': 'chivespoke', 'fields': ''})
    loguru.logger.add(
        LineSink(sys.stdout.fileno()).write, level=level, format='{message}'
    )
