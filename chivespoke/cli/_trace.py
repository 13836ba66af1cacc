"""The command that follows a job, task or worker through logs."""

import pathlib
import typing

import cyclopts
import msgspec

from chivespoke import errors

READ_STEP = 'read log'


class _LogLine(msgspec.Struct):
    time: float
    part: str
    message: str


def trace(
    identifier: str,
    /,
    *files: pathlib.Path,
    around: typing.Annotated[float, cyclopts.Parameter(name='--around')] = 0.0,
) -> int:
    """Print every log line about a job, a task or a worker, by time.

    Parameters
    ----------
    identifier
        Name of the job, task or worker, or the start of its name.
    files
        Logs that the daemons wrote to standard output.
    around
        Also print changes of leader, settings and dependencies within
        this many seconds of such a line.
    """
    lines = _read_lines(files)
    times = [line.time for line, text, _ in lines if identifier in text]
    for line, text, name in sorted(lines, key=lambda row: row[0].time):
        is_near = around > 0 and any(
            abs(line.time - time) <= around for time in times
        )
        if identifier in text or (is_near and line.part in CONTEXT_PARTS):
            print(f'{line.time:.3f} {name} [{line.part}] {text}')
    return 0 if times else 1


# Parts that log about what all requests depend on.
CONTEXT_PARTS = frozenset(
    {'leadership', 'term', 'follower', 'operator', 'application', 'settings'}
)


def _read_lines(
    files: typing.Iterable[pathlib.Path],
) -> list[tuple[_LogLine, str, str]]:
    lines = []
    for path in files:
        try:
            content = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise errors.SettingsError(
                READ_STEP, str(path), str(error)
            ) from error
        for text in content.splitlines():
            # A log collector may have put a prefix before the JSON object.
            _, brace, rest = text.partition('{')
            try:
                line = msgspec.json.decode(brace + rest, type=_LogLine)
            except msgspec.MsgspecError:
                # Not a log line of a daemon.
                continue
            lines.append((line, brace + rest, path.name))
    return lines
