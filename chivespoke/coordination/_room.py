"""Room that is held on workers for waiting lasting tasks; no I/O."""

import collections.abc

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# Time for which a worker that takes no tasks keeps what it holds, for example
# after it has refused an order for lack of capacity.
MAX_ABSENCE_SECONDS = 1.0
# Number of tasks for which room is looked for in one plan: each look visits
# the runs of all workers.
MAX_SEARCHES = 2


class _Hold(msgspec.Struct):
    """Hold the room that a task waits for."""

    name: workloads.TaskName
    worker: str
    need: workloads.Resources
    # Time of the last plan in which the worker accepted tasks.
    seen_at: float


class RoomKeeper:
    """Hold room for lasting tasks, and stop runs that are in its way."""

    __slots__ = ('_state', '_now', '_holds', '_searches', '_searched')

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        self._now = 0.0
        # By task id, in the order in which they were made.
        self._holds: dict[str, _Hold] = {}
        # Left for this plan.
        self._searches = 0
        # Ids of the tasks for which room was looked for without a find, since
        # all that wait have had their turn.
        self._searched: set[str] = set()

    def begin_plan(
        self, accepting: collections.abc.Container[str], now: float
    ) -> None:
        """Drop the holds that have become pointless."""
        self._now = now
        if self._searches:
            # The plan before had searches left.
            self._searched.clear()
        self._searches = MAX_SEARCHES
        for task_id, hold in tuple(self._holds.items()):
            if hold.worker in accepting:
                hold.seen_at = now
            state = self._state.jobs.get(hold.name.job)
            if (
                now > hold.seen_at + MAX_ABSENCE_SECONDS
                or hold.worker not in self._state.workers
                or state is None
                or state.final
                or not state.is_waiting(hold.name)
            ):
                del self._holds[task_id]

    def deduct(
        self, candidate: decisions.CandidateWorker
    ) -> decisions.CandidateWorker:
        """Return a worker without the room that is held on it.

        Fillers, which reserve no processor time, may use it meanwhile.
        """
        held = [
            hold.need
            for hold in self._holds.values()
            if hold.worker == candidate.worker
        ]
        if not held:
            return candidate
        free = candidate.free
        for need in held:
            free = free.add(need, -1)
        return msgspec.structs.replace(
            candidate,
            free=msgspec.structs.replace(
                free,
                cpu_millis=max(0, free.cpu_millis),
            ),
        )

    def find_held(
        self,
        name: workloads.TaskName,
        describe: collections.abc.Callable[
            [_fleet.Worker], decisions.CandidateWorker
        ],
    ) -> decisions.CandidateWorker | None:
        """Return the worker that holds room for a task if it fits by now."""
        hold = self._holds.get(name.format())
        if hold is None or hold.seen_at != self._now:
            return None
        candidate = describe(self._state.workers[hold.worker])
        free = candidate.free.add(self._sum_earlier(hold), -1)
        if not free.covers(hold.need):
            return None
        return candidate

    def may_help(
        self, state: _jobs.JobState, name: workloads.TaskName
    ) -> bool:
        """Return whether room is held for a task, or can be looked for."""
        return name.format() in self._holds or (
            self._may_search(name) and self._has_run(state, name)
        )

    def _may_search(self, name: workloads.TaskName) -> bool:
        return self._searches > 0 and name.format() not in self._searched

    def _has_run(
        self, state: _jobs.JobState, name: workloads.TaskName
    ) -> bool:
        """Return whether a task was assigned before.

        A first start waits for room like other work.
        """
        task = state.find_task(name)
        return task is not None and task.run > 0

    def release(self, name: workloads.TaskName) -> None:
        """Drop what is held for a task, if anything."""
        self._holds.pop(name.format(), None)

    def request(
        self,
        state: _jobs.JobState,
        name: workloads.TaskName,
        eligible: list[decisions.CandidateWorker],
    ) -> str | None:
        """Hold room for a task that has run before, and stop what is there.

        Returns the worker whose description has changed, None if none has.
        """
        if not self._has_run(state, name):
            return None
        step = state.job.steps[name.step]
        hold = self._holds.get(name.format())
        if hold is None:
            if not self._may_search(name):
                return None
            self._searches -= 1
        elif hold.seen_at != self._now:
            return None
        choice = decisions.choose_room(
            workloads.compute_reservation(step),
            (
                self._describe_offer(state, candidate, hold)
                for candidate in eligible
                if (hold is None or candidate.worker == hold.worker)
                and self._is_suitable(step, candidate)
            ),
        )
        if choice is None:
            self._searched.add(name.format())
            self.release(name)
            return hold.worker if hold is not None else None
        changed = None
        if hold is None:
            hold = _Hold(
                name,
                choice.worker,
                workloads.compute_reservation(step),
                self._now,
            )
            self._holds[name.format()] = hold
            changed = choice.worker
        self._evict(name, choice)
        return changed

    def _is_suitable(
        self, step: workloads.Step, candidate: decisions.CandidateWorker
    ) -> bool:
        """Return whether a worker lacks nothing but room."""
        quarantine = self._state.quarantines.get(candidate.worker)
        return (
            (quarantine is None or not quarantine.is_quarantined)
            and step.required_label in ('', *candidate.labels)
            and not 0 < step.max_per_worker <= candidate.same_step_tasks
        )

    def _describe_offer(
        self,
        state: _jobs.JobState,
        candidate: decisions.CandidateWorker,
        hold: _Hold | None,
    ) -> decisions.RoomOffer:
        worker = self._state.workers[candidate.worker]
        free = worker.incarnation.capacity.add(worker.reserved, -1)
        free = free.add(self._sum_earlier(hold, candidate.worker), -1)
        runs = []
        for run in worker.runs.values():
            if run.state is _fleet.RunState.STOPPING:
                free = free.add(workloads.compute_reservation(run.step))
            elif self._is_evictable(run, state.terms.priority):
                runs.append(self._describe_run(run, state.terms.priority))
        return decisions.RoomOffer(
            candidate.worker,
            free,
            tuple(runs),
            candidate.same_step_in_data_centre,
        )

    def _sum_earlier(
        self, hold: _Hold | None, worker: str = ''
    ) -> workloads.Resources:
        """Return what is held on a worker for tasks that came earlier."""
        held = workloads.Resources()
        for other in self._holds.values():
            if other is hold:
                break
            if other.worker == (hold.worker if hold is not None else worker):
                held = held.add(other.need)
        return held

    def _is_evictable(self, run: _fleet.Run, priority: int) -> bool:
        state = self._state.jobs.get(run.name.job)
        return (
            run.state is _fleet.RunState.RUNNING
            and run.last_listing is not None
            and not run.step.long_running
            # The others of a gang would end with it.
            and not run.step.gang
            and state is not None
            and state.terms.priority >= priority
        )

    def _describe_run(
        self, run: _fleet.Run, priority: int
    ) -> decisions.EvictableRun:
        started_at = self._now if run.started_at is None else run.started_at
        return decisions.EvictableRun(
            run.task_id,
            workloads.compute_reservation(run.step),
            self._state.jobs[run.name.job].terms.priority <= priority,
            decisions.estimate_lost_work(run.step, self._now - started_at),
        )

    def _evict(
        self, name: workloads.TaskName, choice: decisions.RoomChoice
    ) -> None:
        runs = self._state.workers[choice.worker].runs
        for evicted in choice.evictions:
            run = runs[evicted.task]
            run.state = _fleet.RunState.STOPPING
            run.sent_at = None
            LOGGER.info(
                'A run is stopped to make room for a lasting task.',
                task=run.task_id,
                run=run.number,
                worker=choice.worker,
                lasting_task=name.format(),
                lost_core_seconds=round(evicted.lost_core_seconds, 1),
            )
