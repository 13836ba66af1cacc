"""The replica: one process's copy of a stream's folded state."""

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
STEP = 'follow a stream'
# Authors whose last frame number is kept; the longest unused goes first.
AUTHOR_LIMIT = 4096
# Own checksums that are kept for comparison.
MARK_LIMIT = 64
# Payloads that are kept for peers that could not read them.
RECENT_BYTES = 4 * 1024 * 1024

FoldType = typing.TypeVar('FoldType', bound=_fold.Fold[typing.Any])


class AppliedFrame(msgspec.Struct, frozen=True, gc=False):
    """Tell a listener about a frame that has been folded."""

    kind: _frame.FrameKind
    author: identifiers.Incarnation
    sequence: int
    offset: identifiers.Offset
    # A repeated or overtaken frame has had no effect.
    repeated: bool


FrameListener = collections.abc.Callable[[AppliedFrame], None]


class MarkedState(msgspec.Struct, frozen=True, gc=False):
    """Hold the own state's checksum at a mark."""

    marker_offset: identifiers.Offset
    author: identifiers.Incarnation
    checksum: int


class Replica(typing.Generic[FoldType]):
    """Fold a stream in order, exactly once, from a base that is proven.

    The base is the stream's beginning, or a snapshot after whose mark every
    record was still readable. Until there is one the replica is not ready.
    A ready replica never takes a snapshot's state; it compares checksums.
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
        'last_mark',
        'last_snapshot',
        '_authors',
        '_marks',
        '_collector',
        '_waiting',
        '_recent',
        '_recent_bytes',
        '_listeners',
    )

    def __init__(self, stream: str, fold: FoldType) -> None:
        self.stream = stream
        self.fold: FoldType = fold
        self.next_offset = identifiers.Offset(0)
        self.is_ready = False
        # Why the replica stands still; the state is kept.
        self.fault: errors.ChivespokeError | None = None
        self.divergence: _snapshot.Divergence | None = None
        self.repeated_frames = 0
        self.earliest = identifiers.Offset(0)
        self.end = identifiers.Offset(0)
        self.last_mark: MarkedState | None = None
        # The mark of the newest complete snapshot in the stream.
        self.last_snapshot: identifiers.Offset | None = None
        self._authors: collections.OrderedDict[
            identifiers.Incarnation, int
        ] = collections.OrderedDict()
        self._marks: dict[identifiers.Offset, MarkedState] = {}
        self._collector = _snapshot.SnapshotCollector(stream)
        # Records read while there is no base yet.
        self._waiting: list[_log.LogRecord] = []
        self._recent: collections.deque[_log.LogRecord] = collections.deque()
        self._recent_bytes = 0
        self._listeners: list[FrameListener] = []

    def add_listener(self, listener: FrameListener) -> None:
        """Call the listener after each frame."""
        self._listeners.append(listener)

    @property
    def read_offset(self) -> identifiers.Offset:
        """Return where the next read should begin."""
        if self._waiting:
            return identifiers.Offset(self._waiting[-1].offset + 1)
        return self.next_offset

    def apply_page(self, page: _log.LogPage) -> bool:
        """Fold a page; tell whether the state now stands at its end."""
        self.earliest = page.earliest
        self.end = page.end
        if page.end < self.next_offset:
            self._stand_still('the stream ends before what was folded')
            return False
        if page.earliest > self.read_offset:
            self._lose_base(page.earliest)
        elif not self.is_ready and self.read_offset == 0:
            self.is_ready = True
        for record in page.records:
            if record.offset >= self.read_offset and not self._take(record):
                return False
        self.fault = None
        return self.is_ready and self.next_offset == page.end

    def encode_state(self) -> bytes:
        """Return the whole state, for a snapshot or a peer."""
        return _snapshot.encode_replica_state(
            _snapshot.ReplicaState(
                self.next_offset,
                tuple(self._authors.items()),
                self.fold.encode_state(),
            )
        )

    def restore_peer_state(self, encoded: bytes) -> bool:
        """Take a live peer's state when it is ahead of the own one."""
        state = _snapshot.decode_replica_state(encoded, self.stream)
        ahead = state.next_offset > self.next_offset or not self.is_ready
        # Records between the seed and what is still kept would be lost.
        if not ahead or state.next_offset < self.earliest:
            return False
        self._restore(state)
        return True

    def list_recent(
        self, start: identifiers.Offset
    ) -> tuple[_log.LogRecord, ...] | None:
        """Return the kept records from start on, None if some are gone."""
        if start >= self.next_offset:
            return ()
        if not self._recent or self._recent[0].offset > start:
            return None
        return tuple(rec for rec in self._recent if rec.offset >= start)

    def _lose_base(self, earliest: identifiers.Offset) -> None:
        if self.is_ready:
            LOGGER.warning(
                'Records expired before they were read; looking for a base.',
                stream=self.stream,
                next=self.next_offset,
                earliest=earliest,
            )
        # The state stays in service, but proves nothing until re-based.
        self.is_ready = False
        self._waiting = []
        self._collector = _snapshot.SnapshotCollector(self.stream)
        if self.next_offset < earliest:
            self.next_offset = earliest

    def _take(self, record: _log.LogRecord) -> bool:
        if record.offset != self.read_offset:
            self._stand_still(f'offset {self.read_offset} is missing')
            return False
        try:
            if self.is_ready:
                self._fold(record)
            else:
                self._look_for_base(record)
        except _frame.UnreadableError as error:
            self._stand_still(error.detail, record.offset)
            return False
        return True

    def _stand_still(
        self, detail: str, offset: identifiers.Offset | None = None
    ) -> None:
        at = self.read_offset if offset is None else offset
        fault = errors.ChivespokeError(
            STEP, f'{self.stream}@{at}', detail + '; the state is kept'
        )
        if self.fault is None or str(self.fault) != str(fault):
            LOGGER.error('A stream cannot be followed.', error=fault)
        self.fault = fault

    def _look_for_base(self, record: _log.LogRecord) -> None:
        first = self._waiting[0].offset if self._waiting else record.offset
        frame = _frame.decode_frame(record.payload, self.stream)
        self._waiting.append(record)
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
            state.next_offset >= self.next_offset or bool(self._waiting),
            'state only moves forward',
            self.stream,
        )
        self.fold.restore_state(state.fold)
        self._authors = collections.OrderedDict(state.authors)
        self._marks = {}
        self._recent.clear()
        self._recent_bytes = 0
        self.next_offset = state.next_offset
        errors.check_invariant(
            self.fold.encode_state() == state.fold,
            'a restored state encodes as it was',
            self.stream,
        )
        self.is_ready = True
        waiting, self._waiting = self._waiting, []
        self._collector = _snapshot.SnapshotCollector(self.stream)
        for record in waiting:
            if record.offset >= self.next_offset:
                self._fold(record)

    def _fold(self, record: _log.LogRecord) -> None:
        frame = _frame.decode_frame(record.payload, self.stream)
        repeated = frame.sequence <= self._authors.get(frame.author, 0)
        if repeated:
            self.repeated_frames += 1
        elif frame.kind is _frame.FrameKind.RECORDS:
            self._apply_records(frame, record.offset)
        if not repeated:
            self._note_author(frame)
        self.next_offset = identifiers.Offset(record.offset + 1)
        self._keep_recent(record)
        if not repeated and frame.kind is _frame.FrameKind.MARKER:
            self._note_mark(frame, record.offset)
        if not repeated and frame.kind is _frame.FrameKind.SNAPSHOT:
            self._compare_snapshot(frame)
        applied = AppliedFrame(
            frame.kind, frame.author, frame.sequence, record.offset, repeated
        )
        for listener in self._listeners:
            listener(applied)

    def _apply_records(
        self, frame: _frame.Frame, offset: identifiers.Offset
    ) -> None:
        # All are decoded first, so that no frame is applied in part.
        decoded = [self.fold.decode(record) for record in frame.records]
        for index, record in enumerate(decoded):
            self.fold.apply(
                record, _fold.Position(offset, index, frame.author)
            )

    def _note_author(self, frame: _frame.Frame) -> None:
        self._authors[frame.author] = frame.sequence
        self._authors.move_to_end(frame.author)
        if len(self._authors) > AUTHOR_LIMIT:
            self._authors.popitem(last=False)

    def _keep_recent(self, record: _log.LogRecord) -> None:
        self._recent.append(record)
        self._recent_bytes += len(record.payload)
        while self._recent_bytes > RECENT_BYTES and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().payload)

    def _note_mark(
        self, frame: _frame.Frame, offset: identifiers.Offset
    ) -> None:
        checksum = _snapshot.compute_checksum(self.encode_state())
        self.last_mark = MarkedState(offset, frame.author, checksum)
        self._marks[offset] = self.last_mark
        while len(self._marks) > MARK_LIMIT:
            del self._marks[next(iter(self._marks))]

    def _compare_snapshot(self, frame: _frame.Frame) -> None:
        part = _snapshot.decode_part(frame.records[0], self.stream)
        if part.part == part.parts - 1:
            if (
                self.last_snapshot is None
                or part.marker_offset > self.last_snapshot
            ):
                self.last_snapshot = part.marker_offset
        own = self._marks.get(part.marker_offset)
        if own is None or own.checksum == part.checksum:
            return
        self.divergence = _snapshot.Divergence(
            part.marker_offset, own.checksum, part.checksum, frame.author
        )
        LOGGER.error(
            'Two processes folded the same records differently.',
            stream=self.stream,
            mark=part.marker_offset,
            author=frame.author,
        )
