"""Builders of jobs, reports and engines."""

import msgspec

from chivespoke import coordination
from chivespoke.coordination import _engine
from chivespoke.coordination import _records
from chivespoke import platform
from chivespoke import workloads

JOB = '00000000000000a1'
QUEUE = 'q1'
SERVICE = 's1'
NOW = 1000.0
WALL = 1.7e9
EPOCH = 7
# Greater than the number of any directive in the tests.
ALL_DIRECTIVES = 1_000_000
TERMS = workloads.QueueTerms(service=SERVICE, max_attempts=2, stretch=2.0)
STEP = workloads.Step(count=2, cpu_millis=1000, estimated_ms=1000)


def make_job(
    *steps: workloads.Step, identifier: str = JOB, **fields: int
) -> workloads.Job:
    """Return an accepted job."""
    return workloads.Job(
        identifier=identifier,
        queue=QUEUE,
        terms=TERMS,
        payload='work',
        steps=steps or (STEP,),
        accepted_ms=int(WALL * 1000),
        **fields,
    )


def make_entry(
    job: workloads.Job, cancelled: bool = False
) -> _records.JobEntry:
    """Return the ledger's entry of a new job."""
    entry = _records.JobEntry()
    entry.job = job
    entry.cancelled = cancelled
    return entry


def make_desired_state(
    *evacuating: str, advice: workloads.AdviceTiming | None = None
) -> coordination.DesiredState:
    """Return a desired state with one queue and one service."""
    terms = msgspec.structs.replace(TERMS, advice=advice)
    queue = workloads.Queue(QUEUE, 'host', '/q/', terms)
    service = workloads.Service(SERVICE)
    return coordination.DesiredState(
        workloads.Configuration(1, (queue,), (service,)),
        frozenset(evacuating),
    )


def make_incarnation(
    sidecar: str = 'side-1', born_ms: int = 1
) -> coordination.WorkerIncarnation:
    """Return a worker incarnation with capacity for eight tasks."""
    return coordination.WorkerIncarnation(
        sidecar,
        f'i-{sidecar}',
        born_ms,
        SERVICE,
        'zone-1',
        ('a', 'r1'),
        workloads.Resources(8000, 32000),
    )


def make_report(
    sidecar: str = 'side-1',
    born_ms: int = 1,
    running: tuple[platform.RunningTask, ...] = (),
    ended: tuple[platform.EndedRun, ...] = (),
    outcomes: tuple[coordination.OrderOutcome, ...] = (),
    sidecar_incarnation: str = 'a',
    draining: bool = False,
    lapsed: bool = False,
    answering: bool = True,
    clock_ms: int = 1000,
    applied: int = ALL_DIRECTIVES,
    lease_end_ms: int = 0,
    session: str | None = None,
    crashes: tuple[coordination.CrashReport, ...] = (),
    unanswered: tuple[coordination.UnansweredStart, ...] = (),
    refuses_connections: bool = False,
    has_successor: bool = False,
) -> coordination.Report:
    """Return a sidecar's report; the same clock_ms means the same poll."""
    return coordination.Report(
        sidecar=sidecar,
        sidecar_incarnation=sidecar_incarnation,
        epoch=EPOCH,
        incarnation=make_incarnation(sidecar, born_ms),
        draining=draining,
        answering=answering,
        lapsed=lapsed,
        clock_ms=clock_ms,
        running=running,
        ended=ended,
        outcomes=outcomes,
        applied=applied,
        lease_end_ms=lease_end_ms,
        session=f'{sidecar_incarnation}/{born_ms}'
        if session is None
        else session,
        crashes=crashes,
        unanswered=unanswered,
        refuses_connections=refuses_connections,
        has_successor=has_successor,
    )


def make_crash(
    sidecar: str, *suspects: tuple[str, int], born_ms: int = 1
) -> coordination.CrashReport:
    """Return the report of a crash just after the start of some runs."""
    return coordination.CrashReport(
        make_incarnation(sidecar, born_ms).key,
        silent_ms=3000,
        lost_runs=len(suspects),
        suspects=tuple(
            coordination.SuspectRun(task, run, 10) for task, run in suspects
        ),
    )


