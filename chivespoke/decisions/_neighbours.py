"""Choice of the neighbours that a request is handed to.

Load pattern: the store turns away some entries and serves the others. The
balancer takes some seconds to notice that an entry is not ready, and callers
that retry reach the same entry again, so the entry hands their requests to a
neighbour that the store serves. If the store turns away everybody, passing
requests around would only add load, so they are refused at once.
"""

import collections.abc

import msgspec

# Neighbours that one request is handed to at most, one after the other.
MAX_NEIGHBOURS = 2
# Time for which a neighbour that has refused a request is not chosen.
REFUSAL_PAUSE_SECONDS = 1.0
# Time for which a neighbour that does not answer is not chosen: it may have
# left for good.
SILENCE_PAUSE_SECONDS = 10.0
# Time for which no neighbour is chosen after a request was refused by all of
# its neighbours.
EXHAUSTED_PAUSE_SECONDS = 0.5


class NeighbourAnswer(msgspec.Struct, frozen=True):
    """Hold what decides whether a neighbour's answer is passed on."""

    # Version of the configuration that it rests on; 0 if it names none.
    version: int
    # It would be another one if the routes or limits were others, and the
    # request has had no effect.
    rests_on_version: bool


def may_pass_on(answer: NeighbourAnswer, newest_version: int) -> bool:
    """Return whether callers may get a neighbour's answer.

    Callers have seen what the newest version known here allows, which an older
    one would take back. An answer that names no version proves none.
    """
    return not answer.rests_on_version or (
        answer.version > 0 and answer.version >= newest_version
    )


class NeighbourSelector:
    """Rank the neighbours by their latest answers."""

    __slots__ = ('_paused_until', '_neighbour_paused_until', '_latest_helper')

    def __init__(self) -> None:
        # Monotonic times until which no neighbour, or a single one, is chosen.
        self._paused_until = float('-inf')
        self._neighbour_paused_until: dict[str, float] = {}
        # Neighbour that last served a request.
        self._latest_helper = ''

    def select(
        self, names: collections.abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the neighbours to try, in order; empty to refuse at once."""
        if now < self._paused_until:
            return []
        available = sorted(
            name
            for name in names
            if now >= self._neighbour_paused_until.get(name, now)
        )
        if self._latest_helper in available:
            available.remove(self._latest_helper)
            available.insert(0, self._latest_helper)
        return available[:MAX_NEIGHBOURS]

    def record_served(self, name: str) -> None:
        """Record that a neighbour has answered a request."""
        self._latest_helper = name

    def record_refused(self, name: str, now: float) -> None:
        """Record that a neighbour cannot serve requests either."""
        self._pause(name, now + REFUSAL_PAUSE_SECONDS)

    def record_silent(self, name: str, now: float) -> None:
        """Record that a neighbour cannot be reached or does not answer."""
        self._pause(name, now + SILENCE_PAUSE_SECONDS)

    def record_exhausted(self, now: float) -> None:
        """Record that none of the selected neighbours served a request."""
        self._paused_until = now + EXHAUSTED_PAUSE_SECONDS

    def _pause(self, name: str, until: float) -> None:
        self._neighbour_paused_until[name] = until
        if name == self._latest_helper:
            self._latest_helper = ''
