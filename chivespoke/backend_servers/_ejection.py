"""Take backend servers that fail or are slow out of the choice."""

import collections.abc
import statistics

from chivespoke.backend_servers import _routing

# Attempts after which a server may be judged.
ENOUGH_ATTEMPTS = 10
FAILURE_LIMIT = 0.5
# Times the median run time of its fellows.
SLOW_FACTOR = 5.0
# Runs shorter than this, in seconds, are never called slow.
SLOW_FLOOR = 0.005
# Seconds of the first ejection; each further one lasts longer.
EJECTION_SECONDS = 5.0
LONGEST_EJECTION = 60.0
# The largest share of a service's servers that may be ejected at once.
EJECTED_SHARE = 0.3


class Ejector:
    """Judge servers by failures and by run time against their fellows."""

    __slots__ = ('ejections',)

    def __init__(self) -> None:
        self.ejections = 0

    def judge(
        self,
        server: _routing.ServerView,
        fellows: collections.abc.Sequence[_routing.ServerView],
        now: float,
    ) -> None:
        """Eject the server if it is bad and enough fellows remain."""
        if server.attempts < ENOUGH_ATTEMPTS or server.ejected_until > now:
            return
        if not _is_bad(server, fellows):
            return
        ejected = sum(other.ejected_until > now for other in fellows)
        if ejected + 1 > EJECTED_SHARE * len(fellows):
            return
        server.ejections += 1
        self.ejections += 1
        seconds = min(EJECTION_SECONDS * server.ejections, LONGEST_EJECTION)
        server.eject(now + seconds)


def _is_bad(
    server: _routing.ServerView,
    fellows: collections.abc.Sequence[_routing.ServerView],
) -> bool:
    if server.failures > FAILURE_LIMIT:
        return True
    others = [
        other.latency_seconds
        for other in fellows
        if other is not server and other.answers >= ENOUGH_ATTEMPTS
    ]
    if not others or server.answers < ENOUGH_ATTEMPTS:
        return False
    usual = max(statistics.median(others), SLOW_FLOOR)
    return server.latency_seconds > SLOW_FACTOR * usual
