"""The command that follows a request through the daemons' logs."""

import pathlib
import typing

import cyclopts
import msgspec

from chivespoke import errors

STEP = 'read log'


class _Line(msgspec.Struct):
    time: float
    part: str
    message: str


def trace(
    identifier: str,
    /,
    *files: pathlib.Path,
    around: typing.Annotated[float, cyclopts.Parameter(name='--around')] = 0.0,
) -> int:
    """Print every log line on a job, a task or a worker, in order.

    Parameters
    ----------
    identifier
        The job's, task's or worker's name, or its beginning.
    files
        Logs of the daemons, as they wrote them to standard output.
    around
        Print also all changes of leader, settings and dependencies within
        so many seconds of these lines.
    """
    lines = _read_lines(files)
    times = [line.time for line, text, _ in lines if identifier in text]
    for line, text, name in sorted(lines, key=lambda row: row[0].time):
        close = around > 0 and any(
            abs(line.time - time) <= around for time in times
        )
        if identifier in text or (close and line.part in CIRCUMSTANCES):
            print(f'{line.time:.3f} {name} [{line.part}] {text}')
    return 0 if times else 1


# Parts that tell of what all requests depend on.
CIRCUMSTANCES = frozenset(
    {'leadership', 'term', 'follower', 'operator', 'application', 'settings'}
)


def _read_lines(
    files: typing.Iterable[pathlib.Path],
) -> list[tuple[_Line, str, str]]:
    found = []
    for path in files:
        try:
            content = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise errors.SettingsError(STEP, str(path), str(error)) from error
        for text in content.splitlines():
            # What stands before the line's object was put there by whoever
            # collected it.
            _, brace, rest = text.partition('{')
            try:
                line = msgspec.json.decode(brace + rest, type=_Line)
            except msgspec.MsgspecError:
                # Not a line of a daemon's log.
                continue
            found.append((line, brace + rest, path.name))
    return found