def make_running(task: str, run: int = 1) -> platform.RunningTask:
    """Return a running task as a worker lists it."""
    return platform.RunningTask(task, run, '', 10.0, 1000.0)


def make_end(
    number: int,
    task: str,
    cause: platform.EndCause = platform.EndCause.DONE,
    run: int = 1,
    checkpoint: str = '',
) -> platform.EndedRun:
    """Return an ended run as a worker lists it."""
    return platform.EndedRun(number, task, run, cause, checkpoint)


class Leader:
    """Drive an engine through plans as a term does."""

    def __init__(
        self,
        ledger: _records.Ledger | None = None,
        epoch: int = EPOCH,
        delays_jobs: bool = False,
        now: float = NOW,
    ) -> None:
        self.ledger = ledger or _records.Ledger()
        self.engine = coordination.Engine(
            epoch, coordination.LeaderTimeouts(), delays_jobs
        )
        self.epoch = epoch
        self.now = now
        self.desired_state: coordination.DesiredState | None = (
            make_desired_state()
        )
        self.engine.offer_learned(self.ledger.learned)
        for entry in self.ledger.entries.values():
            self.engine.apply_entry(entry, self.now, WALL)
        for worker in self.ledger.ended_workers.values():
            self.engine.handle_ended_worker(worker)
        for name, silence in self.ledger.silent_sidecars.items():
            self.engine.load_silent_sidecar(name, silence, self.now)
        self.engine.load_leaders(self.ledger.leaders, self.now)

    def announce(self) -> None:
        """Put this leader on record, as a term does first."""
        record = _records.LeaderRecord(f'member-{self.epoch}', '127.0.0.1:1')
        self.write(_records.encode_leader(self.epoch, record))

    def submit(self, job: workloads.Job) -> None:
        """Submit a job through its ledger record."""
        self.write(coordination.encode_job(job))
        entry = self.ledger.entries[job.identifier]
        self.engine.apply_entry(entry, self.now, self.wall)

    def cancel(self, identifier: str = JOB) -> None:
        """Cancel a job through its ledger record."""
        self.write(coordination.encode_cancel(identifier, 1))
        entry = self.ledger.entries[identifier]
        self.engine.apply_entry(entry, self.now, self.wall)

    def report(self, report: coordination.Report) -> None:
        """Pass a report to the engine."""
        self.engine.handle_report(report, self.now, self.wall)

    def plan(self) -> _engine.Plan:
        """Make a plan, store its records and release its orders."""
        plan = self.engine.plan(self.desired_state, self.now, self.wall)
        self.write(b''.join(plan.records))
        self.engine.confirm(plan, self.now)
        return plan

    def make_directive(
        self, sidecar: str = 'side-1'
    ) -> coordination.Directive:
        """Return the directive for the latest worker of a sidecar."""
        workers = [
            worker
            for worker in self.engine.state.workers.values()
            if worker.sidecar == sidecar
        ]
        newest = max(workers, key=lambda worker: worker.incarnation.born_ms)
        return self.engine.make_directive(newest, self.now)

    def find_phase(self, identifier: str = JOB) -> workloads.JobPhase:
        """Return the phase that callers receive."""
        return self.ledger.entries[identifier].phase

    def find_waiting(self, identifier: str = JOB) -> list[str]:
        """Return the tasks of a job's first step that wait for a worker."""
        state = self.engine.state.jobs[identifier]
        return [name.format() for name in state.list_waiting(0, 0)]

    @property
    def wall(self) -> float:
        """Return the wall clock time in seconds."""
        return WALL + self.now - NOW

    def write(self, records: bytes) -> None:
        """Apply encoded records to the ledger."""
        self.ledger.begin_page(self.now, self.now)
        for record in platform.decode_records(records, 0):
            self.ledger.apply(record)
