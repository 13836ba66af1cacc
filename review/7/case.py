"""A runner that drains is cut off, refuses connections, and runs on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common-2'))
import world

JOB = '00000000000000a1'
# The cut: at most 5.5 s, on one runner of six.
CUT_SECONDS = 5.0


async def scenario(w, trouble):
    steps = [{'count': 12, 'cpu': 1500, 'mem_mb': 64, 'estimated_ms': 20000,
              'checkpointing': True}]
    if not await w.submit(JOB, steps, 'work 20 saves 16'):
        return None
    for _ in range(50):
        await asyncio.sleep(0.1)
        if len(w.find_running(JOB)) == 12:
            break
    else:
        return None
    # The runner with the most tasks is emptied and taken away.
    hosts = [each['runner'] for each in w.find_running(JOB).values()]
    sidecar = max(set(hosts), key=hosts.count).split('-', 1)[1].rsplit('-', 1)[0]
    w.signal(f'runner of {sidecar}', 10)
    await asyncio.sleep(3.6)
    if trouble:
        gate = w.gates[sidecar]
        await gate.refuse()
        w.record(f'the runner of {sidecar} is cut off: connections refused')
        await asyncio.sleep(CUT_SECONDS)
        await gate.open()
        w.record('the cut has ended')
    else:
        await asyncio.sleep(CUT_SECONDS)
    await asyncio.sleep(6)
    return w.list_double_runs()


world.play(pathlib.Path(__file__).parent, scenario)
