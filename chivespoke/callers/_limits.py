"""Rate limits for each tenant and request class."""

import collections.abc

from chivespoke import backend_servers
from chivespoke import clock

# Burst of a tenant: the requests that its rate allows in this time.
BURST_SECONDS = 1.0
# Share of a tenant's burst that batch requests may not use, so that
# latency-critical requests still pass.
BATCH_RESERVE_SHARE = 0.25


class TokenBucket:
    """Token bucket: limit the rate, in requests per second, with a burst."""

    __slots__ = ('rate', '_tokens', '_refilled_at')

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self._tokens = self.burst
        self._refilled_at = now

    @property
    def burst(self) -> float:
        """Return the capacity of the bucket, in requests."""
        return max(1.0, self.rate * BURST_SECONDS)

    def take(self, now: float, reserve: float) -> float:
        """Take a token and return 0, or return the seconds to wait for one.

        A token is taken only if at least ``reserve`` tokens remain.
        """
        refill = (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + refill)
        self._refilled_at = now
        missing = 1.0 + reserve - self._tokens
        if missing > 0:
            return missing / self.rate
        self._tokens -= 1.0
        return 0.0


class RequestLimits:
    """Hold a token bucket for each limited tenant and request class."""

    __slots__ = ('_clock', '_count_entries', '_rates', '_buckets')

    def __init__(
        self,
        time: clock.Clock,
        count_entries: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = time
        # Each entry admits an equal share of the rate, because the balancer
        # spreads requests evenly over the entries.
        self._count_entries = count_entries
        self._rates: dict[
            tuple[str, backend_servers.RequestClass | None], float
        ] = {}
        self._buckets: dict[
            tuple[str, backend_servers.RequestClass | None], TokenBucket
        ] = {}

    def set_rate(
        self,
        tenant: str,
        rate: float,
        request_class: backend_servers.RequestClass | None = None,
    ) -> None:
        """Limit a tenant, or one of its request classes; 0 removes the limit.

        The rate is in requests per second, summed over all entries.
        """
        limit_key = (tenant, request_class)
        if self._rates.get(limit_key, 0.0) == rate:
            return
        self._buckets.pop(limit_key, None)
        self._rates.pop(limit_key, None)
        if rate > 0:
            self._rates[limit_key] = rate

    def admit(
        self, tenant: str, request_class: backend_servers.RequestClass
    ) -> float:
        """Admit a request and return 0, or return the seconds to wait."""
        wait_seconds = self._take_token((tenant, request_class), 0.0)
        if wait_seconds > 0:
            return wait_seconds
        is_batch = request_class is backend_servers.RequestClass.BATCH
        return self._take_token((tenant, None), BATCH_RESERVE_SHARE * is_batch)

    def _take_token(
        self,
        limit_key: tuple[str, backend_servers.RequestClass | None],
        reserve: float,
    ) -> float:
        rate = self._rates.get(limit_key)
        if rate is None:
            return 0.0
        rate /= max(1, self._count_entries())
        now = self._clock.read_monotonic()
        bucket = self._buckets.get(limit_key)
        if bucket is None:
            bucket = self._buckets[limit_key] = TokenBucket(rate, now)
        bucket.rate = rate
        return bucket.take(now, reserve * bucket.burst)
