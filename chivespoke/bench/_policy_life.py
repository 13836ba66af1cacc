"""Simplified task life cycle that runs the policies on a virtual clock."""

import collections
import dataclasses
import math

import msgspec

from chivespoke.bench import _policy_model
from chivespoke.bench import _policy_scenario
from chivespoke.bench import _policy_suites
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import workers

TEAM = identifiers.TeamName('bench')
# Interval, in ticks, at which the views are updated with the work that each
# task would lose if it were stopped.
REFRESH_INTERVAL = 6


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A task that waits to be placed on a worker."""

    demand: scheduling.TaskDemand
    attempt: identifiers.Attempt
    use: resources.Resources
    run_time: float
    done: float = 0.0


class LifeCycle:
    """Places, guards, evacuates and completes the tasks of one run."""

    __slots__ = (
        'evictions',
        'moves',
        'journal',
        'clock',
        'world',
        '_scenario',
        '_suite',
        '_views',
        '_waiting',
        '_arrivals',
        '_declared',
        '_out',
        '_ticks',
    )

    def __init__(
        self,
        scenario: _policy_scenario.Scenario,
        world: _policy_model.ModelWorld,
        suite: _policy_suites.Suite,
        clock: clocks.ManualClock,
    ) -> None:
        self.evictions = 0
        self.moves = 0
        # Decisions of the policies in chronological order.
        self.journal: list[str] = []
        self.clock = clock
        self.world = world
        self._scenario = scenario
        self._suite = suite
        self._views = {
            worker.worker_id: scheduling.WorkerView(
                worker_id=worker.worker_id,
                data_centre=worker.data_centre,
                rack=worker.rack,
                capacity=worker.capacity,
            )
            for worker in world.workers.values()
        }
        self._waiting: list[WaitingTask] = _make_replicas(scenario)
        self._arrivals = collections.deque(enumerate(scenario.arrivals))
        self._declared = {f.name: f for f in scenario.families}
        self._out: str | None = None
        self._ticks = 0

    def run(self, horizon: float = _policy_scenario.HORIZON) -> None:
        """Run the scenario until the horizon, in seconds."""
        while self._ticks * _policy_scenario.TICK < horizon:
            if self._ticks * _policy_scenario.TICK == horizon / 2:
                self._replace_process()
            self._run_tick(self._ticks * _policy_scenario.TICK)
            self._ticks += 1
            self.clock.advance(_policy_scenario.TICK)

    def _replace_process(self) -> None:
        suite = self._suite
        if suite.make_successor is not None and suite.estimator is not None:
            self._suite = suite.make_successor(suite.estimator)

    def _run_tick(self, now: float) -> None:
        self._admit(now)
        self._update_outage(now)
        self._place(now)
        self.world.advance(now, self._compute_request_shares())
        for task in self.world.completed:
            self._remove(task.demand.task_id)
        self._deliver_reports(now)
        if self._ticks % REFRESH_INTERVAL == 0:
            self._update_unsaved_work()
        for view in self._views.values():
            for action in self._suite.guard.decide_actions(now, view):
                self._apply(action)

    def _deliver_reports(self, now: float) -> None:
        estimator = self._suite.estimator
        if estimator is not None:
            for worker in self.world.workers.values():
                clock = self.world.read_clock(now, worker)
                estimator.matcher.observe_clock(now, worker.worker_id, clock)
        for report in self.world.receive_reports(now):
            view = self._views[report.worker_id]
            self._suite.observer.observe_report(now, report, view)

    def _admit(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][1].at <= now:
            index, arrival = self._arrivals.popleft()
            truth = self._declared[arrival.family]
            demand = scheduling.TaskDemand(
                task_id=identifiers.TaskId(f'{arrival.family}-{index}'),
                kind=workers.TaskKind.BATCH,
                family=arrival.family,
                team=TEAM,
                size=truth.declared,
                run_time=truth.declared_run_time,
                checkpointing=truth.checkpointing,
            )
            self._waiting.append(
                WaitingTask(
                    demand,
                    identifiers.Attempt(1),
                    arrival.use,
                    arrival.run_time,
                )
            )

    def _update_outage(self, now: float) -> None:
        count = self._scenario.shape.data_centres
        name = f'dc{self._scenario.seed % count}'
        start = _policy_scenario.OUTAGE_START
        if now == start:
            self._out = name
            self._evacuate_data_centre(services_only=True)
        elif now == start + _policy_scenario.OUTAGE_NOTICE:
            self._evacuate_data_centre(services_only=False)
        elif now == _policy_scenario.OUTAGE_END:
            self._out = None

    def _evacuate_data_centre(self, services_only: bool) -> None:
        for view in self._views.values():
            if view.data_centre != self._out:
                continue
            for placed in list(view.tasks.values()):
                demand = placed.demand
                is_service = demand.kind is not workers.TaskKind.BATCH
                if is_service or not services_only:
                    task = self.world.workers[view.worker_id].tasks[
                        demand.task_id
                    ]
                    if demand.checkpointing:
                        task.saved = task.done
                    self.moves += 1
                    self._stop(view, demand.task_id)

    def _place(self, now: float) -> None:
        """Place the waiting tasks, services first.

        Once a task cannot be placed, the remaining tasks of its family are
        skipped until the next tick.
        """
        blocked_families: set[str] = set()
        unplaced: list[WaitingTask] = []
        services_first = sorted(
            self._waiting,
            key=lambda task: task.demand.kind is workers.TaskKind.BATCH,
        )
        for task in services_first:
            family = task.demand.family
            if family in blocked_families or not self._place_task(now, task):
                blocked_families.add(family)
                unplaced.append(task)
        self._waiting = unplaced

    def _place_task(self, now: float, task: WaitingTask) -> bool:
        demand = self._size(task.demand)
        candidates = self._find_candidates(demand)
        is_service = demand.kind is not workers.TaskKind.BATCH
        if not candidates and is_service:
            candidates = self._evict_for_replica(demand)
        chosen = self._suite.placement.choose_worker(demand, candidates)
        if chosen is None:
            return False
        self.journal.append(f'{now} {demand.task_id} {chosen.worker_id}')
        chosen.tasks[demand.task_id] = scheduling.PlacedTask(
            demand=demand, attempt=task.attempt, placed_at=now
        )
        chosen.committed = chosen.committed + demand.size
        errors.check_invariant(
            chosen.committed.fits_within(chosen.capacity),
            'commitment',
            chosen.worker_id,
        )
        running = _policy_model.RunningTask(
            demand=demand,
            attempt=task.attempt,
            use=task.use,
            run_time=task.run_time,
            done=task.done,
            saved=task.done,
        )
        self.world.workers[chosen.worker_id].tasks[demand.task_id] = running
        return True

    def _size(self, demand: scheduling.TaskDemand) -> scheduling.TaskDemand:
        if demand.kind is not workers.TaskKind.BATCH:
            return demand
        declared = self._declared[demand.family].declared
        size = self._suite.sizes.correct_size(demand.family, declared).size
        return msgspec.structs.replace(demand, size=size)

    def _find_candidates(
        self, demand: scheduling.TaskDemand
    ) -> list[scheduling.WorkerView]:
        """Return the workers that can run a task.

        Replicas of a service are never placed on the same worker.
        """
        is_service = demand.kind is not workers.TaskKind.BATCH
        return [
            view
            for view in self._views.values()
            if view.data_centre != self._out
            and demand.size.fits_within(view.free)
            and not (is_service and _has_family(view, demand.family))
        ]

    def _evict_for_replica(
        self, demand: scheduling.TaskDemand
    ) -> list[scheduling.WorkerView]:
        """Evict batch tasks until a replica fits on a worker.

        The worker with the most free CPU is chosen, and its tasks with the
        least unsaved work are evicted first. Returns the worker, or an empty
        list if the replica does not fit.
        """
        views = [
            view
            for view in self._views.values()
            if view.data_centre != self._out
            and not _has_family(view, demand.family)
        ]
        if not views:
            return []
        view = max(views, key=lambda view: view.free.millicores)
        tasks = self.world.workers[view.worker_id].tasks
        while not demand.size.fits_within(view.free):
            batch = [t for t in tasks.values() if _policy_model.is_batch(t)]
            if not batch:
                return []
            victim = min(batch, key=lambda task: task.done - task.saved)
            self.evictions += 1
            self._stop(view, victim.demand.task_id)
        return [view]

    def _apply(self, action: scheduling.GuardAction) -> None:
        self.journal.append(f'{action.task_id} {action.kind.value}')
        view = self._views[action.worker_id]
        placed = view.tasks.get(action.task_id)
        if placed is None or placed.attempt != action.attempt:
            return
        task = self.world.workers[action.worker_id].tasks[action.task_id]
        kinds = scheduling.GuardActionKind
        if action.kind is kinds.EVICT:
            self.evictions += 1
            self._stop(view, action.task_id)
        elif action.kind is kinds.CHECKPOINT:
            task.saved = task.done
            task.run_time += _policy_model.CHECKPOINT_COST
        else:
            task.throttled = action.kind is kinds.THROTTLE
            view.tasks[action.task_id] = msgspec.structs.replace(
                placed, throttled=task.throttled
            )

    def _stop(
        self, view: scheduling.WorkerView, task_id: identifiers.TaskId
    ) -> None:
        """Stop an attempt; the next one resumes from its last checkpoint."""
        task = self.world.workers[view.worker_id].tasks[task_id]
        lost = task.done - task.saved
        if lost > 0.0:
            self.world.lost_work[self.clock.read_monotonic()] += (
                lost * task.use.millicores
            )
        self._remove(task_id)
        self._waiting.append(
            WaitingTask(
                task.demand,
                identifiers.Attempt(task.attempt + 1),
                task.use,
                task.run_time,
                task.saved,
            )
        )

    def _remove(self, task_id: identifiers.TaskId) -> None:
        for view in self._views.values():
            placed = view.tasks.pop(task_id, None)
            if placed is not None:
                view.committed = view.committed - placed.demand.size
                del self.world.workers[view.worker_id].tasks[task_id]

    def _update_unsaved_work(self) -> None:
        for view in self._views.values():
            tasks = self.world.workers[view.worker_id].tasks
            for task_id, placed in list(view.tasks.items()):
                task = tasks[task_id]
                view.tasks[task_id] = msgspec.structs.replace(
                    placed, unsaved_seconds=task.done - task.saved
                )

    def _compute_request_shares(self) -> dict[str, float]:
        """Return each replica's request share relative to an even share."""
        weights_by_service: dict[str, dict[str, float]] = {}
        for view in self._views.values():
            for placed in view.tasks.values():
                demand = placed.demand
                if demand.kind is workers.TaskKind.BATCH:
                    continue
                weight = self._suite.routing.compute_weight(view, placed)
                weights_by_service.setdefault(demand.family, {})[
                    demand.task_id
                ] = weight
        shares = {}
        for weights in weights_by_service.values():
            mean = math.fsum(weights.values()) / len(weights)
            for task_id, weight in weights.items():
                shares[task_id] = weight / mean
        return shares


def _make_replicas(
    scenario: _policy_scenario.Scenario,
) -> list[WaitingTask]:
    replicas = []
    for service in scenario.services:
        for index in range(service.replicas):
            demand = scheduling.TaskDemand(
                task_id=identifiers.TaskId(f'{service.name}/{index}'),
                kind=workers.TaskKind.LATENCY_CRITICAL,
                family=service.name,
                team=TEAM,
                size=service.size,
            )
            use = resources.Resources(
                int(service.size.millicores * 0.8),
                service.size.memory_mib,
                0,
            )
            replicas.append(
                WaitingTask(demand, identifiers.Attempt(1), use, math.inf)
            )
    return replicas


def _has_family(view: scheduling.WorkerView, family: str) -> bool:
    return any(t.demand.family == family for t in view.tasks.values())
