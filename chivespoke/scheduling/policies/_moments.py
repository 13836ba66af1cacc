"""Bayesian regression of a service's latency on the batch work beside it.

A measurement in load bucket k is modelled as
``log(latency) = intercepts[k] + gains[k] * (features @ coefficients) +
noise``. The features are the shares of a worker that each batch family uses
of each kind of resource. The coefficients are common to all load buckets; the
gain of a bucket scales them. The fit needs only the exponentially decayed
second moments of the measurements, so the state does not grow with their
number.
"""

import typing

import msgspec
import numpy
from numpy import typing as numpy_typing

Vector: typing.TypeAlias = numpy_typing.NDArray[numpy.floating[typing.Any]]

# Number of features of a family: processors, memory, accelerators.
RESOURCE_KINDS = 3
# Upper bounds of the load buckets, as shares of a service's peak rate. The
# last bucket has no upper bound.
BUCKET_BOUNDS = (0.4, 0.6, 0.8)
BUCKET_COUNT = len(BUCKET_BOUNDS) + 1
# The weight of a measurement halves after this many later measurements of
# the service.
HALF_LIFE_MEASUREMENTS = 20000.0
REFIT_INTERVAL_MEASUREMENTS = 60
# Number of measurements of a service before its fit is used.
MIN_MEASUREMENTS = 120
# A measurement that differs from its prediction by more than this many
# standard deviations of the noise is clipped.
MAX_INNOVATION_DEVIATIONS = 3.0
# Standard deviation of the noise of the log latency before the first fit.
INITIAL_NOISE = 0.3
# Weight of the newest squared residual in the moving average of the noise
# variance.
NOISE_SMOOTHING = 0.01
MIN_NOISE = 0.05
# Prior variance of a family's mean coefficient around the mean of all
# families.
FAMILY_VARIANCE = 2.0
# Prior variance of a gain around 1.
GAIN_VARIANCE = 0.5
# Prior of a coefficient: the log slowdown if a family uses a worker's whole
# amount of one kind of resource.
PRIOR_COEFFICIENT = 0.5
# Number of alternations between coefficients and gains in one fit.
FIT_ITERATIONS = 3


def find_bucket(load: float) -> int:
    """Return the index of the load bucket that holds a load."""
    bucket = 0
    for bound in BUCKET_BOUNDS:
        bucket += load > bound
    return bucket


class FitOptions(msgspec.Struct, frozen=True):
    """Hold the assumptions of a fit; the bench compares variants."""

    # Whether each load bucket has its own gain; otherwise all gains are 1.
    learns_gains: bool = True
    # Prior variance of a service's coefficient around the family's mean.
    pair_variance: float = 1.0
    # Whether coefficients are shrunk towards their family's mean over the
    # services; otherwise towards PRIOR_COEFFICIENT.
    pools_families: bool = True


DEFAULT_OPTIONS = FitOptions()


class ServiceFit:
    """Hold the moments and the current fit of one service."""

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
        # Weighted sums of outer products of (1, features..., log latency).
        # Shape: buckets, features + 2, features + 2.
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
        """Return whether the fit has enough measurements to predict."""
        return self.fitted_count >= MIN_MEASUREMENTS

    @property
    def needs_refit(self) -> bool:
        """Return whether enough measurements arrived since the last fit."""
        return self.count - self.fitted_count >= REFIT_INTERVAL_MEASUREMENTS

    def observe(
        self, load: float, target: float, features: Vector, weight: float
    ) -> float:
        """Add a measurement and return its innovation.

        The target is the log latency; an outlier is clipped. The innovation
        is the prediction error in standard deviations of the noise, before
        clipping; it is 0 until there is a fit.
        """
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
        """Fit the gains in alternation with coefficients and intercepts.

        The means are the coefficients towards which this fit is shrunk, one
        for each family and kind of resource.
        """
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
        """Return mean and standard deviation of the log slowdown by a family.

        The index is that of the family. The share is the share of a worker
        that the family uses, by kind of resource.
        """
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
        """Return the log latency without batch work, at a load."""
        return float(self.intercepts[find_bucket(load)])

    def _predict_log_latency(self, bucket: int, features: Vector) -> float:
        fitted = min(len(features), len(self.coefficients))
        slowdown = float(features[:fitted] @ self.coefficients[:fitted])
        return float(self.intercepts[bucket] + self.gains[bucket] * slowdown)

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
        # The row and column of the target stay last.
        retained = numpy.r_[0 : old + 1, dimension + 1]
        grown[:, retained[:, None], retained] = self.moments
        self.moments = grown

    def _fit_coefficients(self, means: Vector, gains: Vector) -> None:
        """Solve for coefficients and intercepts with fixed gains."""
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
        # Batch work never speeds a service up, so a negative coefficient is
        # noise.
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
        """Copy the nearest intercept into buckets without measurements."""
        counts = self.moments[:, 0, 0]
        fitted = [k for k in range(BUCKET_COUNT) if counts[k] > 0.0]
        filled: Vector = intercepts.copy()
        for bucket in range(BUCKET_COUNT):
            if counts[bucket] <= 0.0 and fitted:
                nearest = min(fitted, key=lambda k: abs(k - bucket))
                filled[bucket] = intercepts[nearest]
        return filled

    def _fit_gains(self) -> Vector:
        """Return the gain of each bucket, shrunk towards 1."""
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
    """Return the mean coefficients of each family over the services.

    They are shrunk towards the mean of all families. Shape: dimension, which
    is the number of families times RESOURCE_KINDS.
    """
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
