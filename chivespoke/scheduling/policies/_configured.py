"""Policies that use the current weights and limits of the configuration."""

import collections.abc

from chivespoke import clock as clocks
from chivespoke import operators
from chivespoke import scheduling
from chivespoke.scheduling.policies import _estimator
from chivespoke.scheduling.policies import _guard
from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _placement
from chivespoke.scheduling.policies import _sizes


class ConfiguredPlacement(scheduling.PlacementPolicy):
    """Rebuild the placement policy when the configured weights change."""

    __slots__ = (
        '_source',
        '_estimator',
        '_clock',
        '_weights',
        '_placement_policy',
    )

    def __init__(
        self,
        source: scheduling.ConfigurationSource,
        estimator: _estimator.WorkloadEstimator,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._estimator = estimator
        self._clock = clock
        self._weights = source.document.weights
        self._placement_policy = _placement.CostBasedPlacement(
            estimator, self._weights, clock
        )

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        weights = self._source.document.weights
        if weights != self._weights:
            self._weights = weights
            self._placement_policy = _placement.CostBasedPlacement(
                self._estimator, weights, self._clock
            )
        return self._placement_policy.choose_worker(demand, candidates)


class ConfiguredGuard(scheduling.GuardPolicy):
    """Rebuild the guard when the configured weights or limits change."""

    __slots__ = ('_source', '_estimator', '_settings', '_guard')

    def __init__(
        self,
        source: scheduling.ConfigurationSource,
        estimator: _estimator.WorkloadEstimator,
    ) -> None:
        self._source = source
        self._estimator = estimator
        document = source.document
        self._settings = (document.weights, document.limits)
        self._guard = _guard.EscalatingGuard(estimator, *self._settings)

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        document = self._source.document
        settings: tuple[operators.Weights, operators.Limits] = (
            document.weights,
            document.limits,
        )
        if settings != self._settings:
            self._settings = settings
            self._guard = _guard.EscalatingGuard(self._estimator, *settings)
        return self._guard.decide_actions(now, worker)


def make_owner_policies(
    source: scheduling.ConfigurationSource, clock: clocks.Clock
) -> scheduling.OwnerPolicies:
    """Return the learning policies of an entry, which share an estimator."""
    estimator = _estimator.WorkloadEstimator(
        _interference.PairwiseRegressionModel(), _sizes.LearnedSizes()
    )
    return scheduling.OwnerPolicies(
        placement=ConfiguredPlacement(source, estimator, clock),
        guard=ConfiguredGuard(source, estimator),
        observer=estimator,
    )
