"""Placement of waiting tasks on workers; no I/O."""

import collections
import collections.abc
import math

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# Maximum number of runs that are being stopped at once to move their tasks.
MAX_MOVES = 8
# Interval at which slow runs are looked for, and the number of runs for which
# a faster worker is looked for each time. Both limit the processor time that a
# leader of hundreds of workers spends on moves.
MOVE_INTERVAL_SECONDS = 0.5
MAX_MOVE_TRIES = 16
# Number of tasks from which on a plan is cut short. Making a plan holds up
# everything else in the process, the renewal of its leadership included.
MAX_PLAN_TASKS = 200


class DesiredState(msgspec.Struct, frozen=True):
    """Hold the configuration and the data centres under evacuation."""

    configuration: workloads.Configuration
    evacuating: frozenset[str]
    # Monotonic time from which on it may be outdated; no task starts then.
    valid_until: float = math.inf


class Placer:
    """Assign waiting tasks to workers."""

    __slots__ = (
        'advice_request',
        'complete',
        '_state',
        '_decided_runs',
        '_now',
        '_version',
        '_moves_checked_at',
        '_shortages',
    )

    def __init__(self, state: _engine_state.State) -> None:
        # Request to the advisor for the first step that needs advice.
        self.advice_request: decisions.AdviceRequest | None = None
        # All waiting tasks were considered for the latest plan.
        self.complete = True
        self._state = state
        self._decided_runs: list[_fleet.Run] = []
        self._now = 0.0
        # Version of the configuration that decisions are based on.
        self._version = 0
        self._moves_checked_at = float('-inf')
        # Demands that the current plan could not meet.
        self._shortages = decisions.ShortageTracker()

    def place(
        self, desired_state: DesiredState, now: float, wall: float
    ) -> tuple[_fleet.Run, ...]:
        """Assign waiting tasks where possible; return the new runs."""
        self._now = now
        self._decided_runs = []
        self.advice_request = None
        self.complete = True
        self._shortages = decisions.ShortageTracker()
        self._version = desired_state.configuration.version
        pending_steps = sorted(
            self._list_pending_steps(wall),
            key=lambda item: decisions.make_sort_key(item[0], wall),
        )
        are_moves_due = now >= self._moves_checked_at + MOVE_INTERVAL_SECONDS
        if not pending_steps and not are_moves_due:
            return ()
        candidates = {
            worker.incarnation.key: _fleet.describe_candidate(
                worker, self._state.interference
            )
            for worker in self._state.workers.values()
            if self._accepts_tasks(worker, desired_state, now)
        }
        for _, state, occurrence, step_number in pending_steps:
            self._place_step(state, occurrence, step_number, candidates)
            if not self.complete:
                return tuple(self._decided_runs)
        if are_moves_due:
            # Moves use only what the waiting tasks have left.
            self._moves_checked_at = now
            self._move_slow_runs(candidates)
        return tuple(self._decided_runs)

    def _move_slow_runs(
        self, candidates: dict[str, decisions.CandidateWorker]
    ) -> None:
        """Stop fillers that would finish much earlier on another worker."""
        slow_runs = sorted(
            self._list_slow_runs(),
            key=lambda item: item[0].remaining_seconds,
            reverse=True,
        )
        moves_left = MAX_MOVES - self._count_moving_runs()
        for forecast, worker, run in slow_runs[:MAX_MOVE_TRIES]:
            if moves_left <= 0:
                return
            state = self._state.jobs[run.name.job]
            others = dict(candidates)
            others.pop(worker.incarnation.key, None)
            found = self._choose_candidate(state, run.step, run.name, others)
            if found is None:
                continue
            speed = decisions.estimate_speed(
                run.step, found, self._state.interference
            )
            if not decisions.is_move_worthwhile(forecast, speed):
                continue
            candidates[found.worker] = deduct_task(found, run.step)
            run.state = _fleet.RunState.STOPPING
            run.sent_at = None
            run.moving = True
            moves_left -= 1
            LOGGER.info(
                'A slow run is stopped, to start on a faster worker.',
                task=run.task_id,
                run=run.number,
                worker=worker.incarnation.key,
                speed=round(forecast.speed, 2),
                remaining_seconds=round(forecast.remaining_seconds, 1),
                elsewhere=found.worker,
                speed_elsewhere=round(speed, 2),
            )

    def _list_slow_runs(
        self,
    ) -> collections.abc.Iterator[
        tuple[decisions.RunForecast, _fleet.Worker, _fleet.Run]
    ]:
        for worker in self._state.workers.values():
            if not worker.is_heard(self._now) or worker.draining:
                continue
            for run in worker.runs.values():
                if (
                    run.state is not _fleet.RunState.RUNNING
                    or not run.step.filler
                    or run.step.long_running
                    or run.step.gang
                    or run.speed_tracker is None
                    or run.name.job not in self._state.jobs
                ):
                    continue
                forecast = run.speed_tracker.forecast(
                    run.step.estimated_ms / 1000,
                    run.step.checkpointing,
                    worker.reported_at,
                )
                if forecast is not None and decisions.is_move_worthwhile(
                    forecast, speed_elsewhere=1.0
                ):
                    yield forecast, worker, run

    def _count_moving_runs(self) -> int:
        return sum(
            run.moving
            for worker in self._state.workers.values()
            for run in worker.runs.values()
        )

    def _list_pending_steps(
        self, wall: float
    ) -> collections.abc.Iterator[
        tuple[decisions.PendingStep, _jobs.JobState, int, int]
    ]:
        for state in self._state.jobs.values():
            if state.final:
                continue
            for occurrence, step_number in state.list_ready(wall):
                step = state.job.steps[step_number]
                starts_at = state.compute_occurrence_start(occurrence)
                pending_step = decisions.PendingStep(
                    job=state.job.identifier,
                    priority=state.terms.priority,
                    long_running=step.long_running,
                    deadline=max(
                        state.deadline, starts_at + state.objective_seconds
                    ),
                    remaining_seconds=state.remaining_paths[step_number],
                    objective_seconds=state.objective_seconds,
                )
                yield pending_step, state, occurrence, step_number

    def _accepts_tasks(
        self, worker: _fleet.Worker, desired_state: DesiredState, now: float
    ) -> bool:
        quarantine = self._state.quarantines.get(worker.incarnation.key)
        return (
            worker.is_heard(now)
            and not worker.draining
            and not worker.unrecorded_runs
            and worker.incarnation.data_centre not in desired_state.evacuating
            and now >= worker.blocked_until
            and (quarantine is None or quarantine.allows_task(now))
        )

    def _place_step(
        self,
        state: _jobs.JobState,
        occurrence: int,
        step_number: int,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> None:
        step = state.job.steps[step_number]
        names = state.list_waiting(occurrence, step_number)
        if not names:
            return
        if step.gang:
            if len(names) == step.count:
                self._place_gang(state, step, names, candidates)
            return
        if self._shortages.covers(self._describe_demand(state, step)):
            return
        ranking = self._rank_workers(state, step, names[0], candidates)
        for name in names:
            if len(self._decided_runs) >= MAX_PLAN_TASKS:
                self.complete = False
                return
            candidate = ranking.choose(state.measure_idle_time(self._now))
            if candidate is None:
                self._shortages.record(self._describe_demand(state, step))
                self._prepare_advice_request(state, step, name, candidates)
                return
            self._assign(state, step, name, candidate, candidates, 0)
            ranking.record_task(candidate, candidates.get(candidate.worker))

    def _describe_demand(
        self, state: _jobs.JobState, step: workloads.Step
    ) -> decisions.StepDemand:
        return decisions.StepDemand(
            step,
            state.terms.service,
            decisions.may_wait_for_speed(
                step, state.measure_idle_time(self._now)
            ),
            needs_advice=state.terms.advice is not None,
        )

    def _rank_workers(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> decisions.WorkerRanking:
        return decisions.WorkerRanking(
            step,
            self._list_eligible(state, step, name, candidates),
            self._state.interference,
        )

    def _choose_candidate(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> decisions.CandidateWorker | None:
        ranking = self._rank_workers(state, step, name, candidates)
        return ranking.choose(state.measure_idle_time(self._now))

    def _list_eligible(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> list[decisions.CandidateWorker]:
        """Return the workers whose use for a task is not ruled out."""
        eligible = self._list_service_candidates(state, candidates)
        if state.terms.advice is not None:
            eligible = [
                candidate
                for candidate in eligible
                if self._find_ticket(name, candidate.worker) is not None
            ]
        return self._count_same_step(step, name, eligible)

    def _list_service_candidates(
        self,
        state: _jobs.JobState,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> list[decisions.CandidateWorker]:
        return [
            candidate
            for key, candidate in candidates.items()
            if self._state.workers[key].incarnation.service
            == state.terms.service
        ]

    def _find_ticket(
        self, name: workloads.TaskName, worker: str
    ) -> str | None:
        return self._state.advice_cache.find_ticket(
            name.format_step(), worker, self._now
        )

    def _prepare_advice_request(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: dict[str, decisions.CandidateWorker],
    ) -> None:
        terms = state.terms.advice
        if terms is None or self.advice_request is not None:
            return
        step_id = name.format_step()
        unknown_candidates = self._count_same_step(
            step,
            name,
            [
                candidate
                for candidate in self._list_service_candidates(
                    state, candidates
                )
                if decisions.can_run_on(step, candidate)
                and self._find_ticket(name, candidate.worker) is None
                and not self._state.advice_cache.is_denied(
                    step_id, candidate.worker
                )
            ],
        )
        found = decisions.choose_worker(
            step,
            unknown_candidates,
            self._state.interference,
            state.measure_idle_time(self._now),
        )
        if found is None:
            # The step would not be placed on any of these workers.
            return
        unknown_candidates.sort(
            key=lambda candidate: (-candidate.spare_millis, candidate.worker)
        )
        requested_workers = {
            candidate.worker: self._state.workers[
                candidate.worker
            ].incarnation.identifier
            for candidate in unknown_candidates[
                : decisions.MAX_REQUEST_WORKERS
            ]
        }
        self.advice_request = decisions.AdviceRequest(
            step_id,
            requested_workers,
            terms.estimate_answer_seconds(len(requested_workers)),
        )

    def _count_same_step(
        self,
        step: workloads.Step,
        name: workloads.TaskName,
        eligible: list[decisions.CandidateWorker],
    ) -> list[decisions.CandidateWorker]:
        """Add the counts of the step's tasks if its placement depends on them.

        Counting visits the runs of all workers.
        """
        if not step.max_per_worker and not step.long_running:
            return eligible
        in_worker: collections.Counter[str] = collections.Counter()
        in_data_centre: collections.Counter[str] = collections.Counter()
        for key, worker in self._state.workers.items():
            count = sum(
                run.name.is_same_step(name) for run in worker.runs.values()
            )
            in_worker[key] = count
            in_data_centre[worker.incarnation.data_centre] += count
        return [
            msgspec.structs.replace(
                candidate,
                same_step_tasks=candidate.same_step_tasks
                + in_worker[candidate.worker],
                same_step_in_data_centre=in_data_centre[candidate.data_centre]
                if step.long_running
                else 0,
            )
            for candidate in eligible
        ]

    def _place_gang(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        names: list[workloads.TaskName],
        candidates: dict[str, decisions.CandidateWorker],
    ) -> None:
        tasks = state.progress.tasks[names[0].occurrence][names[0].step]
        run_number = max(task.run for task in tasks) + 1
        # A checkpoint of one member is valid for all, and all members must
        # start from the same one.
        checkpoint = max((task.checkpoint for task in tasks), default='')
        trial_candidates = dict(candidates)
        chosen = []
        for name in names:
            candidate = self._choose_candidate(
                state, step, name, trial_candidates
            )
            if candidate is None:
                self._prepare_advice_request(
                    state, step, name, trial_candidates
                )
                return
            chosen.append(candidate)
            trial_candidates[candidate.worker] = deduct_task(candidate, step)
        for task in tasks:
            task.checkpoint = checkpoint
        for name, candidate in zip(names, chosen, strict=True):
            self._assign(state, step, name, candidate, candidates, run_number)

    def _assign(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidate: decisions.CandidateWorker,
        candidates: dict[str, decisions.CandidateWorker],
        run_number: int,
    ) -> None:
        task = state.find_task(name)
        # Zero stands for the next run number of the task.
        run_number = run_number or (task.run if task else 0) + 1
        worker = self._state.workers[candidate.worker]
        state.assign(name, candidate.worker, run_number)
        run = _fleet.Run(name, run_number, step, _fleet.RunState.DECIDED)
        if state.terms.advice is not None:
            run.ticket = self._find_ticket(name, candidate.worker) or ''
        worker.add(run)
        self._decided_runs.append(run)
        candidates[candidate.worker] = _fleet.describe_candidate(
            worker, self._state.interference
        )
        quarantine = self._state.quarantines.get(candidate.worker)
        if quarantine is not None and quarantine.is_quarantined:
            # A quarantined worker gets one task at a time as a probe.
            quarantine.record_probe(self._now)
            del candidates[candidate.worker]
        LOGGER.info(
            'Task assigned.',
            task=run.task_id,
            run=run_number,
            worker=candidate.worker,
            spare_millis=candidate.spare_millis,
            version=self._version,
        )


def deduct_task(
    candidate: decisions.CandidateWorker, step: workloads.Step
) -> decisions.CandidateWorker:
    """Return a candidate with one more task of a step deducted from it."""
    taken = step.cpu_millis
    return msgspec.structs.replace(
        candidate,
        free=candidate.free.add(workloads.compute_reservation(step), -1),
        spare_millis=candidate.spare_millis - taken,
        same_step_tasks=candidate.same_step_tasks + 1,
    )
