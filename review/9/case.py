"""A zone is lost for good: the leader and one runner with its sidecar.

Six tasks of a job that last run on six runners in three zones. What is lost is
killed at the same moment and does not come back; the rest is left alone. Four
runners of 16 cores are left for six tasks of 1.5 cores.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common-2'))
import world

JOB = '00000000000000e1'
# A task that lasts may have nothing running for 3 s, from 6 s after its last
# run on.
LIMIT_SECONDS = 9.0
WATCH_SECONDS = 30.0


async def scenario(w, trouble):
    if not await w.submit(JOB, [{
            'count': 6, 'cpu': 1500, 'mem_mb': 64, 'estimated_ms': 300,
            'long_running': True, 'anti_affinity': 2}], 'serve'):
        return None
    for _ in range(100):
        await asyncio.sleep(0.1)
        if len(w.find_running(JOB)) == 6:
            break
    else:
        return None
    await asyncio.sleep(20)
    leader = w.find_leader()
    zone = w.commands[leader][2]
    running = w.find_running(JOB)
    lost = [name for name in w.ips if w.commands[name][2] == zone]
    w.record(f'{leader} leads, in {zone}; lost with it: {lost}')
    hosts = {each['runner'].split('-', 1)[1].rsplit('-', 1)[0]: task
             for task, each in running.items()}
    tasks = [hosts[name] for name in lost if name in hosts]
    if not tasks:
        return None
    killed_at = time.monotonic()
    if trouble:
        for name in lost:
            if name.startswith('side-'):
                w.kill_runner(name)
            w.signal(name, 9)
            if name in w.gates:
                await w.gates[name].refuse()
    idle = {}
    while time.monotonic() < killed_at + WATCH_SECONDS:
        await asyncio.sleep(0.1)
        now = w.find_running(JOB)
        for task in tasks:
            if task in now and task not in idle:
                if not trouble or now[task]['t'] > killed_at:
                    idle[task] = now[task]['t'] - killed_at if trouble else 0.0
        if len(idle) == len(tasks):
            break
    broken = []
    for task in tasks:
        seconds = idle.get(task, WATCH_SECONDS)
        w.record(f'{task} had nothing running for {seconds:.1f} s')
        if seconds > LIMIT_SECONDS:
            broken.append(f'{task}, which lasts, had nothing running for '
                          f'{seconds:.1f} s; {LIMIT_SECONDS:.0f} s are allowed')
    return broken


world.play(pathlib.Path(__file__).parent, scenario, sidecars=6, entries=3)
