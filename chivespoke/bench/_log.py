"""Measure the log's client: appends, bytes, replay and snapshots."""

import asyncio
import collections.abc
import time
import typing

import msgspec

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import standins

STREAM = 'bench'
APPEND_RATES = (50, 200, 400)
REPLAY_SIZES = (1_000, 10_000, 100_000)
# At the letter's rates a shard's append carries about this many.
RECORDS_IN_FRAME = 14
KEYS = 2_000
REPLAY_TARGET = 2.0
PAGE_RECORDS = 512
# Seconds between a stream's appends while rates are measured.
SPACING = 0.25
# Records kept waiting in each stream.
PRODUCER_DEPTH = 512
AUTHOR = identifiers.Incarnation('0123456789abcdef')


class BenchRecord(msgspec.Struct, frozen=True, array_like=True):
    """Set one key to a value, as a placement or a status would."""

    key: str
    attempt: int
    value: int


RECORD_ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER = msgspec.msgpack.Decoder(BenchRecord)
STATE_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])


class BenchFold(replication.Fold[BenchRecord]):
    """Hold the last value of each key."""

    __slots__ = ('values',)

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, int]] = {}

    def decode(self, record: bytes) -> BenchRecord:
        return RECORD_DECODER.decode(record)

    def apply(
        self, record: BenchRecord, position: replication.Position
    ) -> None:
        self.values[record.key] = (record.attempt, record.value)

    def encode_state(self) -> bytes:
        return RECORD_ENCODER.encode(self.values)

    def restore_state(self, state: bytes) -> None:
        self.values = STATE_DECODER.decode(state)


class AppendRate(msgspec.Struct, frozen=True):
    """Hold what a process commits at a bounded rate of appends."""

    allowed_appends_per_second: int
    appends_per_second: float
    records_per_second: float
    records_per_append: float
    # Of a core, of this whole process, the stand-in log included.
    core: float


class FrameSize(msgspec.Struct, frozen=True):
    """Hold the bytes of a frame."""

    records: int
    bytes_per_record: float
    overhead_per_record: float


class ReplayTime(msgspec.Struct, frozen=True):
    """Hold seconds to replay records, and to write and read a snapshot."""

    records: int
    replay: float
    snapshot_write: float
    snapshot_read: float
    snapshot_bytes: int
    target: float | None = None
    met: bool | None = None


class LogReport(msgspec.Struct, frozen=True):
    """Hold all measures of the log's client."""

    appends: tuple[AppendRate, ...]
    frames: tuple[FrameSize, ...]
    replays: tuple[ReplayTime, ...]


def make_record(number: int) -> bytes:
    """Return a record of the usual size."""
    return RECORD_ENCODER.encode(
        BenchRecord(f'job-{number % KEYS}/{number % 7}', 1, number)
    )


def make_frames(
    records: collections.abc.Sequence[bytes], in_frame: int
) -> list[bytes]:
    """Return the payloads of frames that carry some records each."""
    return [
        replication.encode_frame(
            replication.Frame(
                replication.FrameKind.RECORDS,
                AUTHOR,
                sequence,
                tuple(records[start : start + in_frame]),
            )
        )
        for sequence, start in enumerate(
            range(0, len(records), in_frame), start=1
        )
    ]


def measure_frames() -> tuple[FrameSize, ...]:
    """Measure the bytes of a record in frames of several sizes."""
    found = []
    for count in (1, RECORDS_IN_FRAME, 100):
        records = [make_record(number) for number in range(count)]
        size = len(make_frames(records, count)[0])
        payload = sum(len(record) for record in records)
        found.append(FrameSize(count, size / count, (size - payload) / count))
    return tuple(found)


async def measure_replay(
    payloads: collections.abc.Sequence[bytes],
    records: int,
    make_fold: collections.abc.Callable[[], replication.Fold[typing.Any]],
    target: float | None,
) -> ReplayTime:
    """Measure replaying payloads and starting from a snapshot."""
    log = standins.MemoryLog(clocks.SystemClock())
    for payload in payloads:
        await log.append(STREAM, payload)
    replica = replication.Replica(STREAM, make_fold())
    began = time.perf_counter()
    done = False
    while not done:
        page = await log.read(STREAM, replica.read_offset, PAGE_RECORDS, 0)
        done = replica.apply_page(page)
    replay = time.perf_counter() - began
    began = time.perf_counter()
    encoded = replica.encode_state()
    parts = replication.split_snapshot(identifiers.Offset(0), encoded)
    snapshot_write = time.perf_counter() - began
    began = time.perf_counter()
    fresh = replication.Replica(STREAM, make_fold())
    fresh.restore_peer_state(replication.assemble_snapshot(parts))
    snapshot_read = time.perf_counter() - began
    return ReplayTime(
        records,
        replay,
        snapshot_write,
        snapshot_read,
        sum(len(part) for part in parts),
        target,
        None if target is None else replay <= target,
    )


async def measure_appends(rate: int, seconds: float) -> AppendRate:
    """Measure what one process commits while producers keep it full."""
    clock = clocks.SystemClock()
    log = standins.MemoryLog(clock)
    committer = replication.GroupCommitter(
        log,
        clock,
        AUTHOR,
        replication.CommitLimits(
            linger_seconds=0.0,
            append_interval_seconds=SPACING,
            max_concurrent_appends=rate,
        ),
    )
    producers = [
        asyncio.ensure_future(_produce(committer, f'{STREAM}-{number}'))
        for number in range(int(rate * SPACING))
    ]
    await asyncio.sleep(2 * SPACING)
    appends, records = log.appends, committer.records
    began, core = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    passed = time.perf_counter() - began
    core = (time.process_time() - core) / passed
    appends = log.appends - appends
    records = committer.records - records
    for producer in producers:
        producer.cancel()
    await asyncio.gather(*producers, return_exceptions=True)
    await committer.stop()
    return AppendRate(
        rate,
        appends / passed,
        records / passed,
        records / max(appends, 1),
        core,
    )


async def _produce(committer: replication.GroupCommitter, stream: str) -> None:
    """Keep a stream's queue full; wait for one frame at a time."""
    record = make_record(1)
    while True:
        waiting = [
            committer.submit(stream, record) for _ in range(PRODUCER_DEPTH)
        ]
        await waiting[-1]


async def measure_log(seconds: float) -> LogReport:
    """Measure everything; each append rate for the given seconds."""
    replays = []
    for size in REPLAY_SIZES:
        records = [make_record(number) for number in range(size)]
        target = REPLAY_TARGET if size == max(REPLAY_SIZES) else None
        replays.append(
            await measure_replay(
                make_frames(records, RECORDS_IN_FRAME),
                size,
                BenchFold,
                target,
            )
        )
    appends = [await measure_appends(rate, seconds) for rate in APPEND_RATES]
    return LogReport(tuple(appends), measure_frames(), tuple(replays))
