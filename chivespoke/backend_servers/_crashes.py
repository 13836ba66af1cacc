"""Crashes of backend servers, and the requests that may have caused them.

A sidecar announces the requests that its backend server had just begun when it
went down. The entries then refuse a request that was a suspect too often, by
the same rules by which tasks are given up.
"""

import collections.abc
import hashlib

import msgspec

from chivespoke import clock
from chivespoke import decisions
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('crashes')

# Time for which a crash is announced, and for which its suspects are
# remembered after their latest crash.
CRASH_RETENTION_SECONDS = 120.0
# Limit on the crashes that one sidecar announces.
MAX_ANNOUNCED_CRASHES = 8
# Limits on what an entry remembers.
MAX_SUSPECTS = 10_000
MAX_SIDECARS = 10_000
FINGERPRINT_BYTES = 12
MILLISECONDS = 1000


class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    """Announce a crash of a backend server."""

    # Rises with each crash that one incarnation of a sidecar has seen.
    number: int
    # Fingerprints of the requests that may have caused the crash.
    suspects: tuple[str, ...]
    # Wall-clock time, in milliseconds since 1970.
    at_ms: int


class CrashLog:
    """Record the crashes that a sidecar announces."""

    __slots__ = ('_clock', '_crashes', '_count', 'listener')

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # Each crash with its monotonic time, oldest first.
        self._crashes: list[tuple[float, ServerCrash]] = []
        self._count = 0
        # Called after each crash.
        self.listener: collections.abc.Callable[[], None] = lambda: None

    def record(
        self, lost_runs: collections.abc.Sequence[decisions.LostRun]
    ) -> None:
        """Record a crash under some runs; their jobs are fingerprints."""
        suspects = decisions.find_suspects(lost_runs)
        self._count += 1
        crash = ServerCrash(
            self._count,
            tuple(sorted({run.job for run in suspects})),
            int(self._clock.read_wall() * MILLISECONDS),
        )
        LOGGER.warning(
            'The backend server went down.',
            crash=crash.number,
            requests=len(lost_runs),
            suspects=','.join(crash.suspects),
        )
        self._crashes.append((self._clock.read_monotonic(), crash))
        del self._crashes[:-MAX_ANNOUNCED_CRASHES]
        self.listener()

    def list_recent(self) -> tuple[ServerCrash, ...]:
        """Return the crashes to announce."""
        oldest = self._clock.read_monotonic() - CRASH_RETENTION_SECONDS
        return tuple(crash for at, crash in self._crashes if at > oldest)


class Suspicion(msgspec.Struct, frozen=True):
    """Hold the crashes of which a request is suspected."""

    crashes: tuple[workloads.Crash, ...]
    # Reading of this process's monotonic clock, in seconds.
    expires_at: float


class CrashHistory:
    """Remember the suspects of crashes that sidecars have announced."""

    __slots__ = ('_clock', '_suspicions', '_seen')

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # By service and fingerprint, ordered by expiry.
        self._suspicions: dict[
            tuple[identifiers.ServiceName, str], Suspicion
        ] = {}
        # Number of the latest crash of each sidecar, latest sidecar last.
        self._seen: dict[identifiers.Incarnation, int] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._suspicions

    def observe(
        self,
        service: identifiers.ServiceName,
        server: str,
        incarnation: identifiers.Incarnation,
        crashes: collections.abc.Iterable[ServerCrash],
    ) -> None:
        """Record the crashes that have not been announced before."""
        for crash in crashes:
            if crash.number <= self._seen.get(incarnation, 0):
                continue
            self._seen.pop(incarnation, None)
            self._seen[incarnation] = crash.number
            for fingerprint in crash.suspects:
                self._add(
                    (service, fingerprint),
                    workloads.Crash(
                        server,
                        server,
                        crash.at_ms,
                        crash.number,
                        len(crash.suspects) == 1,
                    ),
                )
        while len(self._seen) > MAX_SIDECARS:
            del self._seen[next(iter(self._seen))]

    def find_hopeless(
        self, service: identifiers.ServiceName, fingerprint: str
    ) -> Suspicion | None:
        """Return why a request must not run; None if it may."""
        self._expire()
        suspicion = self._suspicions.get((service, fingerprint))
        if suspicion is None or not decisions.is_hopeless(suspicion.crashes):
            return None
        return suspicion

    def record_answer(
        self, service: identifiers.ServiceName, fingerprint: str
    ) -> None:
        """Clear a request of suspicion, as it was answered."""
        self._suspicions.pop((service, fingerprint), None)

    def _add(
        self,
        request: tuple[identifiers.ServiceName, str],
        crash: workloads.Crash,
    ) -> None:
        self._expire()
        previous = self._suspicions.pop(request, None)
        crashes = () if previous is None else previous.crashes
        self._suspicions[request] = Suspicion(
            (*crashes, crash)[-decisions.MAX_CRASHES :],
            self._clock.read_monotonic() + CRASH_RETENTION_SECONDS,
        )
        while len(self._suspicions) > MAX_SUSPECTS:
            del self._suspicions[next(iter(self._suspicions))]

    def _expire(self) -> None:
        now = self._clock.read_monotonic()
        for request, suspicion in tuple(self._suspicions.items()):
            if suspicion.expires_at > now:
                return
            del self._suspicions[request]


def compute_fingerprint(
    tenant: str, method: str, target: str, body: bytes
) -> str:
    """Return an identifier that equal requests of a tenant share."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (tenant.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
