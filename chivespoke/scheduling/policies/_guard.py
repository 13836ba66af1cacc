"""Guard that throttles batch tasks first and evicts them last."""

import math

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import scheduling
from chivespoke.scheduling.policies import _estimator
from chivespoke.scheduling.policies import _placement
from chivespoke import workers

# A throttle is released only if the log slowdown stays this far below the
# limit.
RELEASE_HYSTERESIS = 0.2
# Tasks that add no more than this log slowdown are not throttled.
MIN_LOG_SLOWDOWN = 0.02
MAX_THROTTLES_PER_DECISION = 4
# Shortest time before a release; it doubles with each throttle of the same
# task, up to the maximum.
MIN_THROTTLE_SECONDS = 60.0
MAX_THROTTLE_SECONDS = 960.0
# Time after which a throttle that did not suffice is followed by a checkpoint
# or an eviction.
ESCALATION_DELAY_SECONDS = 120.0
# Time for a checkpoint to complete before the eviction.
CHECKPOINT_SECONDS = 20.0
SECONDS_PER_MINUTE = 60.0
# Half-life of the number of throttles of a family, and the penalty for each
# throttle when the next victim is chosen, so that all families are throttled
# in turn.
FAIRNESS_HALF_LIFE_SECONDS = 900.0
FAIRNESS_PENALTY = 0.1


class _WorkerState(msgspec.Struct):
    """Hold the recent actions of the guard on one incarnation of a worker."""

    incarnation: identifiers.Incarnation
    # Measurements that start before this time, by the worker's clock, do not
    # show the effect of the last action.
    effect_visible_from: float = -math.inf
    # Token bucket that limits the rate of evictions.
    eviction_tokens: float = 1.0
    refilled_at: float = -math.inf
    throttled_at: dict[identifiers.TaskId, float] = {}
    throttle_seconds: dict[identifiers.TaskId, float] = {}
    checkpointed_at: dict[identifiers.TaskId, float] = {}


