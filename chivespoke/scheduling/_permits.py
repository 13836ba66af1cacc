"""Compute leases and start permits in the time of a worker's clock.

Workers check both with their own monotonic clock. The ends are computed from
a lower bound of that clock, so they are never later than intended.
"""

from chivespoke import clock as clocks

MAX_CLOCK_DRIFT_SHARE = clocks.MAX_CLOCK_DRIFT_SHARE
# Validity of a start permit, from the read of the state it is based on.
START_PERMIT_SECONDS = 2.5
# Limit on the time from taking a data centre out to the last start there.
MAX_START_DELAY_SECONDS = 3.0
# A process starts no task if its last read of the log is older.
MAX_READ_AGE_SECONDS = 2.0
# Time for which a worker keeps tasks running without a renewal.
LEASE_SECONDS = 60.0
# Time between two renewals of a worker's lease.
RENEW_INTERVAL_SECONDS = 20.0
# Seconds after its last read of the log for which an owner keeps renewing
# leases, so that tasks keep running while the log is down.
BLIND_LIMIT = 7200.0

# The safety of leases and permits depends on these relations.
assert (
    START_PERMIT_SECONDS * (1 + MAX_CLOCK_DRIFT_SHARE) ** 2
    < MAX_START_DELAY_SECONDS
)
assert MAX_READ_AGE_SECONDS < START_PERMIT_SECONDS
assert 2 * RENEW_INTERVAL_SECONDS < LEASE_SECONDS < BLIND_LIMIT
assert START_PERMIT_SECONDS < LEASE_SECONDS


def compute_permit_end(
    clock_reading: clocks.ClockReading, read_time: float
) -> float:
    """Return the end of a start permit, on the worker's clock."""
    return clock_reading.compute_lower_bound(read_time) + START_PERMIT_SECONDS


def compute_lease_end(
    clock_reading: clocks.ClockReading, time: float
) -> float:
    """Return the end of a lease, on the worker's clock."""
    return clock_reading.compute_lower_bound(time) + LEASE_SECONDS


def compute_predecessor_wait(fenced: bool) -> float:
    """Return seconds until leases renewed by earlier owners have expired.

    If all earlier owners are fenced, the wait starts at the read that showed
    the last fence. Otherwise it starts at the read that showed this owner's
    claim, and is longer, as they may renew without reading the log.
    """
    longest = LEASE_SECONDS if fenced else BLIND_LIMIT + LEASE_SECONDS
    return longest * (1 + MAX_CLOCK_DRIFT_SHARE) / (1 - MAX_CLOCK_DRIFT_SHARE)
