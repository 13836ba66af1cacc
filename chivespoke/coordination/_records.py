"""Records of the system topic and the ledger built from them."""

import abc
import asyncio

import msgspec

from chivespoke.coordination import _followers
from chivespoke import decisions
from chivespoke import decoding
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('ledger')

SYSTEM_TOPIC = f'{platform.KEYED_PREFIX}chivespoke'
JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
PROGRESS_PREFIX = 'progress/'
WORKER_PREFIX = 'worker/'
ENTRY_PREFIX = 'entry/'
ENDED_PREFIX = 'ended/'
SILENT_PREFIX = 'silent/'
LEADER_PREFIX = 'leader/'
# What the leaders have learned; see `_learning`.
LEARNED_KEY = 'learned/model'
LOAD_KEY = 'load/summary'
READ_STEP = 'read record'

# Maximum size of the record of one task: the names of its worker and of its
# checkpoint, and small numbers.
MAX_TASK_RECORD_BYTES = 100
# Maximum size of the record of one crash that a task is suspected of: the
# names of the worker and its place, and small numbers.
MAX_CRASH_RECORD_BYTES = 100
# Largest number of tasks of a job, however large the records of the store are.
MAX_JOB_TASKS = 1_000_000
# Number of suspects of one job that are recorded at a time.
MAX_JOB_SUSPECTS = 64

JOB_DECODER = msgspec.msgpack.Decoder(workloads.Job)
PROGRESS_DECODER = msgspec.msgpack.Decoder(workloads.JobProgress)
ENCODER = msgspec.msgpack.Encoder()


class AddressRecord(msgspec.Struct, frozen=True):
    """Hold the address at which a process accepts connections.

    A sidecar takes orders there, an entry the requests of its neighbours.
    """

    address: str


class EndedWorkerRecord(msgspec.Struct, frozen=True):
    """Hold the last worker beside a sidecar that has ended."""

    # Key of its incarnation.
    worker: str


class LateStart(msgspec.Struct, frozen=True, array_like=True):
    """Hold a call to start a run that may be executed late."""

    task: str
    run: int
    # Time for which it may be, from the writing of the record on.
    millis: int


class SilentSidecar(msgspec.Struct, frozen=True):
    """Hold what is left of the leases beside a sidecar that is not heard."""

    # Time from the writing of the record until all have expired.
    lease_millis: int
    late_starts: tuple[LateStart, ...] = ()


class KnownSilence(msgspec.Struct, frozen=True):
    """Hold a record of a silent sidecar, and when it had been written."""

    record: SilentSidecar
    # Monotonic time at which it was read; None if that is not known.
    read_at: float | None


class LeaderRecord(msgspec.Struct, frozen=True):
    """Hold the process that leads in an epoch."""

    # Its name in the group; unique among all processes.
    member: str
    # At which it answers the leaders that follow.
    address: str


LEADER_DECODER = msgspec.msgpack.Decoder(LeaderRecord)
SILENT_SIDECAR_DECODER = msgspec.msgpack.Decoder(SilentSidecar)
ENDED_WORKER_DECODER = msgspec.msgpack.Decoder(EndedWorkerRecord)
ADDRESS_DECODER = msgspec.msgpack.Decoder(AddressRecord)


class LoadSummary(msgspec.Struct, frozen=True):
    """Hold the load that a leader has told to the entries."""

    epoch: int
    # By the name of the service; only services whose load is known.
    services: dict[str, decisions.ServiceLoad] = {}


LOAD_DECODER = msgspec.msgpack.Decoder(LoadSummary)


def decode_job(encoded: bytes, identifier: str) -> workloads.Job:
    """Decode an accepted job; raise RefusedError if it is unreadable."""
    job = decoding.decode(JOB_DECODER, encoded, READ_STEP, identifier)
    flaw = workloads.describe_flaw(job)
    if job.task_count > MAX_JOB_TASKS:
        flaw = f'{job.task_count} tasks, at most {MAX_JOB_TASKS}'
    if job.identifier != identifier:
        flaw = f'the record of another job, {job.identifier[:64]!r}'
    if flaw:
        raise errors.RefusedError(READ_STEP, identifier, flaw)
    return job


def decode_address(encoded: bytes, key: str) -> str:
    """Decode a process's address; raise RefusedError if it is unreadable."""
    record = decoding.decode(ADDRESS_DECODER, encoded, READ_STEP, key)
    return decoding.check_address(record.address, READ_STEP, key)


