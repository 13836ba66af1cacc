"""One job takes ten times as long as estimated, and others never start.

All runners are sound. Job LONG has 64 tasks of half a core in a queue of
priority 0; the jobs SHORT come 10 s later, in a queue of priority 2. 8 runners
have 128 cores.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common-2'))
import world

LONG = '00000000000000d1'
SHORT = ('00000000000000d2', '00000000000000d3', '00000000000000d4')
LOW = '/lohu931/'
WORK_SECONDS = 200
# `finish_s` after the end of the traffic, a job may have nothing running for
# 3 s.
FINISH_SECONDS = 14.0
WATCH_SECONDS = FINISH_SECONDS + 10.0


async def scenario(w, trouble):
    await w.write_config(2, [(world.PREFIX, 4, 0), (LOW, 4, 2)])
    await asyncio.sleep(3)
    # Up to nine tenths off, as the estimates of the site files are.
    estimate = WORK_SECONDS * (100 if trouble else 1000)
    if not await w.submit(LONG, [{
            'count': 64, 'cpu': 500, 'mem_mb': 16,
            'estimated_ms': estimate}], f'work {WORK_SECONDS} uses 500'):
        return None
    await asyncio.sleep(10)
    for job in SHORT:
        if not await w.submit(job, [{
                'count': 1, 'cpu': 100, 'mem_mb': 16,
                'estimated_ms': 500}], 'work 0.5', prefix=LOW):
            return None
    began = time.monotonic()
    most = 0
    waiting = set(SHORT)
    while waiting and time.monotonic() < began + WATCH_SECONDS:
        await asyncio.sleep(0.25)
        most = max(most, len(w.find_running()))
        for job in sorted(waiting):
            if await w.state(job, LOW, log=False) == 'completed':
                waiting.discard(job)
    ends = [each for each in w.read_events() if each['event'] == 'end'
            and each['task'].startswith(LONG)]
    stopped = sum(each['how'] == 'stopped' for each in ends)
    w.record(f'runs of the long job that the system stopped: {stopped}')
    broken = []
    for job in sorted(waiting):
        state = await w.state(job, LOW)
        if not any(each['event'] == 'begin' and each['task'].startswith(job)
                   for each in w.read_events()):
            broken.append(
                f'job {job} was accepted, and {WATCH_SECONDS:.0f} s later '
                f'nothing of it has started; it is shown as {state}; at most '
                f'{most / 2} of 128 cores were in use, and {stopped} runs of the '
                f'long job were stopped meanwhile')
    return broken


world.play(pathlib.Path(__file__).parent, scenario, sidecars=8)
