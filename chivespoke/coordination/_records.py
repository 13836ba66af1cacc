"""Records of the system's own topic, and the fold over them."""

import abc
import asyncio

import msgspec

from chivespoke.coordination import _followers
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('ledger')

SYSTEM_TOPIC = f'{platform.KEYED_PREFIX}chivespoke'
JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
PROGRESS_PREFIX = 'progress/'
WORKER_PREFIX = 'worker/'

JOB_DECODER = msgspec.msgpack.Decoder(workloads.Job)
PROGRESS_DECODER = msgspec.msgpack.Decoder(workloads.JobProgress)
ENCODER = msgspec.msgpack.Encoder()


class SidecarRecord(msgspec.Struct, frozen=True):
    """Tell where the sidecar of a worker takes orders."""

    address: str


SIDECAR_DECODER = msgspec.msgpack.Decoder(SidecarRecord)


def encode_job(job: workloads.Job) -> bytes:
    """Return the record of an accepted job."""
    return platform.encode_record(
        JOB_PREFIX + job.identifier, ENCODER.encode(job)
    )


def encode_cancel(identifier: str, now_ms: int) -> bytes:
    """Return the record of a job's cancelling."""
    return platform.encode_record(
        CANCEL_PREFIX + identifier, ENCODER.encode(now_ms)
    )


def encode_progress(identifier: str, progress: workloads.JobProgress) -> bytes:
    """Return the record of a job's progress."""
    return platform.encode_record(
        PROGRESS_PREFIX + identifier, ENCODER.encode(progress)
    )


def encode_removal(identifier: str) -> tuple[bytes, bytes, bytes]:
    """Return the records that drop all that is kept of a job."""
    return (
        platform.encode_record(JOB_PREFIX + identifier, b''),
        platform.encode_record(CANCEL_PREFIX + identifier, b''),
        platform.encode_record(PROGRESS_PREFIX + identifier, b''),
    )


def encode_sidecar(name: str, address: str) -> bytes:
    """Return the record of a sidecar's address."""
    return platform.encode_record(
        WORKER_PREFIX + name, ENCODER.encode(SidecarRecord(address))
    )


class JobEntry:
    """Hold what the ledger says of one job."""

    __slots__ = ('job', 'cancelled', '_encoded', '_progress')

    def __init__(self) -> None:
        self.job: workloads.Job | None = None
        self.cancelled = False
        self._encoded = b''
        self._progress: workloads.JobProgress | None = None

    def put_progress(self, encoded: bytes) -> None:
        """Replace the progress; it is decoded when it is asked for."""
        self._encoded = encoded
        self._progress = None

    @property
    def progress(self) -> workloads.JobProgress | None:
        """Return the recorded progress, None before the first record."""
        if self._progress is None and self._encoded:
            self._progress = PROGRESS_DECODER.decode(self._encoded)
        return self._progress

    def copy_progress(self) -> workloads.JobProgress | None:
        """Return the recorded progress for a leader to change.

        What a leader changes is not recorded yet, and may never be.
        """
        if not self._encoded:
            return None
        return PROGRESS_DECODER.decode(self._encoded)

    @property
    def phase(self) -> workloads.JobPhase:
        """Return the phase that callers are told."""
        progress = self.progress
        phase = progress.phase if progress else workloads.JobPhase.QUEUED
        if self.cancelled and not phase.final:
            return workloads.JobPhase.CANCELLED
        return phase


class Listener(abc.ABC):
    """Hear of changes that others make."""

    @abc.abstractmethod
    def take_job(self, entry: JobEntry) -> None:
        """Hear of a job that was accepted or cancelled."""

    @abc.abstractmethod
    def take_sidecar(self, name: str, address: str) -> None:
        """Hear of a sidecar's address."""


class Ledger(_followers.TopicFold):
    """Fold the system's topic into jobs and sidecars."""

    __slots__ = ('entries', 'sidecars', 'listener', '_awaited')

    def __init__(self) -> None:
        self.entries: dict[str, JobEntry] = {}
        self.sidecars: dict[str, str] = {}
        self.listener: Listener | None = None
        # By key.
        self._awaited: dict[str, asyncio.Event] = {}

    def apply(self, record: platform.Record) -> None:
        """Apply one record; a record that cannot be read is passed over."""
        awaited = self._awaited.get(record.key)
        if awaited is not None:
            awaited.set()
        try:
            self._apply(record)
        except msgspec.MsgspecError as error:
            LOGGER.error(
                'A record cannot be read; passed over.',
                key=record.key,
                offset=record.offset,
                error=str(error),
            )

    async def wait_for(self, key: str) -> None:
        """Return once a record under a key is applied."""
        event = self._awaited.setdefault(key, asyncio.Event())
        try:
            await event.wait()
        finally:
            self._awaited.pop(key, None)

    def retain(self, keys: frozenset[str]) -> None:
        """Forget what is not under these keys, after a whole reading."""
        for identifier in tuple(self.entries):
            if JOB_PREFIX + identifier not in keys:
                del self.entries[identifier]

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

    def _apply_job(self, identifier: str, record: platform.Record) -> None:
        if not record.value:
            self.entries.pop(identifier, None)
            return
        entry = self._find(identifier)
        if entry.job is not None:
            # The same submission, recorded once more after a lost answer.
            return
        entry.job = JOB_DECODER.decode(record.value)
        self._tell(entry)

    def _apply_cancel(self, identifier: str) -> None:
        entry = self._find(identifier)
        if not entry.cancelled:
            entry.cancelled = True
            self._tell(entry)

    def _apply_progress(
        self, identifier: str, record: platform.Record
    ) -> None:
        if record.value:
            self._find(identifier).put_progress(record.value)

    def _apply_sidecar(self, name: str, record: platform.Record) -> None:
        if not record.value:
            self.sidecars.pop(name, None)
            return
        address = SIDECAR_DECODER.decode(record.value).address
        self.sidecars[name] = address
        if self.listener is not None:
            self.listener.take_sidecar(name, address)

    def _find(self, identifier: str) -> JobEntry:
        return self.entries.setdefault(identifier, JobEntry())

    def _tell(self, entry: JobEntry) -> None:
        if self.listener is not None and entry.job is not None:
            self.listener.take_job(entry)
