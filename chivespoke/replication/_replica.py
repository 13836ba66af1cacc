"""Replicas: one process's copy of the state of a stream."""

import collections
import collections.abc
import typing

import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.replication import _fold
from chivespoke.replication import _frame
from chivespoke.replication import _log
from chivespoke.replication import _snapshot

LOGGER = logs.make_logger('replica')
STEP = 'replay a stream'
# Authors whose last frame number is remembered; least recently used ones are
# evicted.
MAX_AUTHORS = 4096
# Checksums that are remembered to compare with snapshots of other processes.
MAX_OWN_CHECKSUMS = 64
# Recent payloads are cached for peers that cannot read the log.
MAX_RECENT_BYTES = 4 * 1024 * 1024

FoldType = typing.TypeVar('FoldType', bound=_fold.Fold[typing.Any])


class AppliedFrame(msgspec.Struct, frozen=True, gc=False):
    """Describe to listeners a frame that was read and applied."""

    kind: _frame.FrameKind
    author: identifiers.Incarnation
    sequence: int
    offset: identifiers.Offset
    # Whether the frame was a repeated or late append and had no effect.
    repeated: bool


FrameListener = collections.abc.Callable[[AppliedFrame], None]


class OwnChecksum(msgspec.Struct, frozen=True, gc=False):
    """Hold the checksum of this replica's state at a marker."""

    marker_offset: identifiers.Offset
    author: identifiers.Incarnation
    checksum: int


