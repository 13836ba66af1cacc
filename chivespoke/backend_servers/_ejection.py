"""Outlier detection: temporary ejection of failing or slow servers."""

import collections.abc
import statistics

from chivespoke.backend_servers import _routing

# Attempts that a server needs before it is evaluated.
MIN_ATTEMPTS = 10
MAX_FAILURE_SHARE = 0.5
# Latency above which a server is an outlier, as a multiple of the median
# latency of the other servers.
MAX_LATENCY_FACTOR = 5.0
# Lower bound of the median in this comparison, so that very short latencies
# never count as slow.
MIN_TYPICAL_LATENCY_SECONDS = 0.005
# Duration of the first ejection; the n-th one lasts n times as long, up to
# the maximum.
BASE_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# Maximum share of a service's servers that may be ejected at once.
MAX_EJECTED_SHARE = 0.3


class OutlierDetector:
    """Eject servers by failure share, or by latency relative to the others."""

    __slots__ = ('ejections',)

    def __init__(self) -> None:
        self.ejections = 0

    def evaluate(
        self,
        server: _routing.ServerView,
        service_servers: collections.abc.Sequence[_routing.ServerView],
        now: float,
    ) -> None:
        """Eject the server if it is an outlier and enough servers remain.

        service_servers holds all servers of the service, including this one.
        """
        if server.attempts < MIN_ATTEMPTS or server.ejected_until > now:
            return
        if not _is_outlier(server, service_servers):
            return
        ejected = sum(other.ejected_until > now for other in service_servers)
        if ejected + 1 > MAX_EJECTED_SHARE * len(service_servers):
            return
        server.ejections += 1
        self.ejections += 1
        seconds = min(
            BASE_EJECTION_SECONDS * server.ejections, MAX_EJECTION_SECONDS
        )
        server.eject(now + seconds)


def _is_outlier(
    server: _routing.ServerView,
    service_servers: collections.abc.Sequence[_routing.ServerView],
) -> bool:
    if server.failure_share > MAX_FAILURE_SHARE:
        return True
    others = [
        other.latency_seconds
        for other in service_servers
        if other is not server and other.answer_count >= MIN_ATTEMPTS
    ]
    if not others or server.answer_count < MIN_ATTEMPTS:
        return False
    typical_latency_seconds = max(
        statistics.median(others), MIN_TYPICAL_LATENCY_SECONDS
    )
    return (
        server.latency_seconds > MAX_LATENCY_FACTOR * typical_latency_seconds
    )
