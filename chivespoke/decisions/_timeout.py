"""How long to wait for an answer.

Answers a store that loses answers, where a long wait holds up everything
behind it, and one that is slow, where a short wait repeats calls that are
being carried out: the wait follows the answers that were seen, and doubles
with each one that did not come.
"""

SHORTEST_SECONDS = 0.15
LONGEST_SECONDS = 2.0
# Taken until answers were seen: forty times the store's usual 6 ms.
FIRST_SECONDS = 0.25
# Weights of a new answer in the average and in its deviation, and the number
# of deviations allowed for, as TCP reckons its retransmissions (RFC 6298).
AVERAGE_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
MARGIN_FACTOR = 3.0


class AdaptiveTimeout:
    """Learn how long answers take."""

    __slots__ = ('_average', '_deviation', '_backoff')

    def __init__(self) -> None:
        self._average: float | None = None
        self._deviation = 0.0
        self._backoff = 1.0

    @property
    def seconds(self) -> float:
        """Return how long to wait for the next answer."""
        base = FIRST_SECONDS
        if self._average is not None:
            margin = DEVIATIONS * self._deviation
            base = MARGIN_FACTOR * self._average + margin
        wait = max(SHORTEST_SECONDS, base) * self._backoff
        return min(LONGEST_SECONDS, wait)

    def record_reply(self, seconds: float) -> None:
        """Take in the time that an answer took."""
        self._backoff = 1.0
        if self._average is None:
            self._average = seconds
            self._deviation = seconds / 2
            return
        error = abs(seconds - self._average)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._average += AVERAGE_WEIGHT * (seconds - self._average)

    def record_timeout(self) -> None:
        """Take in that no answer came within the wait."""
        self._backoff = min(LONGEST_SECONDS, self._backoff * 2)
