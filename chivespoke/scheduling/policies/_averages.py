"""Interference model based on moving averages, for the bench."""

import math

from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _moments

# Weight of the newest measurement in a moving average.
SLOPE_SMOOTHING = 0.02
# The latency without batch work is estimated as this quantile of the measured
# latencies, by stochastic approximation with a fixed step of the log latency.
BASELINE_QUANTILE = 0.05
BASELINE_STEP = 0.02


class PairwiseAverageModel(_interference.LearningModel):
    """Average the log slowdown per processor share that batch work uses.

    There is one average for each service, family and load bucket.
    """

    __slots__ = ('_baselines', '_slopes')

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, int], float] = {}
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
        baseline = self._baselines.get((service, bucket), target)
        is_below = target < baseline
        step = BASELINE_STEP * ((is_below and 1.0) - BASELINE_QUANTILE)
        self._baselines[service, bucket] = baseline - step
        total = sum(share.processors for share in shares.values())
        if total <= 0.0:
            return 0.0
        slope = max(target - baseline, 0.0) / total
        for family in shares:
            key = (service, family, bucket)
            previous = self._slopes.get(key, slope)
            self._slopes[key] = previous + SLOPE_SMOOTHING * weight * (
                slope - previous
            )
        return 0.0

    def predict_slowdown(
        self,
        service: str,
        family: str,
        share: _interference.Share,
        load: float,
    ) -> _interference.Prediction:
        key = (service, family, _moments.find_bucket(load))
        slope = self._slopes.get(key, _interference.PRIOR_LOG_SLOWDOWN)
        return _interference.Prediction(slope * share.processors, 0.0)

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        baseline = self._baselines.get((service, _moments.find_bucket(load)))
        return None if baseline is None else math.exp(baseline)