def compute_max_job_tasks(max_record_bytes: int) -> int:
    """Return the size of the largest job whose progress fits a record."""
    suspects_bytes = (
        MAX_JOB_SUSPECTS * decisions.MAX_CRASHES * MAX_CRASH_RECORD_BYTES
    )
    return (max_record_bytes - suspects_bytes) // MAX_TASK_RECORD_BYTES


def encode_job(job: workloads.Job) -> bytes:
    """Return the record of an accepted job."""
    return platform.encode_record(
        JOB_PREFIX + job.identifier, ENCODER.encode(job)
    )


def encode_cancel(identifier: str, now_ms: int) -> bytes:
    """Return the record of a job's cancellation."""
    return platform.encode_record(
        CANCEL_PREFIX + identifier, ENCODER.encode(now_ms)
    )


def encode_progress(identifier: str, progress: workloads.JobProgress) -> bytes:
    """Return the record of a job's progress."""
    return platform.encode_record(
        PROGRESS_PREFIX + identifier, ENCODER.encode(progress)
    )


def encode_removal(identifier: str) -> tuple[bytes, bytes, bytes]:
    """Return the tombstones of all records of a job."""
    return (
        platform.encode_record(JOB_PREFIX + identifier, b''),
        platform.encode_record(CANCEL_PREFIX + identifier, b''),
        platform.encode_record(PROGRESS_PREFIX + identifier, b''),
    )


def encode_sidecar(name: str, address: str) -> bytes:
    """Return the record of a sidecar's address."""
    return platform.encode_record(
        WORKER_PREFIX + name, ENCODER.encode(AddressRecord(address))
    )


def encode_entry_address(name: str, address: str) -> bytes:
    """Return the record of an entry's address for its neighbours."""
    return platform.encode_record(
        ENTRY_PREFIX + name, ENCODER.encode(AddressRecord(address))
    )


def encode_entry_departure(name: str) -> bytes:
    """Return the tombstone of an entry's address."""
    return platform.encode_record(ENTRY_PREFIX + name, b'')


def encode_ended_worker(sidecar: str, worker: str) -> bytes:
    """Return the record that the worker beside a sidecar has ended."""
    return platform.encode_record(
        ENDED_PREFIX + sidecar, ENCODER.encode(EndedWorkerRecord(worker))
    )


def encode_silent_sidecar(sidecar: str, record: SilentSidecar) -> bytes:
    """Return the record that a leader does not hear a sidecar."""
    return platform.encode_record(
        SILENT_PREFIX + sidecar, ENCODER.encode(record)
    )


def encode_heard_sidecar(sidecar: str) -> bytes:
    """Return the tombstone of the record of a silent sidecar."""
    return platform.encode_record(SILENT_PREFIX + sidecar, b'')


def encode_leader(epoch: int, record: LeaderRecord) -> bytes:
    """Return the record of the process that leads in an epoch."""
    return platform.encode_record(
        f'{LEADER_PREFIX}{epoch}', ENCODER.encode(record)
    )


def encode_past_leader(epoch: int) -> bytes:
    """Return the tombstone of the record of a leader."""
    return platform.encode_record(f'{LEADER_PREFIX}{epoch}', b'')


def encode_load(summary: LoadSummary) -> bytes:
    """Return the record of the load."""
    return platform.encode_record(LOAD_KEY, ENCODER.encode(summary))


class JobEntry:
    """Hold the ledger's state of one job."""

    __slots__ = ('job', 'cancelled', '_encoded', '_is_decoded', '_progress')

    def __init__(self) -> None:
        self.job: workloads.Job | None = None
        self.cancelled = False
        self._encoded = b''
        self._is_decoded = True
        # The latest progress that was read; None if there is none.
        self._progress: workloads.JobProgress | None = None

    def set_encoded_progress(self, encoded: bytes) -> None:
        """Replace the encoded progress, which is decoded on first access."""
        self._encoded = encoded
        self._is_decoded = False

    @property
    def progress(self) -> workloads.JobProgress | None:
        """Return the stored progress, None before the first record.

        If the record is unreadable, the progress that was read before it
        stays. Raise RefusedError if none was.
        """
        if not self._is_decoded:
            try:
                self._progress = self._decode_progress()
            except errors.RefusedError as error:
                if self._progress is None:
                    raise
                LOGGER.error(
                    'A progress cannot be read; the one before it stays.',
                    error=error,
                )
                self._encoded = ENCODER.encode(self._progress)
            self._is_decoded = True
        return self._progress

    def copy_progress(self) -> workloads.JobProgress | None:
        """Return a copy of the stored progress that a leader may modify.

        The leader's changes must not affect the entry before they are stored,
        which may never happen. Raise RefusedError if there is one, but no
        readable one.
        """
        return self._decode_progress() if self.progress else None

    def _decode_progress(self) -> workloads.JobProgress:
        peer = self.job.identifier if self.job else ''
        progress = decoding.decode(
            PROGRESS_DECODER, self._encoded, READ_STEP, peer
        )
        if self.job is not None and not workloads.fits(self.job, progress):
            raise errors.RefusedError(
                READ_STEP, peer, 'the progress of a job with other steps'
            )
        return progress

    @property
    def phase(self) -> workloads.JobPhase:
        """Return the phase to report to callers.

        A cancelled job counts as cancelled even before the leader has updated
        its progress.
        """
        progress = self.progress
        phase = progress.phase if progress else workloads.JobPhase.QUEUED
        if self.cancelled and not phase.final:
            return workloads.JobPhase.CANCELLED
        return phase

    @property
    def reason(self) -> str:
        """Return why the job failed; empty if there is nothing to add."""
        return self.progress.reason if self.progress else ''


