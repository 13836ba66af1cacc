"""Measure the request path."""

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
        int, cyclopts.Parameter(help='Requests to send.')
    ] = 100_000,
    json: _output.JsonFlag = False,
) -> None:
    """Run requests over a faulty network model and check invariants.

    Example: chivespoke bench requests --seed 1 --requests 100000
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    found = bench.run_requests(seed, requests)
    if json:
        _output.print_json(found)
        return
    rows = [(name, getattr(found, name)) for name in found.__struct_fields__]
    _output.print_table('every invariant held', ('figure', 'value'), rows)


def show_routing(
    *,
    seed: Seed = 1,
    seconds: typing.Annotated[
        float, cyclopts.Parameter(help='Seconds of each measurement.')
    ] = 8.0,
    json: _output.JsonFlag = False,
) -> None:
    """Measure the request path over daemons, beside naive routing.

    Example: chivespoke bench routing --seed 1 --json
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    found = asyncio.run(bench.measure_routing(seed, seconds))
    if json:
        _output.print_json(found)
        return
    _output.print_line(
        f'{found.requests_per_second:.0f} requests/s; at half of that added '
        f'p50 {found.added_p50_ms:.2f} ms, p99 {found.added_p99_ms:.2f} ms, '
        f'p99.9 {found.added_p999_ms:.2f} ms'
    )
    _output.print_table(
        'one of ten servers slow; then 150% load',
        ('policy', 'slow p99 ms', 'useful share', 'expired in queue'),
        [
            (
                each.policy,
                each.slow_server.p99 * 1000,
                each.overload_useful,
                each.expired_in_queue,
            )
            for each in found.policies
        ],
    )
