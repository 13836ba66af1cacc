"""Messages between entries and the sidecars of backend servers."""

import enum

from chivespoke.backend_servers import _crashes
from chivespoke import entries
from chivespoke import identifiers

# Causes of the outcome "not run" that entries handle specially.
STALE_HOME_LIST = 'home list is out of date'
KEY_NOT_RUN = 'key has not run here'
DISPATCH_NOT_RECEIVED = 'revoked before it came'

HeaderPairs = tuple[tuple[str, str], ...]


class Outcome(enum.Enum):
    """List the outcomes of a request as reported to its caller."""

    ANSWERED = 'answered'
    # Reported only if it is certain that the request did not run.
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RequestClass(enum.Enum):
    """List the priority classes; only batch requests are evicted."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'


class Announcement(entries.Message, frozen=True):
    """Announce the state of a backend server; serves as its heartbeat."""

    service: identifiers.ServiceName
    data_centre: identifiers.DataCentreName
    slots: int
    queue_limit: int
    # Queued and running requests from all entries.
    outstanding: int
    healthy: bool
    leaving: bool
    # Newest home list version that the sidecar knows.
    homes_version: int = 0
    # Reading of the sidecar's monotonic clock, in seconds.
    clock: float = 0.0
    # Recent crashes of the backend server, oldest first.
    crashes: tuple[_crashes.ServerCrash, ...] = ()


class LeavingNoted(entries.Message, frozen=True):
    """Confirm that the server is leaving; only lookups may follow."""


class Farewell(entries.Message, frozen=True):
    """Hand over the keys that a leaving sidecar has run.

    The sidecar runs no requests after sending this.
    """

    # Each key with the seconds until it expires.
    keys: tuple[tuple[str, float], ...]
    # Whether this is the last message of the handover.
    final: bool
    # Number of keys in all messages of the handover. A message may be lost.
    total: int


class FarewellNoted(entries.Message, frozen=True):
    """Confirm that all messages of a farewell were received."""


class HomesVersion(entries.Message, frozen=True):
    """Notify a sidecar of a newer version of the home list."""

    version: int


class Goodbye(entries.Message, frozen=True):
    """Notify a sidecar that an entry is shutting down."""


class Dispatch(entries.Message, frozen=True):
    """Request that a sidecar run one attempt of a request."""

    # Increases with each dispatch of an entry incarnation, across all
    # sidecars.
    sequence: int
    request_id: int
    attempt: int
    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    # Time until the deadline. A duration, since the clocks of two machines
    # are not comparable.
    remaining_seconds: float
    request_class: RequestClass
    tenant: str
    # Idempotency key; empty if the request has none.
    key: str = ''
    # Version of the home list that selected this sidecar for the key.
    homes_version: int = 0
    # Query the result of the key only; start no run.
    lookup: bool = False
    # Latest reading of the sidecar's clock at which the run may start.
    start_until: float = float('inf')


class Revoke(entries.Message, frozen=True):
    """Cancel an attempt unless it is already running."""

    sequence: int


class Reply(entries.Message, frozen=True):
    """Report the result of an attempt."""

    sequence: int
    outcome: Outcome
    # Reason for the outcome "not run" or "unknown".
    cause: str = ''
    status: int = 0
    headers: HeaderPairs = ()
    body: bytes = b''
    # Delay after which the caller may retry; 0 if not known.
    retry_after_seconds: float = 0.0
    # Requests that the sidecar has queued or running now.
    outstanding: int = 0
    wait_seconds: float = 0.0
    run_seconds: float = 0.0
    # Newest home list version that the sidecar knows; set only in refusals.
    homes_version: int = 0
    # The connection to the backend server broke.
    broke_off: bool = False