class EscalatingGuard(scheduling.GuardPolicy):
    """Throttle the tasks that interfere most; evict if that is not enough.

    The next action on a worker waits for a measurement that shows the effect
    of the previous one. Only an eviction after a checkpoint does not wait.
    """

    __slots__ = (
        '_estimator',
        '_parameters',
        '_limits',
        '_worker_states',
        '_recent_throttles',
    )

    def __init__(
        self,
        estimator: _estimator.WorkloadEstimator,
        weights: operators.Weights,
        limits: operators.Limits,
    ) -> None:
        self._estimator = estimator
        self._parameters = _placement.derive_parameters(weights)
        self._limits = limits
        self._worker_states: dict[identifiers.WorkerId, _WorkerState] = {}
        # For each family, the decayed number of throttles and the time at
        # which it was last decayed.
        self._recent_throttles: dict[str, tuple[float, float]] = {}

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        worker_state = self._worker_states.get(worker.worker_id)
        if (
            worker_state is None
            or worker_state.incarnation != worker.incarnation
        ):
            worker_state = _WorkerState(worker.incarnation)
            self._worker_states[worker.worker_id] = worker_state
        self._refill_tokens(now, worker_state)
        slowest = self._find_slowest_replica(worker)
        if slowest is None:
            return ()
        replica, measured, expected, measured_from = slowest
        eviction = self._choose_checkpointed(
            now, worker, worker_state, measured
        )
        if eviction is not None:
            return (self._record_action(now, worker, worker_state, *eviction),)
        if measured_from < worker_state.effect_visible_from:
            return ()
        excess = max(measured, expected) - self._parameters.guard_limit
        if excess > 0.0:
            return self._throttle_batch(
                now, worker, replica, worker_state, excess
            )
        if excess < -RELEASE_HYSTERESIS:
            chosen = self._choose_release(now, worker, replica, worker_state)
            if chosen is not None:
                return (
                    self._record_action(now, worker, worker_state, *chosen),
                )
        return ()

    def _find_slowest_replica(
        self, worker: scheduling.WorkerView
    ) -> tuple[scheduling.PlacedTask, float, float, float] | None:
        """Return the replica with the highest measured or predicted slowdown.

        With it: its measured and predicted log slowdown, and the start of the
        newest measurement by the worker's clock.
        """
        slowest: tuple[scheduling.PlacedTask, float, float, float] | None = (
            None
        )
        for placed in worker.tasks.values():
            if placed.demand.kind is not workers.TaskKind.LATENCY_CRITICAL:
                continue
            state = self._estimator.get_replica_state(worker, placed)
            prediction = self._estimator.predict_replica_slowdown(
                worker, placed
            )
            expected = prediction.mean + 0.5 * state.residual
            candidate = (
                placed,
                state.slowdown,
                expected,
                state.measured_from,
            )
            if slowest is None or max(candidate[1:3]) > max(slowest[1:3]):
                slowest = candidate
        return slowest

    def _throttle_batch(
        self,
        now: float,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        worker_state: _WorkerState,
        excess: float,
    ) -> tuple[scheduling.GuardAction, ...]:
        """Throttle tasks until their predicted effect covers the excess.

        Escalate if there is no task left to throttle.
        """
        load = self._estimator.get_replica_state(worker, replica).load
        suspects: list[tuple[float, float, scheduling.PlacedTask]] = []
        for placed in worker.tasks.values():
            if placed.demand.kind is not workers.TaskKind.BATCH:
                continue
            if placed.throttled:
                continue
            caused = self._estimator.predict_slowdown(
                replica.demand.family, placed.demand, worker, load
            ).mean
            if caused > MIN_LOG_SLOWDOWN:
                score = self._score_victim(now, placed, caused)
                suspects.append((score, caused, placed))
        suspects.sort(key=lambda entry: -entry[0])
        actions = []
        for _, caused, placed in suspects[:MAX_THROTTLES_PER_DECISION]:
            if excess <= 0.0:
                break
            excess -= caused * (1.0 - _estimator.THROTTLED_USE_SHARE)
            kind = scheduling.GuardActionKind.THROTTLE
            actions.append(
                self._record_action(now, worker, worker_state, placed, kind)
            )
        if actions:
            return tuple(actions)
        return self._escalate(now, worker, worker_state)

    def _score_victim(
        self, now: float, placed: scheduling.PlacedTask, caused: float
    ) -> float:
        """Return the log slowdown saved per millicore that is throttled.

        A fairness penalty reduces the score of recently throttled families.
        """
        use = self._estimator.sizes.estimate_use(placed.demand).millicores
        return (
            caused
            / (use + 1.0)
            / (1.0 + self._compute_fairness_penalty(now, placed))
        )

    def _escalate(
        self,
        now: float,
        worker: scheduling.WorkerView,
        worker_state: _WorkerState,
    ) -> tuple[scheduling.GuardAction, ...]:
        """Checkpoint or evict a task whose throttle did not suffice."""
        if worker_state.eviction_tokens < 1.0:
            return ()
        ineffective = [
            placed
            for task_id, placed in worker.tasks.items()
            if placed.throttled
            and now - worker_state.throttled_at.get(task_id, now)
            > ESCALATION_DELAY_SECONDS
        ]
        if not ineffective:
            return ()
        victim = min(ineffective, key=_get_lost_seconds)
        kind = scheduling.GuardActionKind.EVICT
        if victim.demand.checkpointing:
            if victim.demand.task_id in worker_state.checkpointed_at:
                return ()
            kind = scheduling.GuardActionKind.CHECKPOINT
        return (self._record_action(now, worker, worker_state, victim, kind),)

    def _choose_release(
        self,
        now: float,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        worker_state: _WorkerState,
    ) -> tuple[scheduling.PlacedTask, scheduling.GuardActionKind] | None:
        """Choose the throttled task whose release adds the least slowdown."""
        state = self._estimator.get_replica_state(worker, replica)
        predicted_slowdown = self._estimator.predict_replica_slowdown(
            worker, replica
        ).mean
        current_slowdown = predicted_slowdown + max(state.residual, 0.0)
        allowance = (
            self._parameters.guard_limit
            - RELEASE_HYSTERESIS
            - current_slowdown
        )
        best: scheduling.PlacedTask | None = None
        least_added = math.inf
        for placed in worker.tasks.values():
            task_id = placed.demand.task_id
            if not placed.throttled:
                continue
            throttled_for = now - worker_state.throttled_at.get(
                task_id, -math.inf
            )
            if throttled_for < worker_state.throttle_seconds.get(
                task_id, MIN_THROTTLE_SECONDS
            ):
                continue
            caused = self._estimator.predict_slowdown(
                replica.demand.family, placed.demand, worker, state.load
            ).mean
            added = caused * (1.0 - _estimator.THROTTLED_USE_SHARE)
            if added < min(allowance, least_added):
                best, least_added = placed, added
        if best is None:
            return None
        return best, scheduling.GuardActionKind.RELEASE

    def _choose_checkpointed(
        self,
        now: float,
        worker: scheduling.WorkerView,
        worker_state: _WorkerState,
        measured: float,
    ) -> tuple[scheduling.PlacedTask, scheduling.GuardActionKind] | None:
        """Choose a checkpointed task to evict.

        Pending evictions are dropped if the slowdown is below the limit.
        """
        for task_id, since in list(worker_state.checkpointed_at.items()):
            placed = worker.tasks.get(task_id)
            if placed is None or measured < self._parameters.guard_limit:
                del worker_state.checkpointed_at[task_id]
            elif (
                now - since >= CHECKPOINT_SECONDS
                and worker_state.eviction_tokens >= 1.0
            ):
                del worker_state.checkpointed_at[task_id]
                return placed, scheduling.GuardActionKind.EVICT
        return None

    def _record_action(
        self,
        now: float,
        worker: scheduling.WorkerView,
        worker_state: _WorkerState,
        placed: scheduling.PlacedTask,
        kind: scheduling.GuardActionKind,
    ) -> scheduling.GuardAction:
        task_id = placed.demand.task_id
        worker_clock = self._estimator.matcher.estimate_worker_clock(
            now, worker.worker_id
        )
        worker_state.effect_visible_from = worker_clock
        if kind is scheduling.GuardActionKind.THROTTLE:
            previous = worker_state.throttle_seconds.get(
                task_id, MIN_THROTTLE_SECONDS / 2
            )
            worker_state.throttle_seconds[task_id] = min(
                2 * previous, MAX_THROTTLE_SECONDS
            )
            worker_state.throttled_at[task_id] = now
            self._count_throttle(now, placed)
        elif kind is scheduling.GuardActionKind.CHECKPOINT:
            worker_state.checkpointed_at[task_id] = now
        elif kind is scheduling.GuardActionKind.EVICT:
            worker_state.eviction_tokens -= 1.0
        self._forget_departed(worker, worker_state)
        return scheduling.GuardAction(
            worker_id=worker.worker_id,
            task_id=task_id,
            attempt=placed.attempt,
            kind=kind,
            reason=f'{kind.value} of {placed.demand.family}',
        )

    def _refill_tokens(self, now: float, worker_state: _WorkerState) -> None:
        if worker_state.refilled_at > -math.inf:
            rate = self._limits.evictions_per_minute / SECONDS_PER_MINUTE
            rate /= max(self._parameters.eviction_weight, 0.1)
            refilled = rate * (now - worker_state.refilled_at)
            worker_state.eviction_tokens = min(
                worker_state.eviction_tokens + refilled, 1.0
            )
        worker_state.refilled_at = now

    def _compute_fairness_penalty(
        self, now: float, placed: scheduling.PlacedTask
    ) -> float:
        count, since = self._recent_throttles.get(
            placed.demand.family, (0.0, now)
        )
        decayed = count * math.pow(
            0.5, (now - since) / FAIRNESS_HALF_LIFE_SECONDS
        )
        return FAIRNESS_PENALTY * decayed

    def _count_throttle(
        self, now: float, placed: scheduling.PlacedTask
    ) -> None:
        recent = self._compute_fairness_penalty(now, placed) / FAIRNESS_PENALTY
        self._recent_throttles[placed.demand.family] = (recent + 1.0, now)

    def _forget_departed(
        self, worker: scheduling.WorkerView, worker_state: _WorkerState
    ) -> None:
        for times in (
            worker_state.throttled_at,
            worker_state.throttle_seconds,
        ):
            for task_id in [t for t in times if t not in worker.tasks]:
                del times[task_id]


def _get_lost_seconds(placed: scheduling.PlacedTask) -> float:
    return 0.0 if placed.demand.checkpointing else placed.unsaved_seconds
