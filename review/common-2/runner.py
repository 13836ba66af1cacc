"""A small runner that follows PROTOCOL.md, as a process of its own.

It writes a line for each run that begins or ends to its event file. A spec is
`work SECONDS`, `fail SECONDS` or `serve`. After it may stand `uses MILLIS`, the
processor time in use, and `saves BYTES`: it makes checkpoints of that length.
"""

import argparse
import asyncio
import json
import signal
import time

import aiohttp
from aiohttp import web


class Run:
    def __init__(self, task, number, spec, checkpoint, now):
        words = spec.split()
        self.task = task
        self.number = number
        self.kind = words[0]
        self.seconds = float(words[1]) if self.kind != 'serve' else 0.3
        more = dict(zip(words, words[1:]))
        # Only tasks of a step with `checkpointing` have checkpoints.
        self.saves = 'saves' in more
        self.length = int(more.get('saves', 16))
        self.millis = int(more.get('uses', 100))
        self.checkpoint = checkpoint
        self.begun_at = now
        self.stopped = False

    def percent(self, now):
        return min(100, int(100 * (now - self.begun_at) / self.seconds))

    def save(self, now):
        done = int((now - self.begun_at) * 1000)
        self.checkpoint = f'{done:08x}'.rjust(self.length, '0')


class Runner:
    def __init__(self, options):
        self.o = options
        self.origin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = {}
        self.over = {}
        self.ends = []
        self.number = 0
        self.fence = 0
        self.lease_ms = 0
        self.changed = asyncio.Event()
        self.draining = False
        self.drain_acked_at = None
        self.events = open(options.events, 'a', buffering=1)
        self.note('boot')

    def note(self, event, run=None, **more):
        line = {'t': round(time.monotonic(), 4), 'runner': self.o.id,
                'event': event}
        if run is not None:
            line |= {'task': run.task, 'run': run.number}
        self.events.write(json.dumps(line | more) + '\n')

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.saves and how == 'stopped':
            run.save(time.monotonic())
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.number += 1
        self.ends.append(
            [self.number, run.task, run.number, how, run.checkpoint])
        self.note('end', run, how=how)
        self.changed.set()

    def extend(self, body):
        until = min(body.get('deadline_ms', 0),
                    self.clock() + self.o.max_hold_ms)
        self.lease_ms = max(self.lease_ms, until)

    def answer(self, status=200, **body):
        return web.json_response(
            {'clock_ms': self.clock()} | body,
            status=status)

    async def accept(self, request):
        """Return the body of a call, or the refusal to answer with."""
        target = request.headers.get('Chivespoke-Target-Instance')
        body = await request.json()
        if target not in (None, self.o.id):
            return None, web.Response(status=421)
        if body.get('fencing_token', 0) < self.fence:
            return None, self.answer(409, reason='fence')
        self.fence = body.get('fencing_token', 0)
        return body, None

    async def start(self, request):
        body, refusal = await self.accept(request)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run_id']
        current = self.running.get(task)
        if current is not None and current.number == number:
            self.extend(body)
            return self.answer()
        if current is not None or number <= self.over.get(task, 0):
            self.extend(body)
            return self.answer(409, reason='old')
        if body['deadline_ms'] < self.clock():
            return self.answer(409, reason='late')
        self.extend(body)
        run = Run(task, number, body['spec'], body.get('checkpoint', ''),
                  time.monotonic())
        self.running[task] = run
        self.note('begin', run)
        return self.answer()

    async def stop(self, request):
        body, refusal = await self.accept(request)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run_id']
        self.over[task] = max(self.over.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                0.05, self.end, run, 'stopped')
        return self.answer()

    async def pace(self, request):
        _, refusal = await self.accept(request)
        return refusal if refusal is not None else self.answer()

    async def hold(self, request):
        body, refusal = await self.accept(request)
        if refusal is not None:
            return refusal
        self.extend(body)
        self.ends = [e for e in self.ends if e[0] > body['ack_cursor']]
        self.changed.clear()
        if body.get('wait_ms') and not self.ends:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), body['wait_ms'] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        return self.answer(
            running=[[r.task, r.number, r.checkpoint, r.percent(now), r.millis]
                     for r in self.running.values()],
            ended_runs=self.ends[:500], born=self.born)

    async def work(self):
        saved_at = 0.0
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.clock() > self.lease_ms:
                for run in list(self.running.values()):
                    self.end(run, 'lapsed')
            saves = now >= saved_at + 1.0
            if saves:
                saved_at = now
            for run in list(self.running.values()):
                if saves and run.saves:
                    run.save(now)
                if run.kind != 'serve' and now >= run.begun_at + run.seconds:
                    self.end(run, 'done' if run.kind == 'work' else 'failed')

    async def beat(self):
        url = f'http://{self.o.control}/instances/{self.o.id}'
        timeout = aiohttp.ClientTimeout(total=1.0)
        await asyncio.sleep(self.o.first_beat_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                left = 0.0
                if self.draining:
                    since = self.drain_acked_at or time.monotonic()
                    left = max(
                        0.0, since + self.o.drain_s - time.monotonic())
                    if (self.drain_acked_at is not None and time.monotonic()
                            > since + self.o.drain_s + self.o.linger_s):
                        try:
                            async with session.delete(url):
                                pass
                        except (aiohttp.ClientError, asyncio.TimeoutError):
                            pass
                        self.note('leave')
                        asyncio.get_running_loop().stop()
                        return
                self.sequence += 1
                body = {
                    'service': self.o.service, 'address': self.o.address,
                    'zone': self.o.zone, 'version': 'v1', 'slots': 8,
                    'state': 'draining' if self.draining else 'ready',
                    'cold_remaining_ms': 0,
                    'capacity': {'cpu': 16000, 'mem_mb': 64000, 'gpu': 0},
                    'labels': ['a', self.o.rack], 'clock_ms': self.clock(),
                    'sequence': self.sequence, 'born': self.born}
                if self.draining:
                    body['remaining_ms'] = int(left * 1000)
                draining = self.draining
                try:
                    async with session.put(url, json=body) as response:
                        if (response.ok and draining
                                and self.drain_acked_at is None):
                            self.drain_acked_at = time.monotonic()
                            self.note('drain acknowledged')
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(self.o.heartbeat_s)

    def drain(self):
        self.draining = True
        self.note('drain')


async def serve(options):
    runner = Runner(options)
    application = web.Application()
    application.add_routes([
        web.post('/run-start', runner.start),
        web.post('/run-stop', runner.stop),
        web.post('/pace', runner.pace),
        web.post('/hold', runner.hold),
        web.get('/health', lambda _: web.Response())])
    site = web.AppRunner(application, access_log=None)
    await site.setup()
    host, port = options.listen.rsplit(':', 1)
    await web.TCPSite(site, host, int(port)).start()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, runner.drain)
    return [asyncio.ensure_future(runner.work()),
            asyncio.ensure_future(runner.beat())]


def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'listen', 'address', 'control', 'service', 'zone',
                 'rack', 'events'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--max-hold-ms', type=int, default=10000)
    parser.add_argument('--heartbeat-s', type=float, default=1.1)
    parser.add_argument('--first-beat-s', type=float, default=0.0)
    parser.add_argument('--drain-s', type=float, default=2.0)
    parser.add_argument('--linger-s', type=float, default=6.0)
    loop = asyncio.new_event_loop()
    tasks = loop.run_until_complete(serve(parser.parse_args()))
    loop.run_forever()
    del tasks


if __name__ == '__main__':
    main()
