"""Decayed moments of one service's latency, and fits of them.

A measurement in load bucket k is modelled as
``log(latency) = alone[k] + gain[k] * (features @ harm) + noise``: the harm of
each family and kind of resource is shared by all loads, and scaled by a gain
that each load bucket learns. Moments are enough for the fit, so the state
does not grow with time.
"""

import typing

import msgspec
import numpy
from numpy import typing as numpy_typing

Vector: typing.TypeAlias = numpy_typing.NDArray[numpy.floating[typing.Any]]

# Processors, memory and accelerators.
KINDS = 3
# Upper bounds of the load buckets, as shares of a service's usual peak.
BUCKET_BOUNDS = (0.4, 0.6, 0.8)
BUCKETS = len(BUCKET_BOUNDS) + 1
# Evidence halves in this many measurements of a service.
HALF_LIFE = 20000.0
REFIT_EVERY = 60
# Measurements before a fit is used.
LEAST_COUNT = 120
# Log milliseconds; innovations beyond this many deviations are clipped.
CLIP = 3.0
INITIAL_NOISE = 0.3
NOISE_RATE = 0.01
LEAST_NOISE = 0.05
# Variance of a family's harm around the mean of all, and of the gains.
FAMILY_VARIANCE = 2.0
GAIN_VARIANCE = 0.5
PRIOR_HARM = 0.5
ROUNDS = 3


def find_bucket(load: float) -> int:
    """Return the load bucket of a load."""
    bucket = 0
    for bound in BUCKET_BOUNDS:
        bucket += load > bound
    return bucket


class FitOptions(msgspec.Struct, frozen=True):
    """Hold what a fit assumes; variants are compared by the bench."""

    learns_gains: bool = True
    # Variance of a pair's harm around its family's mean.
    pair_variance: float = 1.0
    # Whether pairs are shrunk towards their family's mean over services.
    pools_families: bool = True


DEFAULT_OPTIONS = FitOptions()


