"""Adaptive timeout for calls to the store.

If the store loses replies, a long timeout blocks all calls queued behind the
lost one. If the store is slow, a short timeout repeats calls that are still in
progress. The timeout therefore follows the observed reply times. It is doubled
whenever a call times out, until the next reply. A large request gets the time
that it takes on a slow link in addition.
"""

MIN_TIMEOUT_SECONDS = 0.15
MAX_TIMEOUT_SECONDS = 2.0
# Used until the first reply: about forty times the usual reply time of 6 ms.
INITIAL_TIMEOUT_SECONDS = 0.25
# Largest factor by which time-outs in a row extend the timeout. It extends the
# minimum beyond the reply time of a slow store, 0.4 s. With a larger one a
# caller finds out too late which of its idle connections are dead.
MAX_BACKOFF = 4.0
# Bandwidth of the slowest link on which a large request still succeeds.
MIN_BYTES_PER_SECOND = 125_000
# Weights of a new reply time in the exponential moving averages of the reply
# time and of its deviation, and the factor of the deviation in the timeout.
# The values are those of the TCP retransmission timer (RFC 6298).
AVERAGE_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Factor of the average reply time in the timeout.
AVERAGE_FACTOR = 3.0


class AdaptiveTimeout:
    """Derive a timeout from the observed reply times."""

    __slots__ = ('_average', '_deviation', '_backoff')

    def __init__(self) -> None:
        self._average: float | None = None
        self._deviation = 0.0
        self._backoff = 1.0

    @property
    def average_seconds(self) -> float | None:
        """Return the average reply time, None before the first reply."""
        return self._average

    @property
    def seconds(self) -> float:
        """Return the timeout of the next call."""
        base = INITIAL_TIMEOUT_SECONDS
        if self._average is not None:
            margin = DEVIATION_FACTOR * self._deviation
            base = AVERAGE_FACTOR * self._average + margin
        timeout = max(MIN_TIMEOUT_SECONDS, base) * self._backoff
        return min(MAX_TIMEOUT_SECONDS, timeout)

    def compute_for_request(self, size_bytes: int) -> float:
        """Return the timeout in seconds of a call with a request body."""
        return self.seconds + size_bytes / MIN_BYTES_PER_SECOND

    def record_reply(self, seconds: float) -> None:
        """Update the averages with a reply time and reset the back-off."""
        self._backoff = 1.0
        if self._average is None:
            self._average = seconds
            self._deviation = seconds / 2
            return
        error = abs(seconds - self._average)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._average += AVERAGE_WEIGHT * (seconds - self._average)

    def record_timeout(self) -> None:
        """Increase the back-off after a call that timed out."""
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)
