"""Weights by which request routing spares disturbed workers."""

import abc
import math

from chivespoke import scheduling
from chivespoke.scheduling.policies import _estimator

# A server never loses more than this share, so that it keeps being measured.
MIN_WEIGHT = 0.7
# Log slowdown that is noise and costs no weight.
SLOWDOWN_DEAD_BAND = 0.1


class RoutingPolicy(abc.ABC):
    """Weigh the backend servers of a service for request routing."""

    @abc.abstractmethod
    def compute_weight(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> float:
        """Return a weight in [0, 1]; 1 is an undisturbed server's."""


class EvenRouting(RoutingPolicy):
    """Give every backend server the same weight."""

    __slots__ = ()

    def compute_weight(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> float:
        return 1.0


class SlowdownAwareRouting(RoutingPolicy):
    """Give disturbed backend servers less, before placement can act."""

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
