"""Guards that act in steps: throttle, checkpoint, evict."""

import math

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import scheduling
from chivespoke.scheduling.policies import _knowledge
from chivespoke.scheduling.policies import _placement
from chivespoke import workers

# Release only when the prediction lies this far under the limit (log).
HYSTERESIS = 0.2
# Log slowdown of a task that is not worth an action.
LEAST_HARM = 0.02
MOST_THROTTLES = 4
# Seconds a throttle lasts at least, doubled each time it comes back.
LEAST_THROTTLE = 60.0
LONGEST_THROTTLE = 960.0
# Seconds after a throttle without release, before a checkpoint and evict.
THROTTLE_TRIAL = 120.0
# Seconds between a checkpoint and the eviction that it prepares.
CHECKPOINT_TIME = 20.0
MINUTE = 60.0
# Half-life of a family's count of actions, for fairness, in seconds.
FAIRNESS_HALF_LIFE = 900.0
FAIRNESS_COST = 0.1


class _WorkerGuard(msgspec.Struct):
    """Hold what a guard did on one worker."""

    # Worker's clock from which measurements show the last action.
    shown_from: float = -math.inf
    budget: float = 1.0
    refilled_at: float = -math.inf
    throttled_at: dict[identifiers.TaskId, float] = {}
    throttle_time: dict[identifiers.TaskId, float] = {}
    checkpointed_at: dict[identifiers.TaskId, float] = {}


