"""Bound a worker's clock from below; derive permits and leases from it."""

import msgspec

# Seconds by which two clocks may part in a second.
DRIFT = 0.001
# Seconds for which a start stays allowed after the state it rests on.
PERMIT_WINDOW = 2.5
# Seconds within which a taken-out data centre must see its last start.
MAX_START_DELAY_SECONDS = 3.0
# A process whose proof is older, in seconds, starts nothing.
FRESHNESS_LIMIT = 2.0
# Seconds for which a worker runs on without a renewal.
LEASE = 60.0
# Seconds between two renewals of a worker's lease.
RENEW_INTERVAL = 20.0
# Seconds after its last proof for which an owner renews without one.
BLIND_LIMIT = 7200.0

# What the numbers above must satisfy for the bounds to hold.
assert PERMIT_WINDOW * (1 + DRIFT) ** 2 < MAX_START_DELAY_SECONDS
assert FRESHNESS_LIMIT < PERMIT_WINDOW
assert 2 * RENEW_INTERVAL < LEASE < BLIND_LIMIT
assert PERMIT_WINDOW < LEASE


class ClockReading(msgspec.Struct, frozen=True):
    """Hold a reading of a worker's clock and when it had arrived."""

    worker_clock: float
    # Own monotonic seconds after receipt.
    received_at: float

    def bound_at(self, time: float) -> float:
        """Return what the worker's clock shows at least at an own time."""
        elapsed = time - self.received_at
        rate = 1 - DRIFT if elapsed >= 0 else 1 + DRIFT
        return self.worker_clock + elapsed * rate


def compute_permit(reading: ClockReading, proven_at: float) -> float:
    """Return the worker's clock until which a start is allowed."""
    return reading.bound_at(proven_at) + PERMIT_WINDOW


def compute_lease(reading: ClockReading, time: float) -> float:
    """Return the worker's clock until which a lease runs."""
    return reading.bound_at(time) + LEASE


def compute_inherited_wait(fenced: bool) -> float:
    """Return own seconds until a predecessor's renewals have lapsed.

    They count from the proof of the fence, or of the claim when the
    predecessor may be renewing blind.
    """
    longest = LEASE if fenced else BLIND_LIMIT + LEASE
    return longest * (1 + DRIFT) / (1 - DRIFT)
