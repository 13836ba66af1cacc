"""Routing policies and the state of backend servers that they use."""

import abc
import collections.abc
import random

from chivespoke.backend_servers import _messages
from chivespoke import clock
from chivespoke import entries

# Weights of the newest attempt in the exponential moving averages.
LATENCY_SMOOTHING = 0.1
FAILURE_SMOOTHING = 0.1
# Assumed latency of a server that has not answered yet.
INITIAL_LATENCY_SECONDS = 0.005
# Slow start: the traffic share of a new server rises from the minimum to 1
# over this time.
SLOW_START_SECONDS = 5.0
MIN_SLOW_START_SHARE = 0.1
# Limit on the bodies of outstanding requests of one entry at one server.
MAX_OUTSTANDING_BYTES = 64 * 1024 * 1024


class ServerView:
    """Hold what one entry knows about one backend server incarnation."""

    __slots__ = (
        'peer',
        'announcement',
        'slow_start_at',
        'last_heartbeat_at',
        'clock_reading',
        'outstanding',
        'outstanding_bytes',
        'reported_outstanding',
        'latency_seconds',
        'failure_share',
        'answer_count',
        'attempts',
        'ejected_until',
        'ejections',
        'broke_off_at',
        'weight',
    )

    def __init__(
        self,
        peer: entries.Peer,
        announcement: _messages.Announcement,
        now: float,
    ) -> None:
        self.peer = peer
        self.announcement = announcement
        self.slow_start_at = now
        self.last_heartbeat_at = now
        self.clock_reading = clock.ClockReading(announcement.clock, now)
        # Attempts of this entry without a reply yet.
        self.outstanding = 0
        self.outstanding_bytes = 0
        # Requests of all entries, as last reported by the sidecar.
        self.reported_outstanding = 0
        # Exponential moving averages of the latency and of the share of
        # failed attempts.
        self.latency_seconds = 0.0
        self.failure_share = 0.0
        self.answer_count = 0
        self.attempts = 0
        self.ejected_until = 0.0
        self.ejections = 0
        # Time of the last broken-off attempt that counted as a failure.
        self.broke_off_at = float('-inf')
        # Traffic relative to other servers, in [0, 1].
        self.weight = 1.0

    def observe_clock(self, reading: float, now: float) -> None:
        """Use a reading of the sidecar's clock unless it came late."""
        if reading > self.clock_reading.compute_lower_bound(now):
            self.clock_reading = clock.ClockReading(reading, now)

    def eject(self, until: float) -> None:
        """Exclude the server until a time; slow start follows."""
        self.ejected_until = until
        self.slow_start_at = until
        self.failure_share = 0.0
        self.latency_seconds = 0.0
        self.answer_count = 0
        self.attempts = 0

    def is_available(self, now: float) -> bool:
        """Return whether the server accepts requests and has capacity."""
        announcement = self.announcement
        return (
            announcement.healthy
            and self.ejected_until <= now
            and not announcement.leaving
            and self.outstanding < self.compute_max_outstanding()
            and self.outstanding_bytes < MAX_OUTSTANDING_BYTES
        )

    def compute_max_outstanding(self) -> int:
        """Return the maximum number of attempts without a reply.

        This exceeds the capacity of the sidecar, so that latency-critical
        requests reach a full sidecar, which then evicts batch requests.
        """
        return 2 * self.announcement.slots + self.announcement.queue_limit

    def record_latency(self, seconds: float) -> None:
        """Update the average latency with one attempt."""
        self.answer_count += 1
        gain = max(LATENCY_SMOOTHING, 1.0 / self.answer_count)
        self.latency_seconds += gain * (seconds - self.latency_seconds)

    def record_outcome(self, failed: bool) -> None:
        """Update the failure share with one attempt."""
        self.attempts += 1
        self.failure_share += FAILURE_SMOOTHING * (
            float(failed) - self.failure_share
        )

    def record_break(self, started_at: float, now: float) -> bool:
        """Record a broken-off attempt; return whether it counts as a failure.

        A crash breaks off all attempts at the server, but is one failure.
        """
        if started_at < self.broke_off_at:
            return False
        self.broke_off_at = now
        return True

    def estimate_load(self) -> int:
        """Return the estimated number of requests at the server."""
        return max(self.outstanding, self.reported_outstanding)

    def compute_traffic_share(self, now: float) -> float:
        """Return the relative traffic share with slow start, in (0, 1]."""
        age = (now - self.slow_start_at) / SLOW_START_SECONDS
        start = min(1.0, max(MIN_SLOW_START_SHARE, age))
        return max(self.weight, 0.01) * start


class RoutingPolicy(abc.ABC):
    """Choose among the available backend servers."""

    @abc.abstractmethod
    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        """Return one of the candidates, which must not be empty."""


class RoundRobin(RoutingPolicy):
    """Choose the servers in turn; a baseline for comparison."""

    __slots__ = ('_turn',)

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class RandomChoice(RoutingPolicy):
    """Choose a server at random; a baseline for comparison."""

    __slots__ = ('_random',)

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        return self._random.choice(candidates)


class ChoiceOfTwo(RoutingPolicy):
    """Choose the better of two random servers by expected latency."""

    __slots__ = ('_clock', '_random')

    def __init__(self, time: clock.Clock, seed: int | None = None) -> None:
        self._clock = time
        self._random = random.Random(seed)

    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        now = self._clock.read_monotonic()
        if self._score(second, now) < self._score(first, now):
            return second
        return first

    def _score(self, server: ServerView, now: float) -> float:
        latency_seconds = (
            server.latency_seconds
            if server.answer_count
            else INITIAL_LATENCY_SECONDS
        )
        load = server.estimate_load() + 1
        return latency_seconds * load / server.compute_traffic_share(now)


def make_policy(name: str, time: clock.Clock) -> RoutingPolicy:
    """Return the policy with a name from the settings."""
    if name == 'round-robin':
        return RoundRobin()
    if name == 'random':
        return RandomChoice()
    return ChoiceOfTwo(time)
