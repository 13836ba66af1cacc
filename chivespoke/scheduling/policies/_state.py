"""Compact encoding of the learned state for a successor process."""

import msgspec
import numpy

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.scheduling.policies import _estimator
from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _moments
from chivespoke.scheduling.policies import _sizes

STEP = 'decode learned state'
PEER = 'predecessor'
# A sketch is encoded as these quantiles; on restoring, each gets an equal
# share of the count.
QUANTILES = (0.05, 0.25, 0.5, 0.75, 0.95)
# Maximum count of a restored sketch, so that new measurements soon outweigh
# the restored ones.
MAX_RESTORED_COUNT = 500
MOMENT_TYPE = numpy.dtype('<f4')


class _FitState(msgspec.Struct, frozen=True, array_like=True):
    dimension: int
    noise: float
    count: int
    gains: list[float]
    # Upper triangles of the moments of all load buckets, concatenated, as
    # little-endian 32-bit floats.
    moments: bytes


class _SketchState(msgspec.Struct, frozen=True, array_like=True):
    count: int
    millicores: list[int]
    memory_mib: list[int]


class _State(msgspec.Struct, frozen=True, array_like=True):
    families: list[str]
    fits: dict[str, _FitState]
    sketches: dict[str, dict[str, _SketchState]]
    peak_rates: dict[str, dict[str, float]]


def encode_state(estimator: _estimator.WorkloadEstimator) -> bytes:
    """Encode the learned state, without the replicas' current state."""
    families: list[str] = []
    fits: dict[str, _FitState] = {}
    sketches: dict[str, dict[str, _SketchState]] = {}
    if isinstance(estimator.model, _interference.PairwiseRegressionModel):
        families = list(estimator.model.families)
        for service, fit in estimator.model.fits.items():
            fits[service] = _encode_fit(fit)
    if isinstance(estimator.sizes, _sizes.LearnedSizes):
        for family, by_worker in estimator.sizes.families.items():
            sketches[family] = {
                worker_id: _encode_sketches(each)
                for worker_id, each in by_worker.items()
            }
    peak_rates: dict[str, dict[str, float]] = {
        service: {w: peak for w, peak in by_worker.items()}
        for service, by_worker in estimator.peak_rates.items()
    }
    state = _State(families, fits, sketches, peak_rates)
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes, estimator: _estimator.WorkloadEstimator) -> None:
    """Restore learned state into a new estimator.

    Raise RefusedError if the data is damaged.
    """
    try:
        state = msgspec.msgpack.decode(data, type=_State)
        fits = {name: _decode_fit(fit) for name, fit in state.fits.items()}
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.RefusedError(STEP, PEER, str(error)) from error
    if isinstance(estimator.model, _interference.PairwiseRegressionModel):
        estimator.model.restore(state.families, fits)
    if isinstance(estimator.sizes, _sizes.LearnedSizes):
        for family, by_worker in state.sketches.items():
            for worker_id, sketches in by_worker.items():
                _restore_sketches(estimator.sizes, family, worker_id, sketches)
    for service, peak_rates in state.peak_rates.items():
        estimator.peak_rates[service] = {
            identifiers.WorkerId(w): peak for w, peak in peak_rates.items()
        }


def _encode_fit(fit: _moments.ServiceFit) -> _FitState:
    size = fit.moments.shape[1]
    rows, columns = numpy.triu_indices(size)
    return _FitState(
        size - 2,
        fit.noise,
        fit.count,
        [float(gain) for gain in fit.gains],
        fit.moments[:, rows, columns].astype(MOMENT_TYPE).tobytes(),
    )


def _decode_fit(state: _FitState) -> _moments.ServiceFit:
    size = state.dimension + 2
    rows, columns = numpy.triu_indices(size)
    triangles = numpy.frombuffer(state.moments, MOMENT_TYPE).astype(
        numpy.float64
    )
    if not numpy.isfinite(triangles).all() or not state.noise > 0.0:
        raise ValueError(
            'moments are not finite, or the noise is not positive'
        )
    moments = numpy.zeros((_moments.BUCKET_COUNT, size, size))
    moments[:, rows, columns] = triangles.reshape(_moments.BUCKET_COUNT, -1)
    moments[:, columns, rows] = moments[:, rows, columns]
    if len(state.gains) != _moments.BUCKET_COUNT:
        raise ValueError(
            'the number of gains is not the number of load buckets'
        )
    fit = _moments.ServiceFit()
    fit.moments = moments
    fit.gains = numpy.array(state.gains)
    fit.noise = state.noise
    fit.count = state.count
    return fit


def _encode_sketches(sketches: _sizes.UsageSketches) -> _SketchState:
    return _SketchState(
        sketches.count,
        [
            round(_sizes.read_quantile(sketches.millicores, q))
            for q in QUANTILES
        ],
        [
            round(_sizes.read_quantile(sketches.memory_mib, q))
            for q in QUANTILES
        ],
    )


def _restore_sketches(
    sizes: _sizes.LearnedSizes,
    family: str,
    worker_id: str,
    state: _SketchState,
) -> None:
    weight = min(state.count, MAX_RESTORED_COUNT) / len(QUANTILES)
    sketches = _sizes.UsageSketches()
    sketches.count = min(state.count, MAX_RESTORED_COUNT)
    for value in state.millicores:
        sketches.millicores.add(float(value), weight)
    for value in state.memory_mib:
        sketches.memory_mib.add(float(value), weight)
    sizes.restore(family, identifiers.WorkerId(worker_id), sketches)
