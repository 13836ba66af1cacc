"""Placement of waiting tasks on workers; no I/O."""

import collections
import collections.abc
import functools
import math
import typing

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _idle_tasks
from chivespoke.coordination import _jobs
from chivespoke.coordination import _probes
from chivespoke.coordination import _room
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
# Time for which a moved task goes before others, and is not placed again on
# the worker that it has left: the estimates still favour that worker, since
# they did at first.
MOVE_MEMORY_SECONDS = 10.0
# Number of tasks from which on a plan is cut short. Making a plan holds up
# everything else in the process, the renewal of its leadership included.
MAX_PLAN_TASKS = 200


class DesiredState(msgspec.Struct, frozen=True):
    """Hold the configuration and the data centres under evacuation."""

    configuration: workloads.Configuration
    evacuating: frozenset[str]
    # Monotonic time from which on it may be outdated; no task starts then.
    valid_until: float = math.inf


Candidates: typing.TypeAlias = _probes.Candidates


class Claimant(typing.NamedTuple):
    """Hold a step or a run that needs room, and what is done to place it."""

    pending_step: decisions.PendingStep
    place: collections.abc.Callable[[Candidates], None]


class SlowRun(typing.NamedTuple):
    """Hold a run that may finish earlier on another worker."""

    forecast: decisions.RunForecast
    worker: _fleet.Worker
    run: _fleet.Run
    # All runs of its job are held down.
    is_stalled: bool = False

    @property
    def is_current(self) -> bool:
        """Return whether the run still exists on the worker."""
        return self.worker.runs.get(self.run.task_id) is self.run


class Move(typing.NamedTuple):
    """Hold a run that is or was stopped, so that its task moves."""

    slow_run: SlowRun
    # Worker that the move was decided for.
    destination: str
    # Time until which the move is remembered.
    until: float


