"""Model of the interference of fillers with the tail latency of serving tasks.

Interference differs between pairs of images. The model assumes that the log of
a tail latency grows linearly with the share of the worker that fillers of an
image use; each pair of a serving image and a filler image has a coefficient.
The coefficients are learned by linear regression from changes of the tail
latencies on all workers.
"""

import abc
import collections.abc

import msgspec

# Coefficient of a pair of images without samples. Most coefficients are below
# 1.6 per whole worker, the highest is 18. The value is high so that tasks of a
# new image are placed on a worker one at a time until its interference is
# known.
PRIOR_COEFFICIENT = 3.0
# Weight of the prior in the regression, in squared worker shares: as much as
# two samples in which the use changed by a tenth of a worker.
PRIOR_WEIGHT = 0.02
# Factor applied to the weight of earlier samples with each new sample, so that
# the last few hundred samples dominate: interference changes within seconds.
DECAY_FACTOR = 0.997
# Regularization weight of the intercept: low, so that the samples alone
# determine it.
INTERCEPT_WEIGHT = 0.01
# Number of new samples after which the coefficients are computed again.
SOLVE_INTERVAL_SAMPLES = 8
# Share of the weight of the samples of a pair that counts for its coefficient
# alone: images whose use changes at the same time share the evidence.
EXPORTED_WEIGHT_SHARE = 0.5
# Number of filler images for each serving image that are handed over, those of
# the highest weight: the time to solve grows with its third power.
MAX_EXPORTED_FILLERS = 32


class InterferenceCoefficient(msgspec.Struct, frozen=True, array_like=True):
    """Hold the interference coefficient of a pair of images.

    It is the increase of the log tail latency of the serving image if fillers
    of the other image use a whole worker.
    """

    serving: str
    filler: str
    coefficient: float


class CoefficientState(msgspec.Struct, frozen=True):
    """Hold what is learned of a pair of images."""

    serving: str
    filler: str
    # May be negative, which is noise.
    coefficient: float
    # In squared worker shares.
    weight: float


class InterferenceModel(abc.ABC):
    """Provide the interference coefficients of pairs of images."""

    @abc.abstractmethod
    def find_coefficient(self, serving: str, filler: str) -> float:
        """Return the coefficient of a serving image and a filler image."""


class FixedInterferenceModel(InterferenceModel):
    """Provide given coefficients, and the prior for all other pairs."""

    __slots__ = ('_known',)

    def __init__(
        self, known: collections.abc.Iterable[InterferenceCoefficient] = ()
    ) -> None:
        self._known = {
            (item.serving, item.filler): item.coefficient for item in known
        }

    def find_coefficient(self, serving: str, filler: str) -> float:
        return self._known.get((serving, filler), PRIOR_COEFFICIENT)


