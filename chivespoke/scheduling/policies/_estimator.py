"""Estimates of load, slowdown, interference and sizes from usage reports."""

import collections
import math
import typing

import msgspec

from chivespoke import identifiers
from chivespoke import scheduling
from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _reports
from chivespoke.scheduling.policies import _sizes
from chivespoke import workers

ReplicaKey: typing.TypeAlias = tuple[
    identifiers.WorkerId, identifiers.TaskId, identifiers.Attempt
]

# Weight of the newest measurement in the moving averages of a replica.
SMOOTHING = 0.35
# Weight of the newest slope in the trend of a replica's load.
TREND_SMOOTHING = 0.05
# Factor by which a worker's peak request rate of a service decays with each
# report.
PEAK_DECAY_PER_REPORT = 0.9997
# Usage of a throttled task as a share of its usage without a throttle.
THROTTLED_USE_SHARE = 0.3
# Weight of the newest innovation in a worker's mean squared innovation.
INNOVATION_SMOOTHING = 0.03
# If the mean squared innovation of a worker reaches this value, the model does
# not explain its reports, and its measurements get less weight.
MAX_TRUSTED_SQUARED_INNOVATION = 2.0
# Load of a replica that has not reported yet, as a share of the peak rate.
DEFAULT_LOAD = 0.6


class ReplicaState(msgspec.Struct):
    """Hold the load and slowdown of one replica of a service."""

    # Moving average, as a share of the service's peak rate.
    load: float = DEFAULT_LOAD
    # Moving average of the change of the load per second.
    trend: float = 0.0
    # Moving averages of the log slowdown, and of its excess over the model's
    # prediction.
    slowdown: float = 0.0
    residual: float = 0.0
    # Start of the newest measured interval, by the worker's clock.
    measured_from: float = -math.inf
    # Log slowdown in the newest interval, without smoothing.
    last_slowdown: float = 0.0


