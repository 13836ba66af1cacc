"""Weights of backend servers for request routing."""

import abc
import math

from chivespoke import scheduling
from chivespoke.scheduling.policies import _estimator

# Lower bound of a weight: a server needs requests for its latency to be
# measured.
MIN_WEIGHT = 0.7
# Log slowdown up to this value is noise and does not reduce the weight.
SLOWDOWN_DEAD_BAND = 0.1


class RoutingPolicy(abc.ABC):
    """Compute the weights of a service's backend servers."""

    @abc.abstractmethod
    def compute_weight(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> float:
        """Return a weight in [0, 1]; 1 means no slowdown."""


class EvenRouting(RoutingPolicy):
    """Give every backend server the same weight."""

    __slots__ = ()

    def compute_weight(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> float:
        return 1.0


class SlowdownAwareRouting(RoutingPolicy):
    """Reduce the weights of slowed backend servers.

    This takes effect sooner than an action of the guard or a placement.
    """

    __slots__ = ('_estimator',)

    def __init__(self, estimator: _estimator.WorkloadEstimator) -> None:
        self._estimator = estimator

    def compute_weight(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> float:
        state = self._estimator.get_replica_state(worker, replica)
        expected = self._estimator.predict_replica_slowdown(
            worker, replica
        ).mean
        slowdown = max(state.slowdown, expected) - SLOWDOWN_DEAD_BAND
        return max(math.exp(-max(slowdown, 0.0)), MIN_WEIGHT)
