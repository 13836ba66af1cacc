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
RESOURCE_KINDS = 3
# Upper bounds of the load buckets, as shares of a service's usual peak.
BUCKET_BOUNDS = (0.4, 0.6, 0.8)
BUCKET_COUNT = len(BUCKET_BOUNDS) + 1
# Evidence halves in this many measurements of a service.
HALF_LIFE_MEASUREMENTS = 20000.0
REFIT_INTERVAL_MEASUREMENTS = 60
# Measurements before a fit is used.
MIN_MEASUREMENTS = 120
# Log milliseconds; innovations beyond this many deviations are clipped.
MAX_INNOVATION_DEVIATIONS = 3.0
INITIAL_NOISE = 0.3
NOISE_SMOOTHING = 0.01
MIN_NOISE = 0.05
# Variance of a family's harm around the mean of all, and of the gains.
FAMILY_VARIANCE = 2.0
GAIN_VARIANCE = 0.5
PRIOR_COEFFICIENT = 0.5
FIT_ITERATIONS = 3


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
        'coefficients',
        'covariance',
        'gains',
        'intercepts',
        'noise',
        'count',
        'fitted_count',
    )

    def __init__(self, options: FitOptions = DEFAULT_OPTIONS) -> None:
        self.options = options
        # For each bucket, the moments of (1, features..., log latency).
        self.moments: Vector = numpy.zeros((BUCKET_COUNT, 2, 2))
        self.coefficients: Vector = numpy.zeros(0)
        self.covariance: Vector = numpy.zeros((0, 0))
        self.gains: Vector = numpy.ones(BUCKET_COUNT)
        self.intercepts: Vector = numpy.zeros(BUCKET_COUNT)
        self.noise = INITIAL_NOISE
        self.count = 0
        self.fitted_count = 0

    @property
    def is_fitted(self) -> bool:
        """Tell whether there is a fit to predict with."""
        return self.fitted_count >= MIN_MEASUREMENTS

    @property
    def needs_refit(self) -> bool:
        """Tell whether enough came in since the last fit."""
        return self.count - self.fitted_count >= REFIT_INTERVAL_MEASUREMENTS

    def observe(
        self, load: float, target: float, features: Vector, weight: float
    ) -> float:
        """Add one measurement, clipped to what the fit can believe."""
        bucket = find_bucket(load)
        innovation = 0.0
        if self.is_fitted:
            expected = self._predict_log_latency(bucket, features)
            innovation = (target - expected) / self.noise
            clipped = min(
                max(innovation, -MAX_INNOVATION_DEVIATIONS),
                MAX_INNOVATION_DEVIATIONS,
            )
            target = expected + clipped * self.noise
            self._adapt_noise(clipped * self.noise)
        self._extend_moments(len(features))
        row = numpy.concatenate(((1.0,), features, (target,)))
        self.moments[bucket] += weight * numpy.outer(row, row)
        self.count += 1
        return innovation

    def refit(self, means: Vector) -> None:
        """Alternate between the harms and each load's gain and latency."""
        self._decay()
        self._extend_moments(len(means))
        gains = self.gains.copy()
        for _ in range(FIT_ITERATIONS):
            self._fit_coefficients(means, gains)
            if self.options.learns_gains:
                gains = self._fit_gains()
        self.gains = gains
        self.fitted_count = self.count

    def predict(
        self, index: int, share: Vector, load: float
    ) -> tuple[float, float]:
        """Return mean and deviation of the log slowdown a share adds."""
        start = RESOURCE_KINDS * index
        if start + RESOURCE_KINDS > len(self.coefficients):
            size = float(share.max())
            return PRIOR_COEFFICIENT * size, size
        gain = float(self.gains[find_bucket(load)])
        entries = slice(start, start + RESOURCE_KINDS)
        mean = gain * float(self.coefficients[entries] @ share)
        variance = float(share @ self.covariance[entries, entries] @ share)
        return mean, gain * max(variance, 0.0) ** 0.5

    def get_intercept(self, load: float) -> float:
        """Return the log latency alone at a load."""
        return float(self.intercepts[find_bucket(load)])

    def _predict_log_latency(self, bucket: int, features: Vector) -> float:
        fitted = min(len(features), len(self.coefficients))
        coefficients = float(features[:fitted] @ self.coefficients[:fitted])
        return float(
            self.intercepts[bucket] + self.gains[bucket] * coefficients
        )

    def _adapt_noise(self, residual: float) -> None:
        variance = self.noise**2
        variance += NOISE_SMOOTHING * (residual**2 - variance)
        self.noise = max(variance**0.5, MIN_NOISE)

    def _decay(self) -> None:
        added = self.count - self.fitted_count
        self.moments *= 0.5 ** (added / HALF_LIFE_MEASUREMENTS)

    def _extend_moments(self, dimension: int) -> None:
        old = self.moments.shape[1] - 2
        if dimension <= old:
            return
        grown = numpy.zeros((BUCKET_COUNT, dimension + 2, dimension + 2))
        # The target's row stays last.
        kept = numpy.r_[0 : old + 1, dimension + 1]
        grown[:, kept[:, None], kept] = self.moments
        self.moments = grown

    def _fit_coefficients(self, means: Vector, gains: Vector) -> None:
        """Solve for harm and latencies alone, the gains held."""
        dimension = len(means)
        size = dimension + BUCKET_COUNT
        information_matrix = numpy.zeros((size, size))
        information_vector = numpy.zeros(size)
        for bucket in range(BUCKET_COUNT):
            self._accumulate_bucket(
                bucket, gains[bucket], information_matrix, information_vector
            )
        information_matrix /= self.noise**2
        information_vector /= self.noise**2
        diagonal = numpy.full(size, 1e-6)
        diagonal[:dimension] = 1.0 / self.options.pair_variance
        information_matrix[numpy.arange(size), numpy.arange(size)] += diagonal
        information_vector[:dimension] += means / self.options.pair_variance
        covariance = numpy.linalg.inv(information_matrix)
        solution = covariance @ information_vector
        # Sharing never speeds a service up: negative harm is noise.
        self.coefficients = numpy.maximum(solution[:dimension], 0.0)
        self.covariance = covariance[:dimension, :dimension]
        self.intercepts = self._fill_intercepts(solution[dimension:])

    def _accumulate_bucket(
        self,
        bucket: int,
        gain: float,
        information_matrix: Vector,
        information_vector: Vector,
    ) -> None:
        moments = self.moments[bucket]
        dimension = moments.shape[0] - 2
        inner = slice(1, dimension + 1)
        column = dimension + bucket
        information_matrix[:dimension, :dimension] += (
            gain**2 * moments[inner, inner]
        )
        information_matrix[:dimension, column] += gain * moments[inner, 0]
        information_matrix[column, :dimension] += gain * moments[inner, 0]
        information_matrix[column, column] += moments[0, 0]
        information_vector[:dimension] += gain * moments[inner, -1]
        information_vector[column] += moments[0, -1]

    def _fill_intercepts(self, intercepts: Vector) -> Vector:
        """Give buckets without evidence their neighbour's latency."""
        counts = self.moments[:, 0, 0]
        fitted = [k for k in range(BUCKET_COUNT) if counts[k] > 0.0]
        filled: Vector = intercepts.copy()
        for bucket in range(BUCKET_COUNT):
            if counts[bucket] <= 0.0 and fitted:
                nearest = min(fitted, key=lambda k: abs(k - bucket))
                filled[bucket] = intercepts[nearest]
        return filled

    def _fit_gains(self) -> Vector:
        """Return each bucket's gain, shrunk towards one."""
        gains = numpy.ones(BUCKET_COUNT)
        for bucket in range(BUCKET_COUNT):
            moments = self.moments[bucket]
            count = moments[0, 0]
            if count <= 0.0:
                continue
            inner = slice(1, moments.shape[0] - 1)
            mean_x = float(moments[inner, 0] @ self.coefficients) / count
            mean_y = float(moments[0, -1]) / count
            square = float(
                self.coefficients @ moments[inner, inner] @ self.coefficients
            )
            cross = float(moments[inner, -1] @ self.coefficients)
            variation = (square - count * mean_x**2) / self.noise**2
            covariation = (cross - count * mean_x * mean_y) / self.noise**2
            prior = 1.0 / GAIN_VARIANCE
            gains[bucket] = (covariation + prior) / (variation + prior)
        return numpy.clip(gains, 0.05, 5.0)


def compute_family_means(
    fits: list[ServiceFit], dimension: int, options: FitOptions
) -> Vector:
    """Return each family's mean harm, shrunk towards the mean of all."""
    overall = numpy.tile(
        numpy.full(RESOURCE_KINDS, PRIOR_COEFFICIENT),
        dimension // RESOURCE_KINDS,
    )
    fitted = [fit for fit in fits if fit.is_fitted and len(fit.coefficients)]
    if not fitted or not options.pools_families:
        return overall
    totals = numpy.zeros(dimension)
    weights = numpy.zeros(dimension)
    for fit in fitted:
        size = len(fit.coefficients)
        precision = 1.0 / (options.pair_variance + numpy.diag(fit.covariance))
        totals[:size] += precision * fit.coefficients
        weights[:size] += precision
    prior = 1.0 / FAMILY_VARIANCE
    for kind in range(RESOURCE_KINDS):
        entries = slice(kind, None, RESOURCE_KINDS)
        total = float(totals[entries].sum()) + PRIOR_COEFFICIENT
        overall[entries] = total / (float(weights[entries].sum()) + 1.0)
    return (totals + prior * overall) / (weights + prior)
