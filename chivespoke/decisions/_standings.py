"""Places of jobs in the order of service while there is too little room."""

import enum

import msgspec


class Standing(enum.IntEnum):
    """Tell whether a job is served in time while there is too little room."""

    TIMELY = 0
    # Delayed, so that others can be in time; completed later.
    DELAYED = 1
    # The results have no value any more; completed after all others.
    EXPIRED = 2


class Rank(msgspec.Struct, frozen=True):
    """Hold the place of a job in the order of service."""

    standing: Standing
    # Within a standing, the lowest is served first.
    order: float
