"""A runner starts again under its old id and is cut off soon after.

In between its next life is told to start one task, and answers; no poll has
reached it by then. All that it runs is under the lease of that call. The earlier
life had been polled only, so that no idle channel to it takes the call.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common-2'))
import world

FULL = '00000000000000f1'
JOB = '00000000000000f2'
# A node_cut of the site file lasts for 12 s at most.
CUT_SECONDS = 9.0


async def scenario(w, trouble):
    # Two of eight runners have the label that the jobs ask for.
    # One of them is full until the other is cut off.
    if not await w.submit(FULL, [{
            'count': 1, 'cpu': 16000, 'mem_mb': 64, 'estimated_ms': 26000,
            'requirements': 'label-b'}], 'work 26'):
        return None
    await asyncio.sleep(2)
    full = [each['runner'] for each in w.find_running(FULL).values()]
    if not full:
        return None
    sidecar = 'side-2' if full[0].startswith('i-side-1') else 'side-1'
    await asyncio.sleep(20)
    gate, control = w.gates[sidecar], w.control_gates[sidecar]
    identifier = w.identifiers[sidecar]
    if trouble:
        # It goes down without a sign (dark), and is back at once.
        gate.life += 1
        w.kill_runner(sidecar)
        w.start_runner(sidecar, id=identifier, first_beat_s=0.55)
        for _ in range(200):
            await asyncio.sleep(0.01)
            boots = [each for each in w.read_events()
                     if each['event'] == 'boot'
                     and each['runner'] == identifier]
            if len(boots) == 2:
                break
    if not await w.submit(JOB, [{
            'count': 1, 'cpu': 1000, 'mem_mb': 64, 'estimated_ms': 30000,
            'requirements': 'label-b'}], 'work 30'):
        return None
    limit = time.monotonic() + 5
    while not w.find_running(JOB) and time.monotonic() < limit:
        await asyncio.sleep(0.005)
    running = [each['runner'] for each in w.find_running(JOB).values()]
    if running != [identifier]:
        return None
    if trouble:
        gate.silent = control.silent = True
        w.record(f'the runner {identifier} is cut off')
    await asyncio.sleep(CUT_SECONDS)
    gate.silent = control.silent = False
    w.record('the cut has ended')
    await asyncio.sleep(4)
    return w.list_double_runs()


world.play(pathlib.Path(__file__).parent, scenario, sidecars=8,
           racks={'side-1': 'label-b', 'side-2': 'label-b'},
           ready_label='r1-2')
