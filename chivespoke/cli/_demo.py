"""The command that demonstrates the whole system in one process."""

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


class _ConsoleReporter(demo.Reporter):
    """Print the steps of the demonstration for a reader at a terminal."""

    __slots__ = ('_step',)

    def __init__(self) -> None:
        self._step = 0

    def begin_step(self, title: str) -> None:
        self._step += 1
        _output.print_line(f'\n{self._step}. {title}')

    def report_result(self, sentence: str) -> None:
        _output.print_line(f'   {sentence}')


class _SilentReporter(demo.Reporter):
    """Print no steps, since the results are printed as JSON."""

    def begin_step(self, title: str) -> None:
        return None

    def report_result(self, sentence: str) -> None:
        return None


def show_demo(
    *,
    settings: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help='Sizes of the demonstration, such as '
            'examples/cedar_hollow.yaml.'
        ),
    ] = None,
    keep: typing.Annotated[
        bool,
        cyclopts.Parameter(
            negative=(), help='Keep running afterwards, until Ctrl-C.'
        ),
    ] = False,
    log_level: typing.Annotated[
        str, cyclopts.Parameter(help='Lowest level of the log messages shown.')
    ] = 'ERROR',
    json: _output.JsonFlag = False,
) -> None:
    """Demonstrate the whole system in one process, on loopback.

    The log, workers and backend servers are fakes; the other components
    are real and communicate over sockets. It ends by itself.

    Example: chivespoke demo --settings examples/cedar_hollow.yaml --keep
    """
    logs.configure_logs(logs.LogFormat.HUMAN, log_level)
    demo_settings = (
        demo.read_demo_settings(settings)
        if settings is not None
        else demo.DEFAULT_SETTINGS
    )
    measures = asyncio.run(_run(demo_settings, keep, json))
    if json:
        _output.print_json(measures)
    else:
        _print_measures(measures)


async def _run(
    demo_settings: demo.DemoSettings, keep: bool, json: bool
) -> demo.Measures:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    cluster = demo.Cluster(demo_settings, clock.SystemClock())
    reporter = _SilentReporter() if json else _ConsoleReporter()
    story = demo.Story(cluster, demo_settings, reporter, clock.SystemClock())
    await cluster.start()
    try:
        await _run_story(story, stop)
        if keep and not stop.is_set():
            _print_example_requests(cluster, demo_settings)
            await stop.wait()
    finally:
        await cluster.stop()
    return story.measures


async def _run_story(story: demo.Story, stop: asyncio.Event) -> None:
    """Run the demonstration, or cancel it when the stop event is set."""
    story_task = asyncio.ensure_future(story.run())
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (story_task, stop_task), return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    if story_task.done():
        story_task.result()
        return
    story_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await story_task


def _print_example_requests(
    cluster: demo.Cluster, demo_settings: demo.DemoSettings
) -> None:
    base = cluster.balancer.format_http()
    _output.print_line(
        '\nThe cluster runs until Ctrl-C. Try in another shell:'
    )
    for path in (
        f'/services/{demo_settings.service.name}/hello',
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
