"""A small deployment on loopback: daemons, runners, the store, requesters.

The daemons are started with the command of the deploy file. The store is the
project's own stand-in, in this process; each runner is a process of its own.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import types

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Only the store of the project's stand-ins is used. Others of them need
# packages that the build of the deploy file does not install.
_package = types.ModuleType('chivespoke.standins')
_package.__path__ = [str(ROOT / 'chivespoke/standins')]
sys.modules['chivespoke.standins'] = _package
from chivespoke.standins import _store  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
SERVICE = 'huvo11a'
HOST = 'nony24.example'
PREFIX = '/lohu930/'
ZONES = ('zone-a', 'zone-b', 'zone-c')
SETTINGS = '''\
node_name = "{name}"
role = "{role}"
machine_class = "{kind}"
serves = ["{kind}"]
ip = "{ip}"
zone = "{zone}"
region = "lk-west"
internal_port_range = [{port}, {last}]
seed_nodes = []
bootstrap = true
in_tolerance = false
discovery = "local"
entry_mode = "vip"
heartbeat_ms = 1100
contracts = ["base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"]
control_mode = "push"
recommendation = ""
{more}
[zones]
zone-a = "lk-west"
zone-b = "lk-west"
zone-c = "lk-west"
[listen_addresses]
{listens}
[limits]
cpu_share = 0.645
cpu_cores = 1
memory_mb = 300
max_fds = 4096
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
max_hold_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_interval_s = 1
restore_ms = 250
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
max_record_bytes = 262144
max_request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
[cloud_api]
address = ""
rate_per_s = 60.0
duties = []
duties_per_s = 60.0
'''


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Gate:
    """A TCP proxy that can refuse, hold or lose what it carries."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.target = None
        self.server = None
        self.writers = set()
        # Nothing passes, and channels stay open.
        self.silent = False
        # Channels to earlier lives of the target are silent for good.
        self.life = 0
        # Number of calls for a start that are kept back, and those that are.
        self.late_starts = 0
        self.held = []

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def open(self):
        self.server = await asyncio.start_server(
            self._forward, self.host, self.port)
        if not self.port:
            self.port = self.server.sockets[0].getsockname()[1]

    async def refuse(self):
        """Let the port have no listener."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _wait(self, life):
        while self.silent or life != self.life:
            await asyncio.sleep(0.005)

    async def _copy(self, reader, writer, life):
        try:
            while chunk := await reader.read(16384):
                await self._wait(life)
                if self.late_starts and chunk.startswith(b'POST /run-start'):
                    self.late_starts -= 1
                    self.held.append(chunk)
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        await self._wait(life)

    async def _forward(self, reader, writer):
        other = None
        self.writers.add(writer)
        try:
            while self.silent:
                await asyncio.sleep(0.005)
            life = self.life
            source, other = await asyncio.open_connection(*self.target)
            self.writers.add(other)
            done = [asyncio.ensure_future(self._copy(reader, other, life)),
                    asyncio.ensure_future(self._copy(source, writer, life))]
            await asyncio.wait(done, return_when=asyncio.FIRST_COMPLETED)
            for each in done:
                each.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()


class World:
    def __init__(self, case, entries=3, sidecars=6, racks=None,
                 ready_label=''):
        self.case = pathlib.Path(case).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record_file = (self.case / 'record.txt').open('w')
        self.store = _store.PlatformStore()
        self.store_server = None
        self.processes = {}
        self.commands = {}
        self.entry_count, self.sidecar_count = entries, sidecars
        # Labels of their own, by sidecar.
        self.racks = racks or {}
        # Where the first job runs; on each runner if empty.
        self.ready_label = ready_label
        self.ips = {}
        # What sidecars send to their runners, and the other way.
        self.gates = {}
        self.control_gates = {}
        self.lives = {}
        self.identifiers = {}
        self.events = self.folder / 'events.jsonl'
        self.events.touch()
        self.began = time.monotonic()
        self.session = None
        block = os.getpid()
        self.base = f'127.{100 + block // 250 % 100}.{block % 250 + 1}'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.run_commands = {
            role: part['run'].split()
            for role, part in deploy['roles'].items()}

    def record(self, text):
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        self.record_file.write(line + '\n')
        self.record_file.flush()

    async def write_config(self, version=1, queues=None, guards=True):
        routes = [
            {'name': f'q{i}', 'host': HOST, 'path_prefix': prefix,
             'service': SERVICE, 'priority': priority,
             'max_attempts': attempts,
             'stretch': 2.0, 'target_completion_ms': 2000,
             'timeout_ms': 3000}
            for i, (prefix, attempts, priority) in enumerate(
                queues or [(PREFIX, 3, 0)])]
        value = {
            'version': version, 'routes': routes,
            'services': [{'name': SERVICE, 'enforces_capacity': guards}],
            'limits': {'max_body_bytes': 262144}}
        await self.store.put('keyed.op', 'config', json.dumps(value).encode())
        self.record(f'the operator wrote version {version}')

    async def start(self):
        self.store_server = self.store.make_server()
        await self.store_server.start()
        address = self.store_server.address
        store = f'{address.host}:{address.port}'
        for number in range(self.entry_count + self.sidecar_count):
            is_entry = number < self.entry_count
            name = (f'edge-{number + 1}' if is_entry
                    else f'side-{number - self.entry_count + 1}')
            ip = f'{self.base}.{number + 1}'
            self.ips[name] = ip
            zone = ZONES[number % len(ZONES)]
            kind = 'edge' if is_entry else 'side'
            more = ''
            if is_entry:
                listens = (f'frontend = "{ip}:8161"\n'
                           f'readiness = "{ip}:8167"\n'
                           f'control = "{ip}:8166"\n')
            else:
                listens = f'control = "{ip}:8166"\n'
                gate = Gate(ip, 8165)
                await gate.open()
                self.gates[name] = gate
                control = Gate(ip, 0)
                control.target = (ip, 8166)
                await control.open()
                self.control_gates[name] = control
                more = f'app = "{gate.address}"\nservice = "{SERVICE}"'
            settings = self.folder / f'{name}.toml'
            settings.write_text(SETTINGS.format(
                name=name, role='entry' if is_entry else 'sidecar', kind=kind,
                ip=ip, zone=zone, port=7720, last=7735, store=store,
                more=more, listens=listens))
            role = 'entry' if is_entry else 'sidecar'
            self.commands[name] = (self.run_commands[role], {
                'CHIVESPOKE_CONFIG': str(settings)}, zone)
            self.start_process(name)
            if not is_entry:
                self.lives[name] = 0
                self.start_runner(name)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True))

    def start_process(self, name):
        command, variables, _ = self.commands[name]
        python = [sys.executable if word == 'python3' else word
                  for word in command]
        log = (self.folder / f'{name}.log').open('ab')
        env = {'PATH': os.environ['PATH'],
               'HOME': os.environ.get('HOME', '/'),
               'PYTHONPATH': str(ROOT / 'target/deps')} | variables
        self.processes[name] = subprocess.Popen(
            python, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record(f'{name} started')

    def start_runner(self, sidecar, **options):
        self.lives[sidecar] += 1
        name = options.pop('id', f'i-{sidecar}-{self.lives[sidecar]}')
        self.identifiers[sidecar] = name
        ip = self.ips[sidecar]
        port = free_port(ip)
        gate = self.gates[sidecar]
        gate.target = (ip, port)
        rack = self.racks.get(
            sidecar, f'r1-{(int(sidecar.split("-")[1]) + 2) // 3}')
        words = {'id': name, 'listen': f'{ip}:{port}',
                 'address': gate.address, 'control': self.control_gates[sidecar].address,
                 'service': SERVICE, 'zone': self.commands[sidecar][2],
                 'rack': rack, 'events': str(self.events)} | options
        arguments = [f'--{k.replace("_", "-")}={v}' for k, v in words.items()]
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[f'runner of {sidecar}'] = subprocess.Popen(
            [sys.executable, str(HERE / 'runner.py'), *arguments],
            env={'PATH': os.environ['PATH'],
                 'PYTHONPATH': str(ROOT / 'target/deps')},
            stdout=log, stderr=log)
        self.record(f'runner {name} started beside {sidecar}')
        return name

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f'{name} got {signal.Signals(number).name}')

    def kill_runner(self, sidecar):
        """Kill a runner; its runs are gone with it."""
        name = self.identifiers[sidecar]
        process = self.processes[f'runner of {sidecar}']
        process.kill()
        process.wait()
        with self.events.open('a') as file:
            file.write(json.dumps({
                't': round(time.monotonic(), 4), 'runner': name,
                'event': 'killed'}) + '\n')
        self.record(f'runner {name} was killed')

    def read_events(self):
        lines = self.events.read_text().splitlines()
        return sorted((json.loads(line) for line in lines),
                      key=lambda each: each['t'])

    async def call(self, method, path, body=None, entry='edge-1',
                   timeout=3.0, log=True):
        url = f'http://{self.ips[entry]}:8161{path}'
        headers = {'Host': HOST, 'Chivespoke-Deadline-Ms':
                   str(int(timeout * 1000))}
        try:
            async with self.session.request(
                    method, url, json=body, headers=headers,
                    timeout=aiohttp.ClientTimeout(total=timeout)) as response:
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            status, text = 0, repr(error)
        if log:
            self.record(f'{method} {path} to {entry}: {status} {text[:200]}')
        return status, text

    async def submit(self, job, steps, spec, prefix=PREFIX, **more):
        body = {'spec': spec, 'steps': steps} | more
        self.record(f'job {job}: {json.dumps(body)[:300]}')
        for attempt in range(8):
            entry = f'edge-{attempt % self.entry_count + 1}'
            status, _ = await self.call('POST', prefix + job, body, entry)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, prefix=PREFIX, log=True):
        for number in range(self.entry_count):
            status, text = await self.call(
                'GET', prefix + job, entry=f'edge-{number + 1}', log=log)
            if status == 200:
                return json.loads(text)['state']
            if status == 410:
                return '410'
        return ''

    async def wait_ready(self, seconds=25.0):
        """Wait until jobs are accepted and a first one has completed."""
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            status, _ = await self.call('GET', PREFIX, log=False)
            if status == 200:
                break
            await asyncio.sleep(0.3)
        else:
            return False
        job = 'ffffffffffffff01'
        step = {'count': self.sidecar_count, 'cpu': 1000, 'mem_mb': 64,
                'estimated_ms': 200, 'anti_affinity': 1}
        if self.ready_label:
            step |= {'count': 2, 'requirements': self.ready_label}
        if not await self.submit(job, [step], 'work 0.2'):
            return False
        while time.monotonic() < limit:
            if await self.state(job, log=False) == 'completed':
                self.record('the deployment serves')
                return True
            await asyncio.sleep(0.2)
        return False

    def find_leader(self):
        """Return the entry whose log tells last that it took the lead."""
        latest = {}
        for number in range(self.entry_count):
            name = f'edge-{number + 1}'
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if 'Leadership taken over.' in line:
                    latest[json.loads(line)['time']] = name
        return latest[max(latest)]

    def find_running(self, task_prefix=''):
        """Return where runs are at work: task to (runner, run, since)."""
        running = {}
        for each in self.read_events():
            if each['event'] == 'begin':
                running[each['task'], each['runner']] = each
            elif each['event'] == 'end':
                running.pop((each['task'], each['runner']), None)
            elif each['event'] in ('killed', 'leave', 'boot'):
                for key in list(running):
                    if key[1] == each['runner']:
                        del running[key]
        return {key[0]: each for key, each in running.items()
                if key[0].startswith(task_prefix)}

    def list_double_runs(self):
        """Return the tasks that had two runs at the same time."""
        running, found = {}, []
        for each in self.read_events():
            if each['event'] == 'begin':
                for other in running.get(each['task'], {}).values():
                    found.append(
                        f"{each['task']}: run {each['run']} began on "
                        f"{each['runner']} at {each['t'] - self.began:.3f} "
                        f"while run {other['run']} was at work on "
                        f"{other['runner']} since "
                        f"{other['t'] - self.began:.3f}")
                running.setdefault(each['task'], {})[each['runner']] = each
            elif each['event'] == 'end':
                running.get(each['task'], {}).pop(each['runner'], None)
            elif each['event'] in ('killed', 'leave', 'boot'):
                for runs in running.values():
                    runs.pop(each['runner'], None)
        return found

    async def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.session is not None:
            await self.session.close()
        for gate in (*self.gates.values(), *self.control_gates.values()):
            await gate.refuse()
        if self.store_server is not None:
            await self.store_server.stop()
        self.record('what the runners saw:')
        for each in self.read_events():
            self.record(json.dumps(
                each | {'t': round(each['t'] - self.began, 3)}))


def play(case, scenario, **options):
    """Run a scenario; exit with 1 if it returns what it saw broken."""

    async def run():
        world = World(case, **options)
        try:
            await world.write_config()
            await world.start()
            if not await world.wait_ready():
                world.record('the case could not run: nothing is served')
                return 2
            async with asyncio.timeout(85):
                broken = await scenario(
                    world, os.environ.get('TROUBLE', '1') != '0')
            if broken is None:
                world.record('the case could not run')
                return 2
            for each in broken:
                world.record(f'BROKEN: {each}')
                print(each)
            return 10 if broken else 0
        except TimeoutError:
            world.record('the case could not run in time')
            return 2
        finally:
            await world.stop()
            if os.environ.get('KEEP'):
                print(world.folder)
            else:
                import shutil
                shutil.rmtree(world.folder, ignore_errors=True)

    sys.exit(asyncio.run(run()))
