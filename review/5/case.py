"""A runner rejects all starts, and the queue is asked for what is pending."""

import asyncio
import pathlib
import sys
import time

from common import deployment as deployments

RUNNERS = 12
# The one runner with this label answers each start with 503.
LABEL = 'b'
GREY_SECONDS = 6.5
# The rule counts jobs that were accepted this long before: visible_ms + 2 s.
VISIBLE_SECONDS = 5.0
JOBS = 4


async def run(deployment, trouble):
    """Hand in jobs for the runner, and ask how many are pending."""
    await deployment.start(
        entries=3,
        workers=RUNNERS,
        labels=lambda number: [
            'a' if number else LABEL,
            f'r1-{number % 3 + 1}',
        ],
    )
    client = deployment.make_client(0)
    runner = deployment.runners[0]
    if trouble:
        runner.refuse_starts = 503
        deployment.world.note('runner is unhealthy', runner=runner.name)
    began_at = time.monotonic()
    identifiers = []
    for _ in range(JOBS):
        identifier = deployments.make_identifier()
        job = deployments.make_job(
            (
                {
                    'count': 1,
                    'cpu': 240,
                    'mem_mb': 480,
                    'estimated_ms': 2000,
                    'requirements': LABEL,
                },
                {'ms': 2000},
            )
        )
        if not await client.submit(identifier, job):
            raise deployments.CannotRunError('a job was not accepted')
        identifiers.append(identifier)
    accepted_at = time.monotonic()
    await asyncio.sleep(accepted_at + VISIBLE_SECONDS + 0.3 - time.monotonic())
    waiting = [
        identifier
        for identifier in identifiers
        if not deployment.world.runs.get(f'{identifier}.0.0.0')
    ]
    pending = await client.count_pending()
    if pending is None:
        raise deployments.CannotRunError('no count of pending jobs')
    if 2 * pending < len(waiting):
        deployment.world.report(
            'MIXED',
            f'{pending} jobs are said to be pending, {len(waiting)} have not '
            f'begun',
        )
    await asyncio.sleep(began_at + GREY_SECONDS - time.monotonic())
    runner.refuse_starts = 0
    await asyncio.sleep(6.0)
    for identifier in identifiers:
        await client.ask(identifier)


if __name__ == '__main__':
    sys.exit(
        deployments.run_case(pathlib.Path(__file__).parent, run, ('MIXED',))
    )
