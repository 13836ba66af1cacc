"""Models of how batch families slow down services."""

import abc
import math

import msgspec
import numpy

from chivespoke import resources
from chivespoke.scheduling.policies import _moments

# Expected log slowdown, and its standard deviation, if a batch task of an
# unknown family uses a whole worker.
PRIOR_LOG_SLOWDOWN = 1.0
PRIOR_LOG_DEVIATION = 1.0


class Prediction(msgspec.Struct, frozen=True, gc=False):
    """Hold a predicted log slowdown and its standard deviation."""

    mean: float
    deviation: float


class Share(msgspec.Struct, frozen=True, gc=False):
    """Hold resource usage as shares of a worker's capacity."""

    processors: float
    memory: float
    accelerators: float


class InterferenceModel(abc.ABC):
    """Predict how much batch families slow down services."""

    @abc.abstractmethod
    def predict_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        """Predict the log slowdown by a family that uses a share of a worker.

        The load is the request rate of the service replica as a share of the
        service's peak rate.
        """

    @abc.abstractmethod
    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        """Return the latency in ms without batch work, None if unknown."""


class NoInterferenceModel(InterferenceModel):
    """Predict that batch work never slows down a service."""

    __slots__ = ()

    def predict_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        return Prediction(0.0, 0.0)

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        return None


class LearningModel(InterferenceModel):
    """Learn interference from latency measurements."""

    @abc.abstractmethod
    def observe_latency(
        self,
        service: str,
        load: float,
        latency: float,
        shares: dict[str, Share],
        weight: float,
    ) -> float:
        """Learn from one measurement and return its innovation.

        The latency is in milliseconds. The shares are those of the worker that
        each batch family used. The innovation is the prediction error in
        standard deviations of the noise.
        """


class PairwiseRegressionModel(LearningModel):
    """Fit a regression for each service.

    The coefficients of a service and family are shrunk towards the mean of
    the family over all services.
    """

    __slots__ = ('fits', 'families', '_options', '_cache')

    def __init__(
        self, options: _moments.FitOptions = _moments.DEFAULT_OPTIONS
    ) -> None:
        self._options = options
        self.fits: dict[str, _moments.ServiceFit] = {}
        self.families: dict[str, int] = {}
        self._cache: dict[tuple[str, str, Share, int], Prediction] = {}

    def observe_latency(
        self,
        service: str,
        load: float,
        latency: float,
        shares: dict[str, Share],
        weight: float,
    ) -> float:
        for family in shares:
            self.families.setdefault(family, len(self.families))
        features = numpy.zeros(_moments.RESOURCE_KINDS * len(self.families))
        for family, share in shares.items():
            start = _moments.RESOURCE_KINDS * self.families[family]
            features[start] = share.processors
            features[start + 1] = share.memory
            features[start + 2] = share.accelerators
        fit = self.fits.get(service)
        if fit is None:
            fit = self.fits[service] = _moments.ServiceFit(self._options)
        innovation = fit.observe(load, math.log(latency), features, weight)
        if fit.needs_refit:
            self._refit()
        return innovation

    def predict_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        bucket = _moments.find_bucket(load)
        key = (service, family, share, bucket)
        prediction = self._cache.get(key)
        if prediction is None:
            prediction = self._compute_slowdown(service, family, share, load)
            self._cache[key] = prediction
        return prediction

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        fit = self.fits.get(service)
        if fit is None or not fit.is_fitted:
            return None
        return math.exp(fit.get_intercept(load))

    def restore(
        self, families: list[str], fits: dict[str, _moments.ServiceFit]
    ) -> None:
        """Replace the state by the families and fits of a predecessor."""
        self.families = {family: n for n, family in enumerate(families)}
        self.fits = fits
        for fit in fits.values():
            fit.options = self._options
        # Restored fits hold no coefficients, so the first refit has no family
        # means to use. The second refit uses those of the first.
        self._refit()
        self._refit()

    def _compute_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        vector = numpy.array(
            [share.processors, share.memory, share.accelerators]
        )
        index = self.families.get(family)
        fit = self.fits.get(service)
        if fit is None or index is None or not fit.is_fitted:
            size = max(float(vector[0]), float(vector[1]))
            return Prediction(
                PRIOR_LOG_SLOWDOWN * size, PRIOR_LOG_DEVIATION * size
            )
        return Prediction(*fit.predict(index, vector, load))

    def _refit(self) -> None:
        """Refit all services with new means of the families."""
        self._cache.clear()
        dimension = _moments.RESOURCE_KINDS * len(self.families)
        means = _moments.compute_family_means(
            list(self.fits.values()), dimension, self._options
        )
        for fit in self.fits.values():
            fit.refit(means)


def make_share(
    use: resources.Resources, capacity: resources.Resources
) -> Share:
    """Return resource usage as shares of a capacity."""
    return Share(
        use.millicores / max(capacity.millicores, 1),
        use.memory_mib / max(capacity.memory_mib, 1),
        use.accelerators / max(capacity.accelerators, 1),
    )


def add_shares(first: Share, second: Share) -> Share:
    """Return the sum of two shares, for each kind of resource."""
    return Share(
        first.processors + second.processors,
        first.memory + second.memory,
        first.accelerators + second.accelerators,
    )
