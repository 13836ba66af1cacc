"""What clients, runners and the platform have seen, and the rules on it."""

import json
import time

from . import runner as runners

CANCEL_SECONDS = 3.0
# A machine is in touch this long after the end of a disruption.
CONTACT_SECONDS = 3.0
EARLY_SECONDS = 0.25


class World:
    """Hold the jobs and runs, note what happens, and check the rules."""

    def __init__(self, record):
        self.started_at = time.monotonic()
        self._record = record
        self.jobs = {}
        # Errors of the stand-ins; the case then shows nothing.
        self.errors = []
        # Rule and description of each break.
        self.broken = []
        # Time from which on all machines are in touch.
        self.calm_from = 0.0
        # All runs of a task, in order of their starts.
        self.runs = {}
        self._gangs = {}

    def note(self, what, /, **fields):
        """Write what happened into the record."""
        at = time.monotonic() - self.started_at
        text = ' '.join(
            f'{key}={json.dumps(value)}' for key, value in fields.items()
        )
        self._record.write(f'{at:8.3f} {what}: {text}\n')
        self._record.flush()

    def end_disruption(self):
        """Note the end of a disruption of machines or of the store."""
        self.calm_from = time.monotonic() + CONTACT_SECONDS
        self.note('disruption ends')

    def report(self, rule, text):
        """Note that a rule is broken."""
        self.broken.append((rule, text))
        self.note(f'BROKEN {rule}', seen=text)

    def add_job(self, identifier, body, service, max_attempts):
        """Add a job before it is sent for the first time."""
        self.jobs[identifier] = {
            'steps': body['steps'],
            'spec': body['spec'],
            'start_at_ms': body.get('start_at_ms', 0),
            'interval_ms': body.get('interval_ms', 0),
            'repeat_count': body.get('repeat_count', 0),
            'service': service,
            'max_attempts': max_attempts,
            'accepted': False,
            'cancel_acknowledged_at': None,
        }

    def make_run(self, boot, body):
        """Return the run that an order starts; None if it is unreadable."""
        parts = body['task'].split('.')
        job = self.jobs.get(parts[0])
        if job is None:
            self.report('UNASKED', f'{body["task"]} is of no known job')
            return None
        step = int(parts[2])
        if step >= len(job['steps']) or body['spec'] != job['spec']:
            self.report('UNASKED', f'{body["task"]} has a foreign spec')
            return None
        return runners.Run(boot, body, job, step)

    def fits(self, boot, run):
        """Return whether a run fits beside what runs."""
        for name in ('cpu', 'mem_mb', 'gpu'):
            used = sum(
                0
                if name == 'cpu' and other.step.get('fills')
                else other.step.get(name, 0)
                for other in (*boot.running.values(), run)
            )
            if used > boot.capacity.get(name, 0):
                return False
        return True

    def record_start(self, runner, run, body):
        """Note a start and check the rules on starts."""
        boot = run.boot
        earlier = self.runs.setdefault(run.task, [])
        self.note(
            'start',
            task=run.task,
            run=run.run,
            runner=boot.identifier,
            checkpoint=run.start_checkpoint,
        )
        who = f'{run.task}#{run.run} on {boot.identifier}'
        for other in earlier:
            if other['end'] is None and other['run'].boot.up:
                self.report(
                    'TWICE',
                    f'{who} starts while #{other["run"].run} runs on '
                    f'{other["run"].boot.identifier}',
                )
            if other['end'] == 'done' and other['acknowledged']:
                self.report(
                    'TWICE', f'{who} starts after #{other["run"].run} is done'
                )
        failed = sum(
            other['end'] == 'failed' and other['acknowledged']
            for other in earlier
        )
        if failed >= run.job['max_attempts'] and not run.step.get(
            'long_running'
        ):
            self.report('BUDGET', f'{who} starts after {failed} failures')
        self._check_order(run, who)
        self._check_route(runner, run, who)
        if not runner.enforces and not self.fits(boot, run):
            self.report('LIMIT', f'{who} brings the runner over its capacity')
        cancelled_at = run.job['cancel_acknowledged_at']
        if cancelled_at is not None and time.monotonic() > max(
            cancelled_at + CANCEL_SECONDS, self.calm_from
        ):
            late = time.monotonic() - cancelled_at
            self.report(
                'UNASKED',
                f'{who} starts {late:.2f} s after the acknowledgement of the '
                f'cancelling',
            )
        self._check_checkpoint(run, who)
        earlier.append({'run': run, 'end': None, 'acknowledged': False})

    def _check_order(self, run, who):
        identifier, occurrence, _, _ = run.task.split('.')
        for number in run.step.get('depends_on', ()):
            step = run.job['steps'][number]
            for index in range(step['count']):
                task = f'{identifier}.{occurrence}.{number}.{index}'
                if not self.is_done(task, step):
                    self.report('ORDER', f'{who} starts before {task} is done')
                    return
        if run.job['repeat_count']:
            due = (
                run.job['start_at_ms']
                + int(occurrence) * (run.job['interval_ms'])
            )
            early = due / 1000 - time.time()
            if early > EARLY_SECONDS:
                self.report('ORDER', f'{who} starts {early:.2f} s early')

    def is_done(self, task, step):
        """Return whether a task has ended done."""
        names = [task]
        if step.get('gang'):
            head = task.rpartition('.')[0]
            names = [f'{head}.{index}' for index in range(step['count'])]
        return any(
            row['end'] == 'done'
            for name in names
            for row in self.runs.get(name, ())
        )

    def _check_route(self, runner, run, who):
        if runner.service != run.job['service']:
            self.report('ROUTE', f'{who} starts on service {runner.service}')
        label = run.step.get('requirements')
        if label and label not in run.boot.labels:
            self.report('ROUTE', f'{who} starts without the label {label}')
        limit = run.step.get('anti_affinity')
        if limit:
            head = run.task.rpartition('.')[0]
            same = sum(
                task.rpartition('.')[0] == head for task in run.boot.running
            )
            if same >= limit:
                self.report('ROUTE', f'{who} starts beside {same} of its step')

    def _check_checkpoint(self, run, who):
        if not run.start_checkpoint:
            return
        head = run.task.rpartition('.')[0]
        names = [run.task]
        if run.step.get('gang'):
            count = run.step['count']
            names = [f'{head}.{index}' for index in range(count)]
        if not any(
            run.start_checkpoint in row['run'].checkpoints
            for name in names
            for row in self.runs.get(name, ())
        ):
            self.report('UNASKED', f'{who} starts with a foreign checkpoint')

    def record_end(self, run, cause):
        """Note the end of a run and check the rules on ends."""
        self.note(
            'end',
            task=run.task,
            run=run.run,
            runner=run.boot.identifier,
            cause=cause,
        )
        for row in self.runs.get(run.task, ()):
            if row['run'] is run:
                row['end'] = cause
        if cause == 'alone' and run.job['cancel_acknowledged_at'] is None:
            self.report('GANG', f'{run.task}#{run.run} ends alone')

    def record_acknowledged(self, end):
        """Note that an end is taken note of."""
        if end['lapsed']:
            return
        run = end['run']
        rows = self.runs.get(run.task, [])
        position = next(
            (at for at, row in enumerate(rows) if row['run'] is run), None
        )
        if position is None:
            return
        rows[position]['acknowledged'] = True
        if end['cause'] == 'done':
            for later in rows[position + 1 :]:
                self.report(
                    'TWICE',
                    f'{run.task}#{later["run"].run} started after #{run.run} '
                    f'was done, which is now taken note of',
                )

    def join_gang(self, runner, run):
        """Let a gang work once all its members are present."""
        if not run.step.get('gang'):
            return
        members = self._gangs.setdefault(run.group, {})
        members[run.task] = (runner, run)
        if len(self.find_members(run)) == run.step['count']:
            checkpoints = {
                other.start_checkpoint for _, other in self.find_members(run)
            }
            if len(checkpoints) > 1:
                self.report(
                    'UNASKED',
                    f'the members of {run.group} start from {checkpoints}',
                )
            for _, other in self.find_members(run):
                other.works = True

    def find_members(self, run):
        """Return the members of a gang that are up and not ended."""
        return [
            (runner, other)
            for runner, other in self._gangs.get(run.group, {}).values()
            if other.boot.up and other.boot.running.get(other.task) is other
        ]

    def finish_gang(self, run):
        """End all members of a gang as done."""
        for runner, other in self.find_members(run):
            runner.end_member(other)
