"""The plain learner: a running average for each pair and load bucket."""

import math

from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _moments

RATE = 0.02
# The quietest measurements stand for a service alone: this quantile, by
# stochastic approximation.
QUIET_QUANTILE = 0.05
QUIET_STEP = 0.02


class PairAverages(_interference.LearningModel):
    """Average the slowdown per share of all that was there, by pair."""

    __slots__ = ('_alone', '_slopes')

    def __init__(self) -> None:
        self._alone: dict[tuple[str, int], float] = {}
        self._slopes: dict[tuple[str, str, int], float] = {}

    def observe_latency(
        self,
        service: str,
        load: float,
        latency: float,
        shares: dict[str, _interference.Share],
        weight: float,
    ) -> float:
        bucket = _moments.find_bucket(load)
        target = math.log(latency)
        alone = self._alone.get((service, bucket), target)
        below = target < alone
        step = QUIET_STEP * ((below and 1.0) - QUIET_QUANTILE)
        self._alone[service, bucket] = alone - step
        total = sum(share.processors for share in shares.values())
        if total <= 0.0:
            return 0.0
        slope = max(target - alone, 0.0) / total
        for family in shares:
            key = (service, family, bucket)
            known = self._slopes.get(key, slope)
            self._slopes[key] = known + RATE * weight * (slope - known)
        return 0.0

    def predict_harm(
        self,
        service: str,
        family: str,
        share: _interference.Share,
        load: float,
    ) -> _interference.Prediction:
        key = (service, family, _moments.find_bucket(load))
        slope = self._slopes.get(key, _interference.PRIOR_HARM)
        return _interference.Prediction(slope * share.processors, 0.0)

    def estimate_alone(self, service: str, load: float) -> float | None:
        alone = self._alone.get((service, _moments.find_bucket(load)))
        return None if alone is None else math.exp(alone)
