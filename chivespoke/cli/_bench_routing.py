"""Commands that measure and test the request path."""

import asyncio
import typing

import cyclopts

from chivespoke import bench
from chivespoke.cli import _output
from chivespoke import logs

Seed = typing.Annotated[int, cyclopts.Parameter(help='Seed of the run.')]


def show_requests(
    *,
    seed: Seed = 1,
    requests: typing.Annotated[
        int, cyclopts.Parameter(help='Number of requests to send.')
    ] = 100_000,
    json: _output.JsonFlag = False,
) -> None:
    """Run requests over a model of a faulty network and check invariants.

    Example: chivespoke bench requests --seed 1 --requests 100000
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    report = bench.run_requests(seed, requests)
    if json:
        _output.print_json(report)
        return
    rows = [(name, getattr(report, name)) for name in report.__struct_fields__]
    _output.print_table('every invariant held', ('figure', 'value'), rows)


def show_routing(
    *,
    seed: Seed = 1,
    seconds: typing.Annotated[
        float, cyclopts.Parameter(help='Seconds of each measurement.')
    ] = 8.0,
    json: _output.JsonFlag = False,
) -> None:
    """Measure the request path of daemons and compare it with naive routing.

    Example: chivespoke bench routing --seed 1 --json
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    report = asyncio.run(bench.measure_routing(seed, seconds))
    if json:
        _output.print_json(report)
        return
    _output.print_line(
        f'{report.requests_per_second:.0f} requests/s; at half of that added '
        f'p50 {report.added_p50_ms:.2f} ms, p99 {report.added_p99_ms:.2f} ms, '
        f'p99.9 {report.added_p999_ms:.2f} ms'
    )
    _output.print_table(
        'one of ten servers slow; then 150% load',
        ('policy', 'slow p99 ms', 'useful share', 'expired in queue'),
        [
            (
                policy.policy,
                policy.slow_server.p99 * 1000,
                policy.overload_useful,
                policy.expired_in_queue,
            )
            for policy in report.policies
        ],
    )