class Placer:
    """Assign waiting tasks to workers and move slow runs."""

    __slots__ = (
        'advice_request',
        'complete',
        '_state',
        '_probes',
        '_room',
        '_decided_runs',
        '_now',
        '_version',
        '_moves_checked_at',
        '_slow_runs',
        '_moves',
        '_claimed_steps',
        '_shortages',
        '_move_shortages',
    )

    def __init__(self, state: _engine_state.State) -> None:
        # Request to the advisor for the first step that needs advice.
        self.advice_request: decisions.AdviceRequest | None = None
        # All waiting tasks were considered for the latest plan.
        self.complete = True
        self._state = state
        self._probes = _probes.ProbePlanner(state)
        self._room = _room.RoomKeeper(state)
        self._decided_runs: list[_fleet.Run] = []
        self._now = 0.0
        # Version of the configuration that decisions are based on.
        self._version = 0
        self._moves_checked_at = float('-inf')
        # The slow runs of the last check.
        self._slow_runs: list[SlowRun] = []
        # By task id.
        self._moves: dict[str, Move] = {}
        # Steps of the runs that the current plan moves to a worker.
        self._claimed_steps: dict[str, list[workloads.Step]] = {}
        # Demands that the current plan could not meet.
        self._shortages = decisions.ShortageTracker()
        # Demands of runs that would be held down on every worker.
        self._move_shortages = decisions.ShortageTracker()

    def place(
        self, desired_state: DesiredState, now: float, wall: float
    ) -> tuple[_fleet.Run, ...]:
        """Assign waiting tasks where possible; return the new runs."""
        self._now = now
        self._decided_runs = []
        self.advice_request = None
        self.complete = True
        self._shortages = decisions.ShortageTracker()
        self._move_shortages = decisions.ShortageTracker()
        self._version = desired_state.configuration.version
        self._claimed_steps = {}
        claimants = list(self._list_pending_steps(wall))
        are_moves_due = now >= self._moves_checked_at + MOVE_INTERVAL_SECONDS
        if not claimants and not are_moves_due:
            return ()
        if are_moves_due:
            self._moves_checked_at = now
            self._slow_runs = self._find_slow_runs(wall)
            self._forget_moves()
        claimants += self._list_moves()
        # Moves compete with waiting tasks. If they used only what these leave,
        # a run that is held down would stay for as long as later jobs wait.
        claimants.sort(
            key=lambda item: decisions.make_sort_key(item.pending_step, wall)
        )
        accepting = {
            worker.incarnation.key: worker
            for worker in self._state.workers.values()
            if self._accepts_tasks(worker, desired_state, now)
        }
        self._room.begin_plan(accepting, now)
        candidates = {
            key: self._describe_candidate(worker)
            for key, worker in accepting.items()
        }
        self._probes.begin_plan(candidates, now)
        self._complete_moves(candidates)
        for claimant in claimants:
            claimant.place(candidates)
            if not self.complete:
                break
        if self.complete:
            self._record_waits(candidates, wall)
        return tuple(self._decided_runs)

    def record_lack_of_view(self, wall: float) -> None:
        """Record that nothing is placed as the configuration may be old."""
        for _, names in self._list_waiting_lasting_tasks(wall):
            for name in names:
                self._state.idle_tasks.record_wait(
                    name.format(), _idle_tasks.IdleCause.NO_VIEW
                )

    def _record_waits(self, candidates: Candidates, wall: float) -> None:
        """Record why lasting tasks were not placed."""
        for state, names in self._list_waiting_lasting_tasks(wall):
            step = state.job.steps[names[0].step]
            # Without the counts of the step's tasks, for which the runs of all
            # workers would be visited.
            known = self._list_service_candidates(state, candidates)
            eligible = self._list_allowed(state, names[0], known)
            cause = explain_wait(step, known, eligible)
            need = workloads.compute_reservation(step)
            for name in names:
                self._state.idle_tasks.record_wait(
                    name.format(),
                    _idle_tasks.IdleCause.SUSPICION
                    if state.is_suspect(name)
                    else cause,
                    needed_millis=need.cpu_millis,
                    needed_mb=need.memory_mb,
                    most_free_millis=max(
                        (each.free.cpu_millis for each in eligible), default=0
                    ),
                    free_millis=sum(each.free.cpu_millis for each in eligible),
                    workers=len(eligible),
                    known_workers=len(self._state.workers),
                )

    def _list_waiting_lasting_tasks(
        self, wall: float
    ) -> collections.abc.Iterator[
        tuple[_jobs.JobState, list[workloads.TaskName]]
    ]:
        for state in self._state.jobs.values():
            if state.final or not state.has_lasting_steps:
                continue
            for occurrence, number in state.list_ready(wall):
                if not state.job.steps[number].long_running:
                    continue
                names = state.list_waiting(occurrence, number)
                if names:
                    yield state, names

    def _find_slow_runs(self, wall: float) -> list[SlowRun]:
        """Return the slow runs to try to move.

        Within a standing, those of stalled jobs come first. Such a job has
        nothing at work, and if it is late, all that waits is placed before it.
        """
        slow_runs = list(self._list_slow_runs())
        held_counts = collections.Counter(
            item.run.name.job for item in slow_runs if item.forecast.is_held
        )
        slow_runs = [
            item._replace(
                is_stalled=held_counts[item.run.name.job]
                == self._state.jobs[item.run.name.job].assigned_count
            )
            for item in slow_runs
        ]
        slow_runs.sort(
            key=lambda item: (
                self._state.find_standing(item.run.name.job),
                not item.is_stalled,
                decisions.make_sort_key(self._describe_run(item.run), wall),
            )
        )
        return slow_runs[:MAX_MOVE_TRIES]

    def _list_slow_runs(self) -> collections.abc.Iterator[SlowRun]:
        for worker in self._state.workers.values():
            if (
                not worker.filler_millis
                or not worker.is_heard(self._now)
                or worker.draining
            ):
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
                forecast = self._forecast_run(worker, run, run.speed_tracker)
                if forecast is not None and decisions.is_move_worthwhile(
                    forecast, speed_elsewhere=1.0
                ):
                    yield SlowRun(forecast, worker, run)

    def _forecast_run(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        speed_tracker: decisions.SpeedTracker,
    ) -> decisions.RunForecast | None:
        seconds = self._state.durations.estimate_seconds(
            self._state.jobs[run.name.job].job.queue,
            run.step_id,
            run.step,
        )
        forecast = None
        if self._state.delays_jobs:
            forecast = speed_tracker.forecast_held(
                seconds,
                run.step.checkpointing,
                run.pace,
                run.measure_held(self._now),
            )
        return forecast or speed_tracker.forecast(
            seconds, run.step.checkpointing, worker.reported_at
        )

    def _list_moves(self) -> collections.abc.Iterator[Claimant]:
        """Yield the slow runs that may move."""
        for slow_run in self._slow_runs:
            if (
                slow_run.run.state is _fleet.RunState.RUNNING
                and self._still_runs(slow_run)
            ):
                yield Claimant(
                    self._describe_run(slow_run.run),
                    functools.partial(self._move_slow_run, slow_run),
                )

    def _forget_moves(self) -> None:
        self._moves = {
            task_id: move
            for task_id, move in self._moves.items()
            if move.slow_run.is_current or self._now < move.until
        }

    def _complete_moves(self, candidates: Candidates) -> None:
        """Place the tasks of stopped runs, and keep room for the others.

        They go before all that waits: what came after the decision would
        otherwise take the room, and the task would have no worker at all.
        """
        for move in self._moves.values():
            run = move.slow_run.run
            state = self._state.jobs.get(run.name.job)
            if state is None or state.final or self._now >= move.until:
                continue
            if self._still_runs(move.slow_run):
                found = candidates.get(move.destination)
                if found is not None and decisions.can_run_on(run.step, found):
                    self._record_claim(found.worker, run.step, candidates)
            elif not move.slow_run.is_current and state.is_waiting(run.name):
                found = self._choose_elsewhere(move.slow_run, candidates)
                if found is not None:
                    self._assign(
                        state, run.step, run.name, found, candidates, 0
                    )

    def _still_runs(self, slow_run: SlowRun) -> bool:
        return (
            slow_run.is_current
            and slow_run.worker.is_heard(self._now)
            and slow_run.run.name.job in self._state.jobs
        )

    def _describe_run(self, run: _fleet.Run) -> decisions.PendingStep:
        state = self._state.jobs[run.name.job]
        return describe_pending_step(
            state,
            run.name.occurrence,
            run.name.step,
            self._state.ranks.get(run.name.job),
        )

    def _move_slow_run(
        self, slow_run: SlowRun, candidates: Candidates
    ) -> None:
        """Stop a run if it would finish much earlier on another worker."""
        forecast, worker, run = slow_run[:3]
        state = self._state.jobs[run.name.job]
        moving = sum(move.slow_run.is_current for move in self._moves.values())
        idle_seconds = self._measure_idle_time(slow_run)
        demand = self._describe_demand(state, run.step, idle_seconds)
        if (
            moving >= MAX_MOVES
            or self._shortages.covers(demand)
            or self._move_shortages.covers(demand)
        ):
            return
        ranking = self._rank_workers(state, run.step, run.name, candidates)
        found = ranking.choose(idle_seconds)
        if found is None or (
            self._estimate_speed(run, found) < decisions.HELD_SPEED
        ):
            self._move_shortages.record(demand)
            return
        found = ranking.choose(idle_seconds, worker.incarnation.key)
        if found is None:
            return
        speed = self._estimate_speed(run, found)
        if not decisions.is_move_worthwhile(forecast, speed):
            return
        self._record_claim(found.worker, run.step, candidates)
        run.state = _fleet.RunState.STOPPING
        run.sent_at = None
        self._moves[run.task_id] = Move(
            slow_run, found.worker, self._now + MOVE_MEMORY_SECONDS
        )
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

    def _estimate_speed(
        self, run: _fleet.Run, candidate: decisions.CandidateWorker
    ) -> float:
        return decisions.estimate_speed(
            run.step, candidate, self._state.interference
        )

    def _choose_elsewhere(
        self, slow_run: SlowRun, candidates: Candidates
    ) -> decisions.CandidateWorker | None:
        run = slow_run.run
        state = self._state.jobs[run.name.job]
        ranking = self._rank_workers(state, run.step, run.name, candidates)
        return ranking.choose(
            self._measure_idle_time(slow_run), slow_run.worker.incarnation.key
        )

    def _measure_idle_time(self, slow_run: SlowRun) -> float:
        if slow_run.is_stalled:
            # Its task accepts any speed, as if the job had no running task.
            return math.inf
        state = self._state.jobs[slow_run.run.name.job]
        return state.measure_idle_time(self._now)

    def _record_claim(
        self, worker_key: str, step: workloads.Step, candidates: Candidates
    ) -> None:
        self._claimed_steps.setdefault(worker_key, []).append(step)
        candidates[worker_key] = decisions.deduct_filler(
            step, candidates[worker_key], self._state.interference
        )

    def _describe_candidate(
        self, worker: _fleet.Worker
    ) -> decisions.CandidateWorker:
        """Return a worker without the room that others have claimed."""
        return self._room.deduct(self._describe_unheld(worker))

    def _describe_unheld(
        self, worker: _fleet.Worker
    ) -> decisions.CandidateWorker:
        """Return a worker without the room that moving runs have claimed."""
        candidate = _fleet.describe_candidate(worker, self._state.interference)
        for step in self._claimed_steps.get(worker.incarnation.key, ()):
            candidate = decisions.deduct_filler(
                step, candidate, self._state.interference
            )
        return candidate

    def _list_pending_steps(
        self, wall: float
    ) -> collections.abc.Iterator[Claimant]:
        for state in self._state.jobs.values():
            if state.final:
                continue
            for occurrence, step_number in state.list_ready(wall):
                yield Claimant(
                    describe_pending_step(
                        state,
                        occurrence,
                        step_number,
                        self._state.ranks.get(state.job.identifier),
                    ),
                    functools.partial(
                        self._place_step, state, occurrence, step_number
                    ),
                )

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
        candidates: Candidates,
    ) -> None:
        step = state.job.steps[step_number]
        names = state.list_waiting(occurrence, step_number)
        suspects = self._find_suspects(state, names)
        if step.gang:
            if len(names) == step.count:
                self._place_gang(state, step, names, candidates, suspects)
            return
        if suspects:
            self._place_suspects(state, step, suspects, candidates)
            names = [name for name in names if name not in suspects]
        if not names:
            return
        if step.long_running:
            self._place_lasting_tasks(state, step, names, candidates)
            return
        demand = self._describe_demand(
            state, step, state.measure_idle_time(self._now)
        )
        if self._shortages.covers(demand):
            return
        ranking = self._rank_workers(state, step, names[0], candidates)
        for name in names:
            if len(self._decided_runs) >= MAX_PLAN_TASKS:
                self.complete = False
                return
            avoided = self._find_avoided_worker(name)
            idle_seconds = state.measure_idle_time(self._now)
            candidate = ranking.choose(idle_seconds, avoided)
            if candidate is None and avoided:
                if decisions.may_wait_for_speed(step, idle_seconds):
                    # Other tasks of the step may still run on that worker.
                    continue
                candidate = ranking.choose(idle_seconds)
            if candidate is None:
                self._shortages.record(
                    self._describe_demand(state, step, idle_seconds)
                )
                self._prepare_advice_request(state, step, name, candidates)
                return
            self._assign(state, step, name, candidate, candidates, 0)
            ranking.record_task(candidate, candidates.get(candidate.worker))

    def _place_lasting_tasks(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        names: list[workloads.TaskName],
        candidates: Candidates,
    ) -> None:
        """Place tasks that last, and make room for those that find none."""
        demand = self._describe_demand(state, step, math.inf)
        if self._shortages.covers(demand):
            names = [
                name for name in names if self._room.may_help(state, name)
            ]
            if not names:
                return
        eligible = self._list_eligible(state, step, names[0], candidates)
        ranking = decisions.WorkerRanking(
            step, eligible, self._state.interference
        )
        for name in names:
            if len(self._decided_runs) >= MAX_PLAN_TASKS:
                self.complete = False
                return
            candidate = ranking.choose() or self._find_held_worker(
                state, step, name
            )
            if candidate is not None:
                self._room.release(name)
                self._assign(state, step, name, candidate, candidates, 0)
                ranking.record_task(
                    candidate, candidates.get(candidate.worker)
                )
                continue
            self._shortages.record(demand)
            self._make_room(state, name, eligible, candidates)
        if any(state.is_waiting(name) for name in names):
            self._prepare_advice_request(state, step, names[0], candidates)

    def _find_held_worker(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
    ) -> decisions.CandidateWorker | None:
        held = self._room.find_held(name, self._describe_unheld)
        if held is None:
            return None
        # The counts of the step and the ticket may have changed since.
        eligible = self._list_eligible(state, step, name, {held.worker: held})
        return next(
            (each for each in eligible if decisions.can_run_on(step, each)),
            None,
        )

    def _make_room(
        self,
        state: _jobs.JobState,
        name: workloads.TaskName,
        eligible: list[decisions.CandidateWorker],
        candidates: Candidates,
    ) -> None:
        changed = self._room.request(state, name, eligible)
        if changed is not None and changed in candidates:
            candidates[changed] = self._describe_candidate(
                self._state.workers[changed]
            )

    def _find_suspects(
        self, state: _jobs.JobState, names: list[workloads.TaskName]
    ) -> list[workloads.TaskName]:
        if not self._state.suspects:
            return []
        return [name for name in names if state.is_suspect(name)]

    def _place_suspects(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        names: list[workloads.TaskName],
        candidates: Candidates,
    ) -> None:
        """Place tasks so that the next crash shows which one causes it."""
        for name in names:
            idle_seconds = state.measure_idle_time(self._now)
            pool = self._probes.list_candidates(name, candidates)
            found = next(
                (
                    candidate
                    for candidate in self._list_eligible(
                        state, step, name, pool
                    )
                    if decisions.choose_worker(
                        step,
                        (candidate,),
                        self._state.interference,
                        idle_seconds,
                    )
                ),
                None,
            )
            if found is None:
                self._probes.reserve(
                    name,
                    [
                        candidate
                        for candidate in self._list_eligible(
                            state, step, name, candidates
                        )
                        if decisions.can_run_on(step, candidate)
                    ],
                    candidates,
                )
                self._prepare_advice_request(state, step, name, pool)
                continue
            self._assign(state, step, name, found, candidates, 0)
            self._probes.record_start(found.worker, name, candidates)

    def _find_avoided_worker(self, name: workloads.TaskName) -> str:
        """Return the worker that a task was moved from; empty if none."""
        move = self._moves.get(name.format()) if self._moves else None
        if move is None or self._now >= move.until:
            return ''
        return move.slow_run.worker.incarnation.key

    def _describe_demand(
        self, state: _jobs.JobState, step: workloads.Step, idle_seconds: float
    ) -> decisions.StepDemand:
        return decisions.StepDemand(
            step,
            state.terms.service,
            decisions.may_wait_for_speed(step, idle_seconds),
            needs_advice=state.terms.advice is not None,
        )

    def _rank_workers(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: Candidates,
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
        candidates: Candidates,
    ) -> decisions.CandidateWorker | None:
        ranking = self._rank_workers(state, step, name, candidates)
        return ranking.choose(state.measure_idle_time(self._now))

    def _list_eligible(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidates: Candidates,
    ) -> list[decisions.CandidateWorker]:
        """Return the workers whose use for a task is not ruled out."""
        known = self._list_service_candidates(state, candidates)
        eligible = self._list_allowed(state, name, known)
        return self._count_same_step(step, name, eligible)

    def _list_allowed(
        self,
        state: _jobs.JobState,
        name: workloads.TaskName,
        known: list[decisions.CandidateWorker],
    ) -> list[decisions.CandidateWorker]:
        """Return the workers that an advisor allows, if one has to."""
        if state.terms.advice is None:
            return known
        return [
            candidate
            for candidate in known
            if self._find_ticket(name, candidate.worker) is not None
        ]

    def _list_service_candidates(
        self,
        state: _jobs.JobState,
        candidates: Candidates,
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
        candidates: Candidates,
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
        candidates: Candidates,
        suspects: list[workloads.TaskName],
    ) -> None:
        tasks = state.progress.tasks[names[0].occurrence][names[0].step]
        run_number = max(task.run for task in tasks) + 1
        # A checkpoint of one member is valid for all, and all members must
        # start from the same one.
        checkpoint = max((task.checkpoint for task in tasks), default='')
        trial_candidates = dict(candidates)
        if suspects and decisions.may_wait_for_proof(
            state.measure_idle_time(self._now)
        ):
            trial_candidates = self._probes.list_candidates(
                suspects[0], candidates
            )
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
        if suspects:
            for name, candidate in zip(names, chosen, strict=True):
                self._probes.record_start(candidate.worker, name, candidates)

    def _assign(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        candidate: decisions.CandidateWorker,
        candidates: Candidates,
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
        self._state.idle_tasks.record_decision(run, candidate.worker)
        self._decided_runs.append(run)
        candidates[candidate.worker] = self._describe_candidate(worker)
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


def explain_wait(
    step: workloads.Step,
    known: list[decisions.CandidateWorker],
    eligible: list[decisions.CandidateWorker],
) -> _idle_tasks.IdleCause:
    """Return why none of the workers takes a task of a step.

    `known` are the workers of the service that accept tasks, `eligible` those
    of them that an advisor allows.
    """
    if not known:
        return _idle_tasks.IdleCause.NO_WORKER
    suitable = [
        candidate
        for candidate in eligible
        if step.required_label in ('', *candidate.labels)
    ]
    if not suitable:
        return _idle_tasks.IdleCause.NOT_ALLOWED
    need = workloads.compute_reservation(step)
    if any(candidate.free.covers(need) for candidate in suitable):
        return _idle_tasks.IdleCause.SPREAD
    return _idle_tasks.IdleCause.NO_ROOM


def describe_pending_step(
    state: _jobs.JobState,
    occurrence: int,
    step_number: int,
    rank: decisions.Rank | None = None,
) -> decisions.PendingStep:
    """Return a step in the form that the order of placement uses."""
    starts_at = state.compute_occurrence_start(occurrence)
    return decisions.PendingStep(
        job=state.job.identifier,
        priority=state.terms.priority,
        long_running=state.job.steps[step_number].long_running,
        deadline=max(state.deadline, starts_at + state.objective_seconds),
        remaining_seconds=state.remaining_paths[step_number],
        objective_seconds=state.objective_seconds,
        rank=rank,
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
