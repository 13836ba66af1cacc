"""Which jobs to serve in time when there is too little room for all of them.

Load pattern: bursts bring more work than the workers can complete before its
deadlines. If everything runs at once, or in order of deadlines, every job is
somewhat late. Instead a set of jobs is chosen that can all be in time, and the
others are delayed.
"""

import enum

import msgspec


class Standing(enum.IntEnum):
    """Tell whether a job is served in time while there is too little room."""

    TIMELY = 0
    # Delayed, so that others can be in time; completed later.
    DELAYED = 1
    # The results have no value any more; completed after all others.
    EXPIRED = 2


class ServiceOutlook(msgspec.Struct, frozen=True):
    """Hold the load of a service and what it can carry.

    Amounts of work are in core-seconds at full speed.
    """

    # Work that the service completes per second for jobs that share what
    # others leave unused; 0 if it is not known yet.
    throughput_cores: float
    # Work left of the jobs that are served in time, and of all jobs.
    timely_core_seconds: float
    total_core_seconds: float
