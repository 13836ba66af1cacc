"""Messages between an entry and the sidecar of a backend server."""

import enum

from chivespoke import entries
from chivespoke import identifiers

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


class LeavingNoted(entries.Message, frozen=True):
    """Promise that no dispatch follows."""


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
    remaining: float
    request_class: RequestClass
    tenant: str
    key: str = ''
    # Version of the home list by which the key was sent here.
    homes_version: int = 0


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
    retry_after: float = 0.0
    # Requests that the sidecar holds now.
    outstanding: int = 0
    wait_seconds: float = 0.0
    run_seconds: float = 0.0