class WorkloadEstimator(scheduling.ReportObserver):
    """Learn from usage reports and predict slowdowns for the policies."""

    __slots__ = (
        'matcher',
        'model',
        'sizes',
        'replicas',
        '_uses_current_tasks',
        'peak_rates',
        '_mean_squared_innovations',
    )

    def __init__(
        self,
        model: _interference.InterferenceModel,
        sizes: _sizes.SizePolicy,
        uses_current_tasks: bool = False,
    ) -> None:
        self.matcher = _reports.ReportMatcher()
        self.model = model
        # Variant for the bench: attribute a measurement to the tasks that run
        # on the worker when the report arrives.
        self._uses_current_tasks = uses_current_tasks
        self.sizes = sizes
        self.replicas: dict[ReplicaKey, ReplicaState] = {}
        self.peak_rates: dict[str, dict[identifiers.WorkerId, float]] = {}
        self._mean_squared_innovations: collections.defaultdict[
            identifiers.WorkerId, float
        ] = collections.defaultdict(lambda: 1.0)

    def observe_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> None:
        matched = self.matcher.match_report(now, report, worker)
        if matched is None:
            return
        if (
            isinstance(self.sizes, _sizes.LearnedSizes)
            and matched.is_colocation_stable
        ):
            for each in matched.observations:
                _sizes.observe_task_usage(
                    self.sizes,
                    worker,
                    each.usage.task_id,
                    each.demand,
                    each.usage.use,
                )
        if self._uses_current_tasks:
            matched = _replace_with_current_tasks(matched, worker)
        self._observe_services(matched)

    def predict_replica_slowdown(
        self,
        worker: scheduling.WorkerView,
        replica: scheduling.PlacedTask,
        load: float | None = None,
    ) -> _interference.Prediction:
        """Predict the log slowdown of a replica by its worker's batch tasks.

        The load defaults to the estimate for the replica.
        """
        service = replica.demand.family
        if load is None:
            load = self.get_replica_state(worker, replica).load
        mean = variance = 0.0
        for placed in worker.tasks.values():
            demand = placed.demand
            if demand.kind is not workers.TaskKind.BATCH:
                continue
            scale = THROTTLED_USE_SHARE if placed.throttled else 1.0
            added = self.predict_slowdown(service, demand, worker, load)
            mean += scale * added.mean
            variance += (scale * added.deviation) ** 2
        return _interference.Prediction(mean, variance**0.5)

    def predict_slowdown(
        self,
        service: str,
        demand: scheduling.TaskDemand,
        worker: scheduling.WorkerView,
        load: float,
    ) -> _interference.Prediction:
        """Predict the log slowdown that one batch task adds to a service."""
        use = self.sizes.estimate_use(demand)
        share = _interference.make_share(use, worker.capacity)
        return self.model.predict_slowdown(service, demand.family, share, load)

    def get_replica_state(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> ReplicaState:
        """Return the state of a replica; a new one if it has not reported."""
        key = (worker.worker_id, replica.demand.task_id, replica.attempt)
        state = self.replicas.get(key)
        if state is None:
            state = self.replicas[key] = ReplicaState()
        return state

    def _observe_services(self, matched: _reports.MatchedReport) -> None:
        shares: dict[str, _interference.Share] = {}
        for each in matched.observations:
            if each.demand.kind is not workers.TaskKind.BATCH:
                continue
            share = _interference.make_share(each.usage.use, matched.capacity)
            previous = shares.get(each.demand.family)
            if previous is not None:
                share = _interference.add_shares(previous, share)
            shares[each.demand.family] = share
        for each in matched.observations:
            if each.demand.kind is workers.TaskKind.LATENCY_CRITICAL:
                self._observe_replica(matched, each, shares)

    def _observe_replica(
        self,
        matched: _reports.MatchedReport,
        observation: _reports.Observation,
        shares: dict[str, _interference.Share],
    ) -> None:
        service = observation.demand.family
        rate = observation.usage.request_rate or 0.0
        latency = observation.usage.latency_p99 or 1.0
        load = self._compute_load(service, matched.worker_id, rate)
        if matched.is_colocation_stable:
            self._update_model(matched, service, load, latency, shares)
        key = (
            matched.worker_id,
            observation.usage.task_id,
            observation.usage.attempt,
        )
        state = self.replicas.setdefault(key, ReplicaState())
        self._update_load(state, load, matched.measured_from)
        baseline = self.model.estimate_baseline_latency(service, load)
        if baseline is None:
            return
        expected = sum(
            self.model.predict_slowdown(service, family, share, load).mean
            for family, share in shares.items()
        )
        state.last_slowdown = math.log(latency / baseline)
        state.slowdown += SMOOTHING * (state.last_slowdown - state.slowdown)
        excess = state.last_slowdown - expected
        state.residual += SMOOTHING * (excess - state.residual)

    def _update_load(
        self, state: ReplicaState, load: float, measured_from: float
    ) -> None:
        elapsed = measured_from - state.measured_from
        state.measured_from = measured_from
        if not math.isfinite(elapsed):
            state.load = load
            return
        expected = state.load + state.trend * elapsed
        level = expected + SMOOTHING * (load - expected)
        slope = (level - state.load) / elapsed
        state.trend += TREND_SMOOTHING * (slope - state.trend)
        state.load = level

    def _update_model(
        self,
        matched: _reports.MatchedReport,
        service: str,
        load: float,
        latency: float,
        shares: dict[str, _interference.Share],
    ) -> None:
        if not isinstance(self.model, _interference.LearningModel):
            return
        mean_square = self._mean_squared_innovations[matched.worker_id]
        weight = (
            1.0
            if mean_square < MAX_TRUSTED_SQUARED_INNOVATION
            else (1.0 / mean_square) ** 2
        )
        innovation = self.model.observe_latency(
            service, load, latency, shares, weight
        )
        squared = min(innovation * innovation, 100.0)
        self._mean_squared_innovations[matched.worker_id] = (
            mean_square + INNOVATION_SMOOTHING * (squared - mean_square)
        )

    def _compute_load(
        self, service: str, worker_id: identifiers.WorkerId, rate: float
    ) -> float:
        """Return a rate as a share of the workers' median peak rate."""
        peak_rates = self.peak_rates.setdefault(service, {})
        peak_rates[worker_id] = max(
            rate, PEAK_DECAY_PER_REPORT * peak_rates.get(worker_id, 0.0)
        )
        ordered = sorted(peak_rates.values())
        peak = ordered[len(ordered) // 2]
        return rate / peak if peak > 0.0 else 0.0


def _replace_with_current_tasks(
    matched: _reports.MatchedReport, worker: scheduling.WorkerView
) -> _reports.MatchedReport:
    """Replace the measured batch tasks by those now placed on the worker."""
    replicas = [
        each
        for each in matched.observations
        if each.demand.kind is workers.TaskKind.LATENCY_CRITICAL
    ]
    current = [
        _reports.Observation(
            usage=workers.TaskUsage(
                task_id=placed.demand.task_id,
                attempt=placed.attempt,
                use=placed.demand.size,
            ),
            demand=placed.demand,
        )
        for placed in worker.tasks.values()
        if placed.demand.kind is workers.TaskKind.BATCH
    ]
    return msgspec.structs.replace(
        matched, observations=(*replicas, *current), is_colocation_stable=True
    )
