"""Placement by the cost of predicted slowdown, utilisation and spread."""

import collections.abc
import math

import msgspec

from chivespoke import clock as clocks
from chivespoke import operators
from chivespoke import scheduling
from chivespoke.scheduling.policies import _estimator
from chivespoke import workers

# Standard deviations added to a prediction, as a margin for its error.
RISK_DEVIATIONS = 0.5
# Reduction of the cost per deviation of the prediction, to explore uncertain
# pairs where a wrong prediction stays within the limit.
EXPLORATION_DEVIATIONS = 0.3
# Waiting time after which the slowdown limit of a task is doubled.
WAIT_DOUBLING_SECONDS = 18000.0
# A rising load is extrapolated this far ahead.
LOAD_FORECAST_SECONDS = 300.0
MAX_FORECAST_LOAD = 1.1
PACKING_COST = 0.05
SPREAD_COST = 0.05
OVERLOAD_COST = 2.0
# Expected usage above this share of the processors slows all tasks.
MAX_PROCESSOR_SHARE = 0.95
MAX_WAITING_TASKS = 10000


class PolicyParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the parameters derived from the operators' weights."""

    # Log slowdowns above which a batch task is not placed, and above which the
    # guard acts.
    placement_limit: float
    guard_limit: float
    # Factors of costs and rates; 1 stands for equal weights.
    tail_weight: float
    spread_weight: float
    eviction_weight: float


def derive_parameters(weights: operators.Weights) -> PolicyParameters:
    """Derive the parameters from the ratios of the weights."""
    total = weights.tail_latency + weights.batch_throughput
    tail = weights.tail_latency / total if total > 0.0 else 0.5
    others = sum(
        (
            weights.tail_latency,
            weights.batch_throughput,
            weights.evictions,
            weights.data_centre_work,
        )
    )
    mean = others / 4.0 if others > 0.0 else 1.0
    return PolicyParameters(
        placement_limit=math.log(2.6 + 0.53 * (1.0 - tail)),
        guard_limit=math.log(4.2),
        tail_weight=2.0 * tail,
        spread_weight=weights.data_centre_work / mean,
        eviction_weight=weights.evictions / mean,
    )


class CostBasedPlacement(scheduling.PlacementPolicy):
    """Choose the candidate with the lowest cost.

    A batch task stays pending while every candidate exceeds its slowdown
    limit.
    """

    __slots__ = ('_estimator', '_parameters', '_clock', '_waiting_since')

    def __init__(
        self,
        estimator: _estimator.WorkloadEstimator,
        weights: operators.Weights,
        clock: clocks.Clock,
    ) -> None:
        self._estimator = estimator
        self._parameters = derive_parameters(weights)
        self._clock = clock
        # Time at which each waiting task was first considered.
        self._waiting_since: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        if not candidates:
            return None
        is_batch = demand.kind is workers.TaskKind.BATCH
        limit = self._compute_limit(demand) if is_batch else math.inf
        family_counts = _count_family(demand, candidates)
        best: scheduling.WorkerView | None = None
        best_cost = math.inf
        for worker in candidates:
            if is_batch:
                cost = self._score_batch(demand, worker, limit)
            else:
                cost = self._score_service(demand, worker)
            cost += self._score_spread(worker, family_counts)
            if cost < best_cost:
                best, best_cost = worker, cost
        if best is not None:
            self._waiting_since.pop(demand.task_id, None)
        return best

    def _compute_limit(self, demand: scheduling.TaskDemand) -> float:
        """Return the log slowdown limit of a task.

        The limit rises while the task waits; that of an urgent task is fixed.
        """
        now = self._clock.read_monotonic()
        since = self._waiting_since.setdefault(demand.task_id, now)
        if len(self._waiting_since) > MAX_WAITING_TASKS:
            self._waiting_since.popitem(last=False)
        if demand.priority is scheduling.Priority.URGENT:
            return 2.0 * self._parameters.placement_limit
        return self._parameters.placement_limit * (
            1.0 + (now - since) / WAIT_DOUBLING_SECONDS
        )

    def _score_batch(
        self,
        demand: scheduling.TaskDemand,
        worker: scheduling.WorkerView,
        limit: float,
    ) -> float:
        """Return the cost; infinity if a service would exceed the limit."""
        cost = 0.0
        for replica in worker.tasks.values():
            if replica.demand.kind is not workers.TaskKind.LATENCY_CRITICAL:
                continue
            cost += self._score_interference(demand, worker, replica, limit)
            if cost == math.inf:
                return cost
        cost *= self._parameters.tail_weight
        return cost + self._score_utilisation(demand, worker)

    def _score_interference(
        self,
        demand: scheduling.TaskDemand,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        limit: float,
    ) -> float:
        estimator = self._estimator
        state = estimator.get_replica_state(worker, replica)
        load = state.load + max(state.trend, 0.0) * LOAD_FORECAST_SECONDS
        load = max(min(load, MAX_FORECAST_LOAD), state.load)
        predicted = estimator.predict_replica_slowdown(worker, replica, load)
        slowdown = estimator.predict_slowdown(
            replica.demand.family, demand, worker, load
        )
        current = predicted.mean + max(state.residual, 0.0)
        deviation = math.hypot(predicted.deviation, slowdown.deviation)
        expected = current + slowdown.mean
        if (
            expected + RISK_DEVIATIONS * deviation > limit
            and slowdown.mean > 0.02
        ):
            return math.inf
        added = math.exp(expected) - math.exp(current)
        # Explore only if the slowdown stays within the limit even when the
        # prediction is two deviations too low.
        if expected + 2.0 * deviation < limit:
            return added - EXPLORATION_DEVIATIONS * slowdown.deviation * added
        return added + RISK_DEVIATIONS * slowdown.deviation

    def _score_service(
        self, demand: scheduling.TaskDemand, worker: scheduling.WorkerView
    ) -> float:
        cost = 0.0
        for placed in worker.tasks.values():
            if placed.demand.kind is not workers.TaskKind.BATCH:
                continue
            cost += self._estimator.predict_slowdown(
                demand.family,
                placed.demand,
                worker,
                _estimator.DEFAULT_LOAD,
            ).mean
        return cost + self._score_utilisation(demand, worker)

    def _score_utilisation(
        self, demand: scheduling.TaskDemand, worker: scheduling.WorkerView
    ) -> float:
        estimate = self._estimator.sizes.estimate_use
        used = estimate(demand).millicores
        for placed in worker.tasks.values():
            used += estimate(placed.demand).millicores
        used_share = used / max(worker.capacity.millicores, 1)
        overload = max(used_share - MAX_PROCESSOR_SHARE, 0.0)
        return OVERLOAD_COST * overload + PACKING_COST * (1.0 - used_share)

    def _score_spread(
        self,
        worker: scheduling.WorkerView,
        counts: collections.Counter[str],
    ) -> float:
        total = counts['']
        if not total:
            return 0.0
        nearby = counts[worker.rack] + counts[worker.data_centre]
        return SPREAD_COST * self._parameters.spread_weight * nearby / total


def _count_family(
    demand: scheduling.TaskDemand,
    candidates: collections.abc.Sequence[scheduling.WorkerView],
) -> collections.Counter[str]:
    """Return the number of the family's tasks by rack and data centre.

    The entry under '' is the total.
    """
    counts: collections.Counter[str] = collections.Counter()
    for worker in candidates:
        for placed in worker.tasks.values():
            if placed.demand.family == demand.family:
                counts[worker.rack] += 1
                counts[worker.data_centre] += 1
                counts[''] += 1
    return counts
