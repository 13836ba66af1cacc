"""What fillers of one image do to the tail latency of another.

Answers fillers that press on some serving tasks and not on others: the log of
a tail is taken to grow by a coefficient for each share of the worker that
fillers of an image use beside it, and the coefficients are learnt from how
tails change on all workers.
"""

import abc
import collections.abc

import msgspec

# Taken for a pair of images of which nothing is known yet: in trials most
# pairs lay under 1.6 a whole worker, and the worst at 18. Rather too high, so
# that a new image comes to a worker one task at a time until it is known.
PRIOR = 3.0
# Weight of the prior, in changes by a whole worker, squared: two changes by a
# tenth of a worker weigh as much.
PRIOR_WEIGHT = 0.02
# Weight by which a known sample shrinks with each new one, so that the last
# few hundred decide: pressure changes within seconds.
FORGETTING = 0.997
# The constant part is hardly held back.
BASE_WEIGHT = 0.01
# Coefficients are worked out anew after so many samples.
REFRESH_SAMPLES = 8


class InterferenceCoefficient(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a worker full of one image adds to the log tail of another."""

    serving: str
    filler: str
    coefficient: float


class InterferenceModel(abc.ABC):
    """Tell coefficients."""

    @abc.abstractmethod
    def find_coefficient(self, serving: str, filler: str) -> float:
        """Return what a worker full of a filler adds to a log tail."""


class FixedInterferenceModel(InterferenceModel):
    """Tell the coefficients of a list, and the prior for all others."""

    __slots__ = ('_known',)

    def __init__(
        self, known: collections.abc.Iterable[InterferenceCoefficient] = ()
    ) -> None:
        self._known = {
            (pressure.serving, pressure.filler): pressure.coefficient
            for pressure in known
        }

    def find_coefficient(self, serving: str, filler: str) -> float:
        return self._known.get((serving, filler), PRIOR)


class _Regression:
    """Fit the changes of one serving image's log tail, with a prior."""

    __slots__ = ('_images', '_matrix', '_vector', '_samples', '_solved')

    def __init__(self) -> None:
        # Column 0 is the constant part: a drift that all changes share.
        self._images: dict[str, int] = {}
        self._matrix = [[0.0]]
        self._vector = [0.0]
        self._samples = 0
        self._solved: list[float] = [0.0]

    def add(
        self, changes: collections.abc.Mapping[str, float], log_change: float
    ) -> None:
        """Take in one sample."""
        for image in changes:
            self._add_image(image)
        row = [0.0] * len(self._vector)
        row[0] = 1.0
        for image, share in changes.items():
            row[self._images[image]] = share
        for i, left in enumerate(row):
            self._vector[i] = FORGETTING * self._vector[i] + left * log_change
            line = self._matrix[i]
            for j, right in enumerate(row):
                line[j] = FORGETTING * line[j] + left * right
        self._samples += 1
        if self._samples % REFRESH_SAMPLES == 0:
            self._solved = self._solve()

    def find_coefficient(self, filler: str) -> float:
        """Return a coefficient."""
        column = self._images.get(filler)
        if column is None or column >= len(self._solved):
            return PRIOR
        return max(0.0, self._solved[column])

    def _add_image(self, image: str) -> None:
        if image in self._images:
            return
        self._images[image] = len(self._vector)
        self._vector.append(0.0)
        for line in self._matrix:
            line.append(0.0)
        self._matrix.append([0.0] * len(self._vector))

    def _solve(self) -> list[float]:
        matrix = [list(line) for line in self._matrix]
        vector = list(self._vector)
        for i in range(len(vector)):
            weight = BASE_WEIGHT if i == 0 else PRIOR_WEIGHT
            matrix[i][i] += weight
            vector[i] += 0.0 if i == 0 else weight * PRIOR
        return solve(matrix, vector)


class LearnedInterferenceModel(InterferenceModel):
    """Learn coefficients from looks at all workers."""

    __slots__ = ('_regressions',)

    def __init__(self) -> None:
        self._regressions: dict[str, _Regression] = {}

    def learn(
        self,
        serving: str,
        log_change: float,
        changes: collections.abc.Mapping[str, float],
    ) -> None:
        """Take in a change of a log tail and of shares used, by image."""
        regression = self._regressions.setdefault(serving, _Regression())
        regression.add(changes, log_change)

    def find_coefficient(self, serving: str, filler: str) -> float:
        regression = self._regressions.get(serving)
        return (
            PRIOR
            if regression is None
            else regression.find_coefficient(filler)
        )


def solve(matrix: list[list[float]], vector: list[float]) -> list[float]:
    """Solve a positive definite system in place, by elimination."""
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
        known = sum(matrix[i][k] * solved[k] for k in range(i + 1, size))
        solved[i] = (vector[i] - known) / matrix[i][i]
    return solved