class SteppedGuard(scheduling.GuardPolicy):
    """Act on the task blamed most, mildest first, once effects show."""

    __slots__ = (
        '_knowledge',
        '_tuning',
        '_limits',
        '_guards',
        '_families',
    )

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        weights: operators.Weights,
        limits: operators.Limits,
    ) -> None:
        self._knowledge = knowledge
        self._tuning = _placement.make_tuning(weights)
        self._limits = limits
        self._guards: dict[identifiers.WorkerId, _WorkerGuard] = {}
        # Recent actions on each family, and when they were last decayed.
        self._families: dict[str, tuple[float, float]] = {}

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        guard = self._guards.setdefault(worker.worker_id, _WorkerGuard())
        self._refill(now, guard)
        worst = self._find_worst(worker)
        if worst is None:
            return ()
        replica, measured, expected, measured_from = worst
        pending = self._finish_checkpoint(now, worker, guard, measured)
        if pending is not None:
            return (self._act(now, worker, guard, *pending),)
        if measured_from < guard.shown_from:
            return ()
        excess = max(measured, expected) - self._tuning.guard_limit
        if excess > 0.0:
            return self._restrain(now, worker, replica, guard, excess)
        if excess < -HYSTERESIS:
            chosen = self._choose_release(now, worker, replica, guard)
            if chosen is not None:
                return (self._act(now, worker, guard, *chosen),)
        return ()

    def _find_worst(
        self, worker: scheduling.WorkerView
    ) -> tuple[scheduling.PlacedTask, float, float, float] | None:
        """Return the worst replica, measured and expected log slowdown."""
        worst: tuple[scheduling.PlacedTask, float, float, float] | None = None
        for placed in worker.tasks.values():
            if placed.demand.kind is not workers.TaskKind.LATENCY_CRITICAL:
                continue
            state = self._knowledge.get_replica(worker, placed)
            prediction = self._knowledge.predict_replica(worker, placed)
            expected = prediction.mean + 0.5 * state.residual
            found = (
                placed,
                state.slowdown,
                expected,
                state.measured_from,
            )
            if worst is None or max(found[1:3]) > max(worst[1:3]):
                worst = found
        return worst

    def _restrain(
        self,
        now: float,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        guard: _WorkerGuard,
        excess: float,
    ) -> tuple[scheduling.GuardAction, ...]:
        """Throttle what is blamed until the excess is made up for."""
        load = self._knowledge.get_replica(worker, replica).load
        blamed: list[tuple[float, float, scheduling.PlacedTask]] = []
        for placed in worker.tasks.values():
            if placed.demand.kind is not workers.TaskKind.BATCH:
                continue
            if placed.throttled:
                continue
            harm = self._knowledge.predict_harm(
                replica.demand.family, placed.demand, worker, load
            ).mean
            if harm > LEAST_HARM:
                worth = self._weigh_victim(now, placed, harm)
                blamed.append((worth, harm, placed))
        blamed.sort(key=lambda entry: -entry[0])
        actions = []
        for _, harm, placed in blamed[:MOST_THROTTLES]:
            if excess <= 0.0:
                break
            excess -= harm * (1.0 - _knowledge.THROTTLED_SHARE)
            kind = scheduling.GuardActionKind.THROTTLE
            actions.append(self._act(now, worker, guard, placed, kind))
        if actions:
            return tuple(actions)
        return self._remove_stuck(now, worker, guard)

    def _weigh_victim(
        self, now: float, placed: scheduling.PlacedTask, harm: float
    ) -> float:
        """Return the harm saved for each part of the work that slows."""
        use = self._knowledge.sizes.estimate_use(placed.demand).millicores
        return harm / (use + 1.0) / (1.0 + self._count_recent(now, placed))

    def _remove_stuck(
        self,
        now: float,
        worker: scheduling.WorkerView,
        guard: _WorkerGuard,
    ) -> tuple[scheduling.GuardAction, ...]:
        """Checkpoint or evict what throttling did not make harmless."""
        if guard.budget < 1.0:
            return ()
        stuck = [
            placed
            for task_id, placed in worker.tasks.items()
            if placed.throttled
            and now - guard.throttled_at.get(task_id, now) > THROTTLE_TRIAL
        ]
        if not stuck:
            return ()
        victim = min(stuck, key=_count_lost)
        kind = scheduling.GuardActionKind.EVICT
        if victim.demand.checkpointing:
            if victim.demand.task_id in guard.checkpointed_at:
                return ()
            kind = scheduling.GuardActionKind.CHECKPOINT
        return (self._act(now, worker, guard, victim, kind),)

    def _choose_release(
        self,
        now: float,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        guard: _WorkerGuard,
    ) -> tuple[scheduling.PlacedTask, scheduling.GuardActionKind] | None:
        """Release the throttled task that would do the least harm."""
        state = self._knowledge.get_replica(worker, replica)
        before = self._knowledge.predict_replica(worker, replica).mean
        base = before + max(state.residual, 0.0)
        room = self._tuning.guard_limit - HYSTERESIS - base
        best: scheduling.PlacedTask | None = None
        best_harm = math.inf
        for placed in worker.tasks.values():
            task_id = placed.demand.task_id
            if not placed.throttled:
                continue
            waited = now - guard.throttled_at.get(task_id, -math.inf)
            if waited < guard.throttle_time.get(task_id, LEAST_THROTTLE):
                continue
            harm = self._knowledge.predict_harm(
                replica.demand.family, placed.demand, worker, state.load
            ).mean
            added = harm * (1.0 - _knowledge.THROTTLED_SHARE)
            if added < min(room, best_harm):
                best, best_harm = placed, added
        if best is None:
            return None
        return best, scheduling.GuardActionKind.RELEASE

    def _finish_checkpoint(
        self,
        now: float,
        worker: scheduling.WorkerView,
        guard: _WorkerGuard,
        measured: float,
    ) -> tuple[scheduling.PlacedTask, scheduling.GuardActionKind] | None:
        """Evict what was checkpointed for it, unless things got better."""
        for task_id, since in list(guard.checkpointed_at.items()):
            placed = worker.tasks.get(task_id)
            if placed is None or measured < self._tuning.guard_limit:
                del guard.checkpointed_at[task_id]
            elif now - since >= CHECKPOINT_TIME and guard.budget >= 1.0:
                del guard.checkpointed_at[task_id]
                return placed, scheduling.GuardActionKind.EVICT
        return None

    def _act(
        self,
        now: float,
        worker: scheduling.WorkerView,
        guard: _WorkerGuard,
        placed: scheduling.PlacedTask,
        kind: scheduling.GuardActionKind,
    ) -> scheduling.GuardAction:
        task_id = placed.demand.task_id
        clock = self._knowledge.matcher.estimate_worker_clock(
            now, worker.worker_id
        )
        guard.shown_from = clock
        if kind is scheduling.GuardActionKind.THROTTLE:
            previous = guard.throttle_time.get(task_id, LEAST_THROTTLE / 2)
            guard.throttle_time[task_id] = min(2 * previous, LONGEST_THROTTLE)
            guard.throttled_at[task_id] = now
            self._note_family(now, placed)
        elif kind is scheduling.GuardActionKind.CHECKPOINT:
            guard.checkpointed_at[task_id] = now
        elif kind is scheduling.GuardActionKind.EVICT:
            guard.budget -= 1.0
        self._forget_gone(worker, guard)
        return scheduling.GuardAction(
            worker_id=worker.worker_id,
            task_id=task_id,
            attempt=placed.attempt,
            kind=kind,
            reason=f'{kind.value} of {placed.demand.family}',
        )

    def _refill(self, now: float, guard: _WorkerGuard) -> None:
        if guard.refilled_at > -math.inf:
            rate = self._limits.evictions_per_minute / MINUTE
            rate /= max(self._tuning.eviction_weight, 0.1)
            earned = rate * (now - guard.refilled_at)
            guard.budget = min(guard.budget + earned, 1.0)
        guard.refilled_at = now

    def _count_recent(
        self, now: float, placed: scheduling.PlacedTask
    ) -> float:
        count, since = self._families.get(placed.demand.family, (0.0, now))
        decayed = count * math.pow(0.5, (now - since) / FAIRNESS_HALF_LIFE)
        return FAIRNESS_COST * decayed

    def _note_family(self, now: float, placed: scheduling.PlacedTask) -> None:
        recent = self._count_recent(now, placed) / FAIRNESS_COST
        self._families[placed.demand.family] = (recent + 1.0, now)

    def _forget_gone(
        self, worker: scheduling.WorkerView, guard: _WorkerGuard
    ) -> None:
        for known in (guard.throttled_at, guard.throttle_time):
            for task_id in [t for t in known if t not in worker.tasks]:
                del known[task_id]


def _count_lost(placed: scheduling.PlacedTask) -> float:
    return 0.0 if placed.demand.checkpointing else placed.unsaved_seconds
