"""The interference model: how batch families slow services, by load."""

import abc
import math

import msgspec
import numpy

from chivespoke import resources
from chivespoke.scheduling.policies import _regression

# Log slowdown that one whole worker of an unknown family is expected to add.
PRIOR_LOG_SLOWDOWN = 1.0
PRIOR_LOG_DEVIATION = 1.0


class Prediction(msgspec.Struct, frozen=True, gc=False):
    """Hold a log slowdown and its standard deviation."""

    mean: float
    deviation: float


class Share(msgspec.Struct, frozen=True, gc=False):
    """Hold a use as shares of a worker's capacity."""

    processors: float
    memory: float
    accelerators: float


class InterferenceModel(abc.ABC):
    """Predict what batch families do to services."""

    @abc.abstractmethod
    def predict_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        """Return the log slowdown that a batch task's share adds.

        The load is the service replica's, as a share of its usual peak.
        """

    @abc.abstractmethod
    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        """Return the service's latency alone in milliseconds, if known."""


class NoInterferenceModel(InterferenceModel):
    """Expect no harm from anything."""

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
    """Learn from matched measurements."""

    @abc.abstractmethod
    def observe_latency(
        self,
        service: str,
        load: float,
        latency: float,
        shares: dict[str, Share],
        weight: float,
    ) -> float:
        """Take in one matched measurement; return its surprise.

        The surprise is the innovation in standard deviations of the noise.
        """


class PairwiseRegressionModel(LearningModel):
    """Learn harm per pair and load, shrunk towards the family's mean."""

    __slots__ = ('fits', 'families', '_options', '_cache')

    def __init__(
        self, options: _regression.FitOptions = _regression.DEFAULT_OPTIONS
    ) -> None:
        self._options = options
        self.fits: dict[str, _regression.ServiceFit] = {}
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
        features = numpy.zeros(_regression.RESOURCE_KINDS * len(self.families))
        for family, share in shares.items():
            start = _regression.RESOURCE_KINDS * self.families[family]
            features[start] = share.processors
            features[start + 1] = share.memory
            features[start + 2] = share.accelerators
        fit = self.fits.get(service)
        if fit is None:
            fit = self.fits[service] = _regression.ServiceFit(self._options)
        innovation = fit.observe(load, math.log(latency), features, weight)
        if fit.needs_refit:
            self._refit()
        return innovation

    def predict_slowdown(
        self, service: str, family: str, share: Share, load: float
    ) -> Prediction:
        bucket = _regression.find_bucket(load)
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
        self, families: list[str], fits: dict[str, _regression.ServiceFit]
    ) -> None:
        """Take over what a predecessor learnt."""
        self.families = {family: n for n, family in enumerate(families)}
        self.fits = fits
        for fit in fits.values():
            fit.options = self._options
        # The second fit pulls towards means over the services of the first.
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
        """Fit every service anew, towards the means over the services."""
        self._cache.clear()
        dimension = _regression.RESOURCE_KINDS * len(self.families)
        means = _regression.compute_family_means(
            list(self.fits.values()), dimension, self._options
        )
        for fit in self.fits.values():
            fit.refit(means)


def make_share(
    use: resources.Resources, capacity: resources.Resources
) -> Share:
    """Return a use as shares of a capacity."""
    return Share(
        use.millicores / max(capacity.millicores, 1),
        use.memory_mib / max(capacity.memory_mib, 1),
        use.accelerators / max(capacity.accelerators, 1),
    )


def add_shares(first: Share, second: Share) -> Share:
    """Return the sum of two shares."""
    return Share(
        first.processors + second.processors,
        first.memory + second.memory,
        first.accelerators + second.accelerators,
    )