class Replica(typing.Generic[FoldType]):
    """Apply each record of a stream exactly once and in order.

    Replay begins at a base: the beginning of the stream, or a snapshot all of
    whose records after the marker could still be read. Until it has a base,
    the replica is not ready. A ready replica never restores a snapshot; it
    only compares the snapshot's checksum with its own.
    """

    __slots__ = (
        'stream',
        'fold',
        'next_offset',
        'is_ready',
        'fault',
        'divergence',
        'repeated_frames',
        'earliest',
        'end',
        'last_marker',
        'last_snapshot',
        '_authors',
        '_own_checksums',
        '_collector',
        '_buffered',
        '_recent',
        '_recent_bytes',
        '_listeners',
    )

    def __init__(self, stream: str, fold: FoldType) -> None:
        self.stream = stream
        self.fold: FoldType = fold
        self.next_offset = identifiers.Offset(0)
        self.is_ready = False
        # Why replay stopped; the state stays as it was before the fault.
        self.fault: errors.ChivespokeError | None = None
        self.divergence: _snapshot.Divergence | None = None
        self.repeated_frames = 0
        self.earliest = identifiers.Offset(0)
        self.end = identifiers.Offset(0)
        self.last_marker: OwnChecksum | None = None
        # The marker offset of the newest complete snapshot.
        self.last_snapshot: identifiers.Offset | None = None
        self._authors: collections.OrderedDict[
            identifiers.Incarnation, int
        ] = collections.OrderedDict()
        self._own_checksums: dict[identifiers.Offset, OwnChecksum] = {}
        self._collector = _snapshot.SnapshotCollector(stream)
        # Records read while the replica has no base.
        self._buffered: list[_log.LogRecord] = []
        self._recent: collections.deque[_log.LogRecord] = collections.deque()
        self._recent_bytes = 0
        self._listeners: list[FrameListener] = []

    def add_listener(self, listener: FrameListener) -> None:
        """Call the listener after each applied frame."""
        self._listeners.append(listener)

    @property
    def read_offset(self) -> identifiers.Offset:
        """Return the offset at which the next read begins."""
        if self._buffered:
            return identifiers.Offset(self._buffered[-1].offset + 1)
        return self.next_offset

    def apply_page(self, page: _log.LogPage) -> bool:
        """Apply a page; return whether the state is at the stream's end.

        A fault stops replay and is stored in ``fault``.
        """
        self.earliest = page.earliest
        self.end = page.end
        if page.end < self.next_offset:
            self._record_fault(
                'the stream ends before the records that were applied'
            )
            return False
        if page.earliest > self.read_offset:
            self._discard_base(page.earliest)
        elif not self.is_ready and self.read_offset == 0:
            self.is_ready = True
        for record in page.records:
            if record.offset >= self.read_offset and not self._accept_record(
                record
            ):
                return False
        self.fault = None
        return self.is_ready and self.next_offset == page.end

    def encode_state(self) -> bytes:
        """Encode the whole state for a snapshot or a peer."""
        return _snapshot.encode_replica_state(
            _snapshot.ReplicaState(
                self.next_offset,
                tuple(self._authors.items()),
                self.fold.encode_state(),
            )
        )

    def restore_peer_state(self, encoded: bytes) -> bool:
        """Restore a peer's state if it is ahead; return whether it was.

        Raise UnreadableError.
        """
        state = _snapshot.decode_replica_state(encoded, self.stream)
        ahead = state.next_offset > self.next_offset or not self.is_ready
        # If the peer's state ends before the earliest retained record, the
        # records between them could never be applied.
        if not ahead or state.next_offset < self.earliest:
            return False
        self._restore(state)
        return True

    def list_recent(
        self, start: identifiers.Offset
    ) -> tuple[_log.LogRecord, ...] | None:
        """Return the cached records from start on; None if one is gone."""
        if start >= self.next_offset:
            return ()
        if not self._recent or self._recent[0].offset > start:
            return None
        return tuple(rec for rec in self._recent if rec.offset >= start)

    def _discard_base(self, earliest: identifiers.Offset) -> None:
        if self.is_ready:
            LOGGER.warning(
                'Records expired before they were read; a snapshot is needed.',
                stream=self.stream,
                next=self.next_offset,
                earliest=earliest,
            )
        # The old state is still served, but does not count as current until
        # a new base is restored.
        self.is_ready = False
        self._buffered = []
        self._collector = _snapshot.SnapshotCollector(self.stream)
        if self.next_offset < earliest:
            self.next_offset = earliest

    def _accept_record(self, record: _log.LogRecord) -> bool:
        if record.offset != self.read_offset:
            self._record_fault(f'offset {self.read_offset} is missing')
            return False
        try:
            if self.is_ready:
                self._fold_record(record)
            else:
                self._buffer_until_base(record)
        except _frame.UnreadableError as error:
            self._record_fault(error.detail, record.offset)
            return False
        return True

    def _record_fault(
        self, detail: str, offset: identifiers.Offset | None = None
    ) -> None:
        at = self.read_offset if offset is None else offset
        fault = errors.ChivespokeError(
            STEP,
            f'{self.stream}@{at}',
            detail + '; the state before it is kept',
        )
        if self.fault is None or str(self.fault) != str(fault):
            LOGGER.error('Replay of a stream stopped.', error=fault)
        self.fault = fault

    def _buffer_until_base(self, record: _log.LogRecord) -> None:
        first = self._buffered[0].offset if self._buffered else record.offset
        frame = _frame.decode_frame(record.payload, self.stream)
        self._buffered.append(record)
        if frame.kind is not _frame.FrameKind.SNAPSHOT:
            return
        part = _snapshot.decode_part(frame.records[0], self.stream)
        if part.marker_offset + 1 < first:
            return
        encoded = self._collector.add(frame.author, part)
        if encoded is None:
            return
        state = _snapshot.decode_replica_state(encoded, self.stream)
        self.last_snapshot = part.marker_offset
        self._restore(state)

    def _restore(self, state: _snapshot.ReplicaState) -> None:
        errors.check_invariant(
            state.next_offset >= self.next_offset or bool(self._buffered),
            'state only moves forward',
            self.stream,
        )
        self.fold.restore_state(state.fold)
        self._authors = collections.OrderedDict(state.authors)
        self._own_checksums = {}
        self._recent.clear()
        self._recent_bytes = 0
        self.next_offset = state.next_offset
        errors.check_invariant(
            self.fold.encode_state() == state.fold,
            'a restored state encodes as it was',
            self.stream,
        )
        self.is_ready = True
        buffered, self._buffered = self._buffered, []
        self._collector = _snapshot.SnapshotCollector(self.stream)
        for record in buffered:
            if record.offset >= self.next_offset:
                self._fold_record(record)

    def _fold_record(self, record: _log.LogRecord) -> None:
        frame = _frame.decode_frame(record.payload, self.stream)
        repeated = frame.sequence <= self._authors.get(frame.author, 0)
        if repeated:
            self.repeated_frames += 1
        elif frame.kind is _frame.FrameKind.RECORDS:
            self._apply_records(frame, record.offset)
        if not repeated:
            self._record_author(frame)
        self.next_offset = identifiers.Offset(record.offset + 1)
        self._cache_recent(record)
        if not repeated and frame.kind is _frame.FrameKind.MARKER:
            self._record_own_checksum(frame, record.offset)
        if not repeated and frame.kind is _frame.FrameKind.SNAPSHOT:
            self._verify_checksum(frame)
        applied = AppliedFrame(
            frame.kind, frame.author, frame.sequence, record.offset, repeated
        )
        for listener in self._listeners:
            listener(applied)

    def _apply_records(
        self, frame: _frame.Frame, offset: identifiers.Offset
    ) -> None:
        # Decode all records first so that no frame is applied in part.
        decoded = [self.fold.decode(record) for record in frame.records]
        for index, record in enumerate(decoded):
            self.fold.apply(
                record, _fold.Position(offset, index, frame.author)
            )

    def _record_author(self, frame: _frame.Frame) -> None:
        self._authors[frame.author] = frame.sequence
        self._authors.move_to_end(frame.author)
        if len(self._authors) > MAX_AUTHORS:
            self._authors.popitem(last=False)

    def _cache_recent(self, record: _log.LogRecord) -> None:
        self._recent.append(record)
        self._recent_bytes += len(record.payload)
        while self._recent_bytes > MAX_RECENT_BYTES and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().payload)

    def _record_own_checksum(
        self, frame: _frame.Frame, offset: identifiers.Offset
    ) -> None:
        checksum = _snapshot.compute_checksum(self.encode_state())
        self.last_marker = OwnChecksum(offset, frame.author, checksum)
        self._own_checksums[offset] = self.last_marker
        while len(self._own_checksums) > MAX_OWN_CHECKSUMS:
            del self._own_checksums[next(iter(self._own_checksums))]

    def _verify_checksum(self, frame: _frame.Frame) -> None:
        part = _snapshot.decode_part(frame.records[0], self.stream)
        if part.part_index == part.part_count - 1:
            if (
                self.last_snapshot is None
                or part.marker_offset > self.last_snapshot
            ):
                self.last_snapshot = part.marker_offset
        own_checksum = self._own_checksums.get(part.marker_offset)
        if own_checksum is None or own_checksum.checksum == part.checksum:
            return
        self.divergence = _snapshot.Divergence(
            part.marker_offset,
            own_checksum.checksum,
            part.checksum,
            frame.author,
        )
        LOGGER.error(
            'The state checksum of another process differs at a marker.',
            stream=self.stream,
            mark=part.marker_offset,
            author=frame.author,
        )
