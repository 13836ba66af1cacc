"""Processing of the sidecars' reports of crashed workers."""

import collections
import typing

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fences
from chivespoke.coordination import _fleet
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke.coordination import _suspects
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('crashes')

# Number of the latest crashes and silences that are remembered.
MAX_REMEMBERED = 4096


class _Silence(typing.NamedTuple):
    """Hold when a worker ceased to answer, in monotonic seconds."""

    at: float
    sidecar: str
    # Jobs that had just started tasks there.
    young_jobs: frozenset[str]


class CrashHandler:
    """Blame tasks for the crashes of workers, and give up hopeless jobs."""

    __slots__ = ('_state', '_handled', '_silences')

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        # Keys of the crashed workers, which are reported repeatedly.
        self._handled: collections.deque[str] = collections.deque(
            maxlen=MAX_REMEMBERED
        )
        self._silences: collections.deque[_Silence] = collections.deque(
            maxlen=MAX_REMEMBERED
        )

    def record_silence(self, worker: _fleet.Worker, now: float) -> None:
        """Record that a worker has ceased to answer."""
        young_jobs = frozenset(
            run.name.job
            for run in worker.runs.values()
            if _suspects.is_young(run, worker.answered_at)
        )
        self._silences.append(_Silence(now, worker.sidecar, young_jobs))

    def handle(
        self, report: _messages.Report, now: float, wall_ms: int
    ) -> None:
        """Apply the crashes in a report that were not applied before."""
        for crash in report.crashes:
            if crash.worker not in self._handled:
                # A longer list was cut off, and may have shown other jobs.
                is_complete = len(crash.suspects) < _messages.MAX_SUSPECTS
                self._handle_crash(
                    report.sidecar, crash, now, wall_ms, is_complete
                )

    def handle_replacement(
        self,
        worker: _fleet.Worker,
        crash: _messages.CrashReport,
        report: _messages.Report,
        now: float,
        wall_ms: int,
    ) -> None:
        """Apply the crash of a worker if its sidecar was lost as well.

        Such a sidecar cannot report it. If the whole machine failed, no task
        is to blame, so that this alone proves nothing.
        """
        if (
            worker.draining
            or worker.incarnation.key in self._handled
            or _fences.is_same_process(worker.session, report.session)
        ):
            return
        self._handle_crash(report.sidecar, crash, now, wall_ms, False)

    def _handle_crash(
        self,
        sidecar: str,
        crash: _messages.CrashReport,
        now: float,
        wall_ms: int,
        is_complete: bool,
    ) -> None:
        self._handled.append(crash.worker)
        for suspect in crash.suspects:
            if suspect.begun:
                self._state.record_start(suspect.task, wall_ms)
        suspects = self._find_suspects(crash)
        crashed_at = now - crash.silent_ms / 1000
        # A leader that has not seen it does not know what else was lost.
        is_witnessed = self._is_witnessed(sidecar, crashed_at)
        jobs = frozenset(run.job for run in suspects)
        is_outage = self._is_outage(sidecar, crashed_at, jobs)
        is_conclusive = (
            is_complete
            and is_witnessed
            and not is_outage
            and decisions.is_conclusive(suspects)
        )
        if not is_witnessed:
            self._silences.append(_Silence(crashed_at, sidecar, jobs))
        LOGGER.warning(
            'A worker crashed.',
            worker=crash.worker,
            silent_ms=crash.silent_ms,
            lost_runs=crash.lost_runs,
            suspects={run.task: run.age_seconds for run in suspects},
            is_conclusive=is_conclusive,
            is_outage=is_outage,
        )
        self._state.record_crash(is_outage, len(suspects), is_conclusive)
        for run in suspects:
            self._blame(
                run,
                workloads.Crash(
                    crash.worker,
                    sidecar,
                    wall_ms - crash.silent_ms,
                    run.run,
                    is_conclusive,
                ),
                wall_ms,
            )

    def _find_suspects(
        self, crash: _messages.CrashReport
    ) -> tuple[decisions.LostRun, ...]:
        names = [workloads.parse_task_name(run.task) for run in crash.suspects]
        return decisions.find_suspects(
            decisions.LostRun(
                name.job, run.task, run.run, run.age_ms / 1000, run.begun
            )
            for name, run in zip(names, crash.suspects, strict=True)
            if name is not None
        )

    def _is_witnessed(self, sidecar: str, crashed_at: float) -> bool:
        return any(
            silence.sidecar == sidecar
            and silence.at > crashed_at - decisions.OUTAGE_SECONDS
            for silence in self._silences
        )

    def _is_outage(
        self, sidecar: str, crashed_at: float, jobs: frozenset[str]
    ) -> bool:
        """Return whether many workers near a crashed one went down with it.

        A job that has started tasks on all of them may have crashed them.
        """
        silent = {
            silence.sidecar
            for silence in self._silences
            if abs(silence.at - crashed_at) < decisions.OUTAGE_SECONDS
            and not jobs & silence.young_jobs
        }
        worker = self._state.find_worker_of(sidecar)
        if worker is None:
            return False
        others = [
            other
            for other in self._state.workers.values()
            if other.sidecar != sidecar
        ]
        in_rack = [
            other
            for other in others
            if worker.rack and other.rack == worker.rack
        ]
        in_data_centre = [
            other
            for other in others
            if other.incarnation.data_centre == worker.incarnation.data_centre
        ]
        return any(
            decisions.is_outage(
                sum(other.sidecar in silent for other in near), len(near)
            )
            for near in (in_rack, in_data_centre)
        )

    def _blame(
        self, run: decisions.LostRun, crash: workloads.Crash, wall_ms: int
    ) -> None:
        name = workloads.parse_task_name(run.task)
        state = self._state.jobs.get(run.job)
        task = state.find_task(name) if state and name else None
        if state is None or name is None or task is None or state.final:
            return
        if task.status is workloads.TaskStatus.DONE or run.run > task.run:
            return
        if run.run <= task.cleared_run or any(
            known.run == crash.run for known in task.crashes
        ):
            # An earlier leader has counted it.
            return
        if (
            not task.crashes
            and state.count_suspects() >= _records.MAX_JOB_SUSPECTS
        ):
            return
        state.record_crash(name, crash)
        self._state.suspects.add(name)
        if not decisions.is_hopeless(task.crashes):
            return
        reason = decisions.describe_crashes(run.task, task.crashes)
        LOGGER.warning(
            'A job is given up because it crashes workers.',
            job=run.job,
            reason=reason,
        )
        state.fail(reason, wall_ms)
        self._state.handle_final_job(state)


def describe_crash(worker: _fleet.Worker, now: float) -> _messages.CrashReport:
    """Return the report of a worker's crash by what the leader knows."""
    ages = [
        (run, max(0.0, worker.answered_at - run.started_at))
        if run.started_at is not None
        else (run, 0.0)
        for run in worker.runs.values()
    ]
    ages.sort(key=lambda item: item[1])
    return _messages.CrashReport(
        worker.incarnation.key,
        int((now - worker.answered_at) * 1000),
        len(ages),
        tuple(
            _messages.SuspectRun(
                run.task_id,
                run.number,
                int(age * 1000),
                run.started_at is not None,
            )
            for run, age in ages[: _messages.MAX_SUSPECTS]
        ),
    )
