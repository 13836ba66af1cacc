"""Commands that measure the log client and the configuration."""

import asyncio
import collections.abc

import msgspec

from chivespoke.bench import _config
from chivespoke.bench import _log
from chivespoke.cli import _output
from chivespoke import logs


def show_log(*, seconds: float = 3.0, json: _output.JsonFlag = False) -> None:
    """Measure appends, bytes per record, replay and snapshots.

    Parameters
    ----------
    seconds
        Seconds of measurement at each append rate.
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    report = asyncio.run(_log.measure_log(seconds))
    if json:
        _output.print_json(report)
        return
    _print_rows('appends', report.appends)
    _print_rows('frames', report.frames)
    _print_rows('replay', report.replays)


def show_config(
    *, seconds: float = 10.0, json: _output.JsonFlag = False
) -> None:
    """Measure replay, rollout time and the resource use of an entry.

    Parameters
    ----------
    seconds
        Seconds of measurement of an entry, idle and then under load.
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    report = asyncio.run(_config.measure_config(seconds))
    if json:
        _output.print_json(report)
        return
    _print_rows('replay', report.replays)
    _print_rows('accepted to in force', report.in_force)
    _print_rows('an entry a second', report.costs)


def _print_rows(
    title: str, rows: collections.abc.Sequence[msgspec.Struct]
) -> None:
    fields = rows[0].__struct_fields__
    _output.print_table(
        title,
        [field.replace('_', ' ') for field in fields],
        [[getattr(row, field) for field in fields] for row in rows],
    )