class _Regression:
    """Fit the changes of one serving image's log tail by ridge regression.

    Coefficients are shrunk towards the prior; older samples have less weight.
    """

    __slots__ = (
        '_columns',
        '_matrix',
        '_vector',
        '_samples',
        '_coefficients',
        '_restored_weights',
    )

    def __init__(self) -> None:
        # Column by filler image. Column 0 is the intercept: the change of the
        # log tail without a change of the fillers.
        self._columns: dict[str, int] = {}
        self._matrix = [[0.0]]
        self._vector = [0.0]
        self._samples = 0
        self._coefficients: list[float] = [0.0]
        # Part of each diagonal element that an earlier model had learned.
        self._restored_weights = [0.0]

    def add(
        self, changes: collections.abc.Mapping[str, float], log_change: float
    ) -> None:
        """Add a sample.

        `changes` holds the changes of the worker shares used, by filler image.
        """
        for image in changes:
            self._add_column(image)
        row = [0.0] * len(self._vector)
        row[0] = 1.0
        for image, share in changes.items():
            row[self._columns[image]] = share
        for i, left in enumerate(row):
            self._restored_weights[i] *= DECAY_FACTOR
            self._vector[i] = (
                DECAY_FACTOR * self._vector[i] + left * log_change
            )
            line = self._matrix[i]
            for j, right in enumerate(row):
                line[j] = DECAY_FACTOR * line[j] + left * right
        self._samples += 1
        if self._samples % SOLVE_INTERVAL_SAMPLES == 0:
            self._coefficients = self._solve()

    def find_coefficient(self, filler: str) -> float:
        """Return the coefficient of a filler image, at least 0."""
        column = self._columns.get(filler)
        if column is None or column >= len(self._coefficients):
            return PRIOR_COEFFICIENT
        return max(0.0, self._coefficients[column])

    def restore(
        self, states: collections.abc.Iterable[CoefficientState], share: float
    ) -> None:
        """Add coefficients with a share of their weight.

        They count like samples in which only the use of their image changed.
        """
        for state in states:
            self._add_column(state.filler)
            column = self._columns[state.filler]
            weight = share * state.weight
            self._matrix[column][column] += weight
            self._vector[column] += weight * state.coefficient
            self._restored_weights[column] += weight
        self._coefficients = self._solve()

    def export(
        self, serving: str
    ) -> collections.abc.Iterator[CoefficientState]:
        """Yield the coefficients computed last, with their weights."""
        for filler, column in self._columns.items():
            if column >= len(self._coefficients):
                continue
            restored = self._restored_weights[column]
            learned = max(0.0, self._matrix[column][column] - restored)
            # The weight restored was reduced when it was first exported.
            weight = restored + EXPORTED_WEIGHT_SHARE * learned
            yield CoefficientState(
                serving, filler, self._coefficients[column], weight
            )

    def _add_column(self, image: str) -> None:
        if image in self._columns:
            return
        self._columns[image] = len(self._vector)
        self._vector.append(0.0)
        self._restored_weights.append(0.0)
        for line in self._matrix:
            line.append(0.0)
        self._matrix.append([0.0] * len(self._vector))

    def _solve(self) -> list[float]:
        matrix = [list(line) for line in self._matrix]
        vector = list(self._vector)
        for i in range(len(vector)):
            weight = INTERCEPT_WEIGHT if i == 0 else PRIOR_WEIGHT
            matrix[i][i] += weight
            vector[i] += 0.0 if i == 0 else weight * PRIOR_COEFFICIENT
        return solve_linear_system(matrix, vector)


class LearnedInterferenceModel(InterferenceModel):
    """Learn coefficients from samples of all workers."""

    __slots__ = ('samples', '_regressions')

    def __init__(self) -> None:
        # Number of samples learned from.
        self.samples = 0
        self._regressions: dict[str, _Regression] = {}

    def learn(
        self,
        serving: str,
        log_change: float,
        changes: collections.abc.Mapping[str, float],
    ) -> None:
        """Add a sample of the log tail latency of a serving image.

        `changes` holds the changes of the worker shares used, by filler image.
        """
        self.samples += 1
        regression = self._regressions.setdefault(serving, _Regression())
        regression.add(changes, log_change)

    def export(self) -> tuple[CoefficientState, ...]:
        """Return what is learned of each pair of images."""
        return tuple(
            state
            for serving, regression in self._regressions.items()
            for state in select_heaviest(regression.export(serving))
        )

    def restore(
        self, states: collections.abc.Iterable[CoefficientState], share: float
    ) -> None:
        """Add what another model has learned, with a share of its weight."""
        by_serving: dict[str, list[CoefficientState]] = {}
        for state in states:
            by_serving.setdefault(state.serving, []).append(state)
        for serving, items in by_serving.items():
            self._regressions.setdefault(serving, _Regression()).restore(
                select_heaviest(items), share
            )

    def find_coefficient(self, serving: str, filler: str) -> float:
        regression = self._regressions.get(serving)
        return (
            PRIOR_COEFFICIENT
            if regression is None
            else regression.find_coefficient(filler)
        )


def select_heaviest(
    states: collections.abc.Iterable[CoefficientState],
) -> list[CoefficientState]:
    """Return the states of one serving image that are handed over."""
    return sorted(states, key=lambda state: -state.weight)[
        :MAX_EXPORTED_FILLERS
    ]


def solve_linear_system(
    matrix: list[list[float]], vector: list[float]
) -> list[float]:
    """Solve a positive definite system by Gaussian elimination.

    Both arguments are overwritten.
    """
    size = len(vector)
    for i in range(size):
        for j in range(i + 1, size):
            factor = matrix[j][i] / matrix[i][i]
            if factor == 0.0:
                continue
            for k in range(i, size):
                matrix[j][k] -= factor * matrix[i][k]
            vector[j] -= factor * vector[i]
    solved = [0.0] * size
    for i in reversed(range(size)):
        known_sum = sum(matrix[i][k] * solved[k] for k in range(i + 1, size))
        solved[i] = (vector[i] - known_sum) / matrix[i][i]
    return solved