class ServiceFit:
    """Keep one service's moments and its current fit."""

    __slots__ = (
        'options',
        'moments',
        'harm',
        'covariance',
        'gains',
        'alone',
        'noise',
        'count',
        'fitted_count',
    )

    def __init__(self, options: FitOptions = DEFAULT_OPTIONS) -> None:
        self.options = options
        # For each bucket, the moments of (1, features..., log latency).
        self.moments: Vector = numpy.zeros((BUCKETS, 2, 2))
        self.harm: Vector = numpy.zeros(0)
        self.covariance: Vector = numpy.zeros((0, 0))
        self.gains: Vector = numpy.ones(BUCKETS)
        self.alone: Vector = numpy.zeros(BUCKETS)
        self.noise = INITIAL_NOISE
        self.count = 0
        self.fitted_count = 0

    @property
    def is_ready(self) -> bool:
        """Tell whether there is a fit to predict with."""
        return self.fitted_count >= LEAST_COUNT

    @property
    def is_due(self) -> bool:
        """Tell whether enough came in since the last fit."""
        return self.count - self.fitted_count >= REFIT_EVERY

    def observe(
        self, load: float, target: float, features: Vector, weight: float
    ) -> float:
        """Add one measurement, clipped to what the fit can believe."""
        bucket = find_bucket(load)
        surprise = 0.0
        if self.is_ready:
            expected = self._expect(bucket, features)
            surprise = (target - expected) / self.noise
            clipped = min(max(surprise, -CLIP), CLIP)
            target = expected + clipped * self.noise
            self._adapt_noise(clipped * self.noise)
        self._grow(len(features))
        row = numpy.concatenate(((1.0,), features, (target,)))
        self.moments[bucket] += weight * numpy.outer(row, row)
        self.count += 1
        return surprise

    def refit(self, means: Vector) -> None:
        """Alternate between the harms and each load's gain and latency."""
        self._decay()
        self._grow(len(means))
        gains = self.gains.copy()
        for _ in range(ROUNDS):
            self._fit_harm(means, gains)
            if self.options.learns_gains:
                gains = self._fit_gains()
        self.gains = gains
        self.fitted_count = self.count

    def predict(
        self, index: int, share: Vector, load: float
    ) -> tuple[float, float]:
        """Return mean and deviation of the log slowdown a share adds."""
        start = KINDS * index
        if start + KINDS > len(self.harm):
            size = float(share.max())
            return PRIOR_HARM * size, size
        gain = float(self.gains[find_bucket(load)])
        part = slice(start, start + KINDS)
        mean = gain * float(self.harm[part] @ share)
        variance = float(share @ self.covariance[part, part] @ share)
        return mean, gain * max(variance, 0.0) ** 0.5

    def get_intercept(self, load: float) -> float:
        """Return the log latency alone at a load."""
        return float(self.alone[find_bucket(load)])

    def _expect(self, bucket: int, features: Vector) -> float:
        known = min(len(features), len(self.harm))
        harm = float(features[:known] @ self.harm[:known])
        return float(self.alone[bucket] + self.gains[bucket] * harm)

    def _adapt_noise(self, residual: float) -> None:
        variance = self.noise**2
        variance += NOISE_RATE * (residual**2 - variance)
        self.noise = max(variance**0.5, LEAST_NOISE)

    def _decay(self) -> None:
        fresh = self.count - self.fitted_count
        self.moments *= 0.5 ** (fresh / HALF_LIFE)

    def _grow(self, dimension: int) -> None:
        old = self.moments.shape[1] - 2
        if dimension <= old:
            return
        grown = numpy.zeros((BUCKETS, dimension + 2, dimension + 2))
        # The target's row stays last.
        kept = numpy.r_[0 : old + 1, dimension + 1]
        grown[:, kept[:, None], kept] = self.moments
        self.moments = grown

    def _fit_harm(self, means: Vector, gains: Vector) -> None:
        """Solve for harm and latencies alone, the gains held."""
        dimension = len(means)
        size = dimension + BUCKETS
        information = numpy.zeros((size, size))
        evidence = numpy.zeros(size)
        for bucket in range(BUCKETS):
            self._add_bucket(bucket, gains[bucket], information, evidence)
        information /= self.noise**2
        evidence /= self.noise**2
        diagonal = numpy.full(size, 1e-6)
        diagonal[:dimension] = 1.0 / self.options.pair_variance
        information[numpy.arange(size), numpy.arange(size)] += diagonal
        evidence[:dimension] += means / self.options.pair_variance
        covariance = numpy.linalg.inv(information)
        solution = covariance @ evidence
        # Sharing never speeds a service up: negative harm is noise.
        self.harm = numpy.maximum(solution[:dimension], 0.0)
        self.covariance = covariance[:dimension, :dimension]
        self.alone = self._fill_alone(solution[dimension:])

    def _add_bucket(
        self,
        bucket: int,
        gain: float,
        information: Vector,
        evidence: Vector,
    ) -> None:
        moments = self.moments[bucket]
        dimension = moments.shape[0] - 2
        inner = slice(1, dimension + 1)
        column = dimension + bucket
        information[:dimension, :dimension] += gain**2 * moments[inner, inner]
        information[:dimension, column] += gain * moments[inner, 0]
        information[column, :dimension] += gain * moments[inner, 0]
        information[column, column] += moments[0, 0]
        evidence[:dimension] += gain * moments[inner, -1]
        evidence[column] += moments[0, -1]

    def _fill_alone(self, alone: Vector) -> Vector:
        """Give buckets without evidence their neighbour's latency."""
        counts = self.moments[:, 0, 0]
        known = [k for k in range(BUCKETS) if counts[k] > 0.0]
        filled: Vector = alone.copy()
        for bucket in range(BUCKETS):
            if counts[bucket] <= 0.0 and known:
                nearest = min(known, key=lambda k: abs(k - bucket))
                filled[bucket] = alone[nearest]
        return filled

    def _fit_gains(self) -> Vector:
        """Return each bucket's gain, shrunk towards one."""
        gains = numpy.ones(BUCKETS)
        for bucket in range(BUCKETS):
            moments = self.moments[bucket]
            count = moments[0, 0]
            if count <= 0.0:
                continue
            inner = slice(1, moments.shape[0] - 1)
            mean_x = float(moments[inner, 0] @ self.harm) / count
            mean_y = float(moments[0, -1]) / count
            square = float(self.harm @ moments[inner, inner] @ self.harm)
            cross = float(moments[inner, -1] @ self.harm)
            spread = (square - count * mean_x**2) / self.noise**2
            joint = (cross - count * mean_x * mean_y) / self.noise**2
            prior = 1.0 / GAIN_VARIANCE
            gains[bucket] = (joint + prior) / (spread + prior)
        return numpy.clip(gains, 0.05, 5.0)


def pool_means(
    fits: list[ServiceFit], dimension: int, options: FitOptions
) -> Vector:
    """Return each family's mean harm, shrunk towards the mean of all."""
    overall = numpy.tile(numpy.full(KINDS, PRIOR_HARM), dimension // KINDS)
    known = [fit for fit in fits if fit.is_ready and len(fit.harm)]
    if not known or not options.pools_families:
        return overall
    totals = numpy.zeros(dimension)
    weights = numpy.zeros(dimension)
    for fit in known:
        size = len(fit.harm)
        precision = 1.0 / (options.pair_variance + numpy.diag(fit.covariance))
        totals[:size] += precision * fit.harm
        weights[:size] += precision
    prior = 1.0 / FAMILY_VARIANCE
    for kind in range(KINDS):
        part = slice(kind, None, KINDS)
        total = float(totals[part].sum()) + PRIOR_HARM
        overall[part] = total / (float(weights[part].sum()) + 1.0)
    return (totals + prior * overall) / (weights + prior)