class LedgerListener(abc.ABC):
    """Handle changes of the ledger."""

    @abc.abstractmethod
    def handle_job(self, entry: JobEntry) -> None:
        """Handle a job that was accepted or cancelled."""

    @abc.abstractmethod
    def handle_ended_worker(self, worker: str) -> None:
        """Handle that a worker has ended, by the key of its incarnation."""

    @abc.abstractmethod
    def handle_sidecar(self, name: str, address: str) -> None:
        """Handle a new address of a sidecar."""


class Ledger(_followers.TopicFold):
    """Fold the system topic into jobs, sidecars and entries."""

    __slots__ = (
        'entries',
        'sidecars',
        'entry_addresses',
        'ended_workers',
        'silent_sidecars',
        'leaders',
        'learned',
        'load',
        'load_written_after',
        'listener',
        '_written_after',
        '_read_at',
        '_key_events',
    )

    def __init__(self) -> None:
        # The latest summary of the load, and a monotonic time that precedes
        # its record.
        self.load: LoadSummary | None = None
        self.load_written_after = float('-inf')
        # Monotonic time that precedes the records that are applied.
        self._written_after = float('-inf')
        # Monotonic time at which they were read; None before the first full
        # read has ended.
        self._read_at: float | None = None
        self.entries: dict[str, JobEntry] = {}
        self.sidecars: dict[str, str] = {}
        # Address for neighbours' requests, by the name of the entry.
        self.entry_addresses: dict[str, str] = {}
        # Key of the last worker that has ended, by the name of its sidecar.
        self.ended_workers: dict[str, str] = {}
        # Sidecars that the leader does not hear, by name.
        self.silent_sidecars: dict[str, KnownSilence] = {}
        # Leaders whose leases may not all have expired, by epoch.
        self.leaders: dict[int, LeaderRecord] = {}
        # Record of what a leader has learned, which only the next leader
        # decodes; empty if there is none.
        self.learned = b''
        self.listener: LedgerListener | None = None
        # Events to set when a record with the key is applied.
        self._key_events: dict[str, list[asyncio.Event]] = {}

    def begin_page(self, written_after: float, read_at: float) -> None:
        self._written_after = written_after
        self._read_at = read_at

    def apply(self, record: platform.Record) -> None:
        for key_event in self._key_events.get(record.key, ()):
            key_event.set()
        self._apply(record)

    async def wait_for(self, key: str) -> None:
        """Wait until a record with a key is applied."""
        event = asyncio.Event()
        waiting = self._key_events.setdefault(key, [])
        waiting.append(event)
        try:
            await event.wait()
        finally:
            waiting.remove(event)
            if not waiting:
                del self._key_events[key]

    def retain(self, keys: frozenset[str]) -> None:
        """Drop jobs whose key is not among the keys of a full read."""
        # It is not known how old a record of a full read is.
        self.load = None
        for identifier in tuple(self.entries):
            if JOB_PREFIX + identifier not in keys:
                del self.entries[identifier]
        if LEARNED_KEY not in keys:
            self.learned = b''
        for name in tuple(self.silent_sidecars):
            if SILENT_PREFIX + name not in keys:
                del self.silent_sidecars[name]
        for epoch in tuple(self.leaders):
            if f'{LEADER_PREFIX}{epoch}' not in keys:
                del self.leaders[epoch]

    def _apply(self, record: platform.Record) -> None:
        key = record.key
        if key.startswith(PROGRESS_PREFIX):
            self._apply_progress(key.removeprefix(PROGRESS_PREFIX), record)
        elif key.startswith(JOB_PREFIX):
            self._apply_job(key.removeprefix(JOB_PREFIX), record)
        elif key.startswith(CANCEL_PREFIX) and record.value:
            self._apply_cancel(key.removeprefix(CANCEL_PREFIX))
        elif key.startswith(WORKER_PREFIX):
            self._apply_sidecar(key.removeprefix(WORKER_PREFIX), record)
        elif key.startswith(ENTRY_PREFIX):
            self._apply_entry_address(key.removeprefix(ENTRY_PREFIX), record)
        elif key.startswith(ENDED_PREFIX) and record.value:
            self._apply_ended_worker(key.removeprefix(ENDED_PREFIX), record)
        elif key.startswith(SILENT_PREFIX):
            self._apply_silent_sidecar(key.removeprefix(SILENT_PREFIX), record)
        elif key.startswith(LEADER_PREFIX):
            self._apply_leader(key.removeprefix(LEADER_PREFIX), record)
        elif key == LEARNED_KEY:
            self.learned = record.value
        elif key == LOAD_KEY and record.value:
            self._apply_load(record.value)

    def _apply_job(self, identifier: str, record: platform.Record) -> None:
        if not record.value:
            self.entries.pop(identifier, None)
            return
        entry = self.entries.get(identifier)
        if entry is not None and entry.job is not None:
            # The same submission was stored again after a lost answer.
            return
        job = decode_job(record.value, identifier)
        entry = self._find_or_add(identifier)
        entry.job = job
        self._notify_listener(entry)

    def _apply_cancel(self, identifier: str) -> None:
        entry = self._find_or_add(identifier)
        if not entry.cancelled:
            entry.cancelled = True
            self._notify_listener(entry)

    def _apply_progress(
        self, identifier: str, record: platform.Record
    ) -> None:
        if record.value:
            self._find_or_add(identifier).set_encoded_progress(record.value)

    def _apply_sidecar(self, name: str, record: platform.Record) -> None:
        if not record.value:
            self.sidecars.pop(name, None)
            return
        address = decode_address(record.value, record.key)
        self.sidecars[name] = address
        if self.listener is not None:
            self.listener.handle_sidecar(name, address)

    def _apply_entry_address(self, name: str, record: platform.Record) -> None:
        if not record.value:
            self.entry_addresses.pop(name, None)
            return
        address = decode_address(record.value, record.key)
        self.entry_addresses[name] = address

    def _apply_ended_worker(self, name: str, record: platform.Record) -> None:
        worker = decoding.decode(
            ENDED_WORKER_DECODER, record.value, READ_STEP, record.key
        ).worker
        self.ended_workers[name] = worker
        if self.listener is not None:
            self.listener.handle_ended_worker(worker)

    def _apply_silent_sidecar(
        self, name: str, record: platform.Record
    ) -> None:
        if not record.value:
            self.silent_sidecars.pop(name, None)
            return
        silent = decoding.decode(
            SILENT_SIDECAR_DECODER, record.value, READ_STEP, record.key
        )
        if silent.lease_millis < 0:
            raise errors.RefusedError(
                READ_STEP, record.key, 'leases that end before the record'
            )
        self.silent_sidecars[name] = KnownSilence(silent, self._read_at)

    def _apply_leader(self, epoch: str, record: platform.Record) -> None:
        if not decoding.is_number(epoch):
            raise errors.RefusedError(READ_STEP, record.key, 'no epoch')
        if not record.value:
            self.leaders.pop(int(epoch), None)
            return
        leader = decoding.decode(
            LEADER_DECODER, record.value, READ_STEP, record.key
        )
        decoding.check_address(leader.address, READ_STEP, record.key)
        self.leaders[int(epoch)] = leader

    def _apply_load(self, value: bytes) -> None:
        summary = decoding.decode(LOAD_DECODER, value, READ_STEP, LOAD_KEY)
        decoding.check_finite(summary, READ_STEP, LOAD_KEY)
        if self.load is None or summary.epoch >= self.load.epoch:
            self.load = summary
            self.load_written_after = self._written_after

    def _find_or_add(self, identifier: str) -> JobEntry:
        return self.entries.setdefault(identifier, JobEntry())

    def _notify_listener(self, entry: JobEntry) -> None:
        if self.listener is not None and entry.job is not None:
            self.listener.handle_job(entry)
