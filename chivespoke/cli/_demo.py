"""Run the whole system in one process and show what it does."""

import asyncio
import contextlib
import pathlib
import signal
import typing

import cyclopts

from chivespoke.cli import _output
from chivespoke import clock
from chivespoke import demo
from chivespoke import logs


class _Narrator(demo.Reporter):
    """Print the story for a reader at a terminal."""

    __slots__ = ('_step',)

    def __init__(self) -> None:
        self._step = 0

    def begin_step(self, title: str) -> None:
        self._step += 1
        _output.print_line(f'\n{self._step}. {title}')

    def report_result(self, sentence: str) -> None:
        _output.print_line(f'   {sentence}')


class _Silent(demo.Reporter):
    """Say nothing; the figures are printed as JSON."""

    def begin_step(self, title: str) -> None:
        return None

    def report_result(self, sentence: str) -> None:
        return None


def show_demo(
    *,
    settings: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help='Whose sizes to use, such as examples/cedar_hollow.yaml.'
        ),
    ] = None,
    keep: typing.Annotated[
        bool,
        cyclopts.Parameter(
            negative=(), help='Stay up afterwards, until Ctrl-C.'
        ),
    ] = False,
    log_level: typing.Annotated[
        str, cyclopts.Parameter(help='The least level of log lines shown.')
    ] = 'ERROR',
    json: _output.JsonFlag = False,
) -> None:
    """Run the whole system in one process, on loopback, and show it work.

    A log, workers and backend servers are stand-ins; everything between
    them is real and talks over sockets. It ends by itself.

    Example: chivespoke demo --settings examples/cedar_hollow.yaml --keep
    """
    logs.configure_logs(logs.LogFormat.HUMAN, log_level)
    found = (
        demo.read_demo_settings(settings)
        if settings is not None
        else demo.DEFAULT_SETTINGS
    )
    measures = asyncio.run(_run(found, keep, json))
    if json:
        _output.print_json(measures)
    else:
        _print_measures(measures)


async def _run(
    found: demo.DemoSettings, keep: bool, json: bool
) -> demo.Measures:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    cluster = demo.Cluster(found, clock.SystemClock())
    reporter = _Silent() if json else _Narrator()
    story = demo.Story(cluster, found, reporter, clock.SystemClock())
    await cluster.start()
    try:
        await _run_until(story, stop)
        if keep and not stop.is_set():
            _print_hints(cluster, found)
            await stop.wait()
    finally:
        await cluster.stop()
    return story.measures


async def _run_until(story: demo.Story, stop: asyncio.Event) -> None:
    """Run the story; give up gracefully when told to stop."""
    telling = asyncio.ensure_future(story.run())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (telling, stopping), return_when=asyncio.FIRST_COMPLETED
    )
    stopping.cancel()
    if telling.done():
        telling.result()
        return
    telling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await telling


def _print_hints(cluster: demo.Cluster, found: demo.DemoSettings) -> None:
    base = cluster.balancer.format_http()
    _output.print_line('\nIt stays up; Ctrl-C stops it. Try in another shell:')
    for path in (
        f'/services/{found.service.name}/hello',
        '/configuration',
        '/v1/jobs',
        '/metrics',
    ):
        _output.print_line(f'   curl -i {base}{path}')


def _print_measures(measures: demo.Measures) -> None:
    rows: list[tuple[str, str]] = [
        (
            'tail latency, before',
            f'p50 {measures.p50_before:.1f} ms, '
            f'p99 {measures.p99_before:.1f} ms',
        ),
        (
            'tail latency, data centre out',
            f'p50 {measures.p50_during:.1f} ms, '
            f'p99 {measures.p99_during:.1f} ms',
        ),
        (
            'batch throughput',
            f'{measures.tasks_completed} tasks in '
            f'{measures.job_seconds:.1f} s',
        ),
        ('evictions', str(measures.evictions)),
        (
            'work done while it was out',
            f'{measures.completed_while_out} tasks',
        ),
        ('starts there that came too late', str(measures.late_starts)),
        ('calls that ran twice', str(measures.runs_beyond_calls)),
        (
            'calls by outcome',
            ', '.join(
                f'{count} {outcome}'
                for outcome, count in sorted(measures.outcomes.items())
            ),
        ),
    ]
    _output.print_line('')
    _output.print_table(
        f'What {measures.user} measures', ('measure', 'value'), rows
    )
