"""Structured logging: short sentences, a fixed prefix for each part."""

import enum
import sys
import typing

import loguru

HUMAN_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} '
    '[{extra[part]}] {message} {extra[fields]}'
)


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
