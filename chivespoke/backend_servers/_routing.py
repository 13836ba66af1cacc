"""Choose a backend server for a request."""

import abc
import collections.abc
import random

from chivespoke.backend_servers import _messages
from chivespoke import clock
from chivespoke import entries

LATENCY_GAIN = 0.1
FAILURE_GAIN = 0.1
# Seconds of run time taken for a server that has not answered yet.
FIRST_LATENCY = 0.005
# Seconds over which a new server's share grows to the full.
SLOW_START_SECONDS = 5.0
SLOW_START_FLOOR = 0.1
BYTES_LIMIT = 64 * 1024 * 1024


class ServerView:
    """Hold what an entry knows of one backend server's life."""

    __slots__ = (
        'peer',
        'announcement',
        'joined_at',
        'last_heartbeat_at',
        'outstanding',
        'outstanding_bytes',
        'reported',
        'latency_seconds',
        'failures',
        'answers',
        'attempts',
        'ejected_until',
        'ejections',
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
        self.joined_at = now
        self.last_heartbeat_at = now
        # Of this entry, and as the sidecar last told of all entries.
        self.outstanding = 0
        self.outstanding_bytes = 0
        self.reported = 0
        self.latency_seconds = 0.0
        # A moving share of attempts that failed.
        self.failures = 0.0
        self.answers = 0
        self.attempts = 0
        self.ejected_until = 0.0
        self.ejections = 0
        # Share of the usual work that it should get, in [0, 1].
        self.weight = 1.0

    def eject(self, until: float) -> None:
        """Keep it out of the choice, and start it slowly after that."""
        self.ejected_until = until
        self.joined_at = until
        self.failures = 0.0
        self.latency_seconds = 0.0
        self.answers = 0
        self.attempts = 0

    def is_available(self, now: float) -> bool:
        """Tell whether it takes work and has room."""
        held = self.announcement
        return (
            held.healthy
            and self.ejected_until <= now
            and not held.leaving
            and self.outstanding < self.count_room()
            and self.outstanding_bytes < BYTES_LIMIT
        )

    def count_room(self) -> int:
        """Return the requests that may be sent before replies come.

        A few more than fit, so that the sidecar can make batch give way.
        """
        return 2 * self.announcement.slots + self.announcement.queue_limit

    def observe_run(self, seconds: float) -> None:
        """Take in the time that an attempt took at the server."""
        self.answers += 1
        gain = max(LATENCY_GAIN, 1.0 / self.answers)
        self.latency_seconds += gain * (seconds - self.latency_seconds)

    def observe_result(self, failed: bool) -> None:
        """Take in whether an attempt failed."""
        self.attempts += 1
        self.failures += FAILURE_GAIN * (float(failed) - self.failures)

    def estimate_load(self) -> int:
        """Return the requests that the server holds, of all entries."""
        return max(self.outstanding, self.reported)

    def estimate_share(self, now: float) -> float:
        """Return the share of the usual work it should get, in (0, 1]."""
        age = (now - self.joined_at) / SLOW_START_SECONDS
        start = min(1.0, max(SLOW_START_FLOOR, age))
        return max(self.weight, 0.01) * start


class RoutingPolicy(abc.ABC):
    """Choose among the backend servers that are open."""

    @abc.abstractmethod
    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        """Return one of the candidates, of which there is at least one."""


class RoundRobin(RoutingPolicy):
    """Take the servers in turn; a naive twin."""

    __slots__ = ('_turn',)

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class RandomChoice(RoutingPolicy):
    """Take any server; a naive twin."""

    __slots__ = ('_random',)

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def choose(
        self, candidates: collections.abc.Sequence[ServerView]
    ) -> ServerView:
        return self._random.choice(candidates)


class ChoiceOfTwo(RoutingPolicy):
    """Take the better of two by expected wait and run time."""

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
            server.latency_seconds if server.answers else FIRST_LATENCY
        )
        load = server.estimate_load() + 1
        return latency_seconds * load / server.estimate_share(now)


def make_policy(name: str, time: clock.Clock) -> RoutingPolicy:
    """Return the policy that the settings name."""
    if name == 'round-robin':
        return RoundRobin()
    if name == 'random':
        return RandomChoice()
    return ChoiceOfTwo(time)
