"""Messages between an entry and the sidecar of a backend server."""

import enum

from chivespoke import entries
from chivespoke import identifiers

# Causes of "not run" that an entry tells apart.
STALE_HOME_LIST = 'home list is out of date'
KEY_NOT_RUN = 'key has not run here'
DISPATCH_NOT_RECEIVED = 'revoked before it came'

HeaderPairs = tuple[tuple[str, str], ...]


class Outcome(enum.Enum):
    """Name what a caller may be told about its request."""

    ANSWERED = 'answered'
    # Only said when it is proven.
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RequestClass(enum.Enum):
    """Tell requests that must be quick from those that yield first."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'


class Announcement(entries.Message, frozen=True):
    """Announce a backend server; its heartbeat."""

    service: identifiers.ServiceName
    data_centre: identifiers.DataCentreName
    slots: int
    queue_limit: int
    # Requests that it holds, of all entries.
    outstanding: int
    healthy: bool
    leaving: bool
    # The newest home list by which it was sent a key.
    homes_version: int = 0


class LeavingNoted(entries.Message, frozen=True):
    """Promise that no dispatch follows."""


class Farewell(entries.Message, frozen=True):
    """Hand over the keys that a leaving sidecar has run; it runs no more."""

    # Each key, and the seconds for which it is still remembered.
    keys: tuple[tuple[str, float], ...]
    final: bool


class FarewellNoted(entries.Message, frozen=True):
    """Confirm that all of a farewell has come."""


class HomesVersion(entries.Message, frozen=True):
    """Tell a sidecar that a newer home list is in force."""

    version: int


class Goodbye(entries.Message, frozen=True):
    """Tell a sidecar that an entry has finished and is going."""


class Dispatch(entries.Message, frozen=True):
    """Ask a sidecar to run one attempt of a request."""

    # Rises with every dispatch of an entry's life, over all sidecars.
    sequence: int
    request_id: int
    attempt: int
    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    # Seconds left; a duration, since no two clocks are compared.
    remaining_seconds: float
    request_class: RequestClass
    tenant: str
    key: str = ''
    # Version of the home list by which the key was sent here.
    homes_version: int = 0
    # Only tell whether the key has run, and its answer.
    lookup: bool = False


class Revoke(entries.Message, frozen=True):
    """Ask that an attempt not be run, if it isn't running yet."""

    sequence: int


class Reply(entries.Message, frozen=True):
    """Tell the end of an attempt."""

    sequence: int
    outcome: Outcome
    # Why a request was not run or is unknown.
    cause: str = ''
    status: int = 0
    headers: HeaderPairs = ()
    body: bytes = b''
    # Seconds after which to come back; 0 when not told.
    retry_after_seconds: float = 0.0
    # Requests that the sidecar holds now.
    outstanding: int = 0
    wait_seconds: float = 0.0
    run_seconds: float = 0.0
    # Where the home list that the sidecar knows is newer.
    homes_version: int = 0
