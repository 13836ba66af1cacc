"""The record of what a leader has learned.

The record is bounded in size, since all entries read it. Numbers are integers:
values in hundredths, weights in tenths of octaves. One that is out of range,
or not an integer, makes the record undecodable.
"""

import collections.abc
import math
import typing

import msgspec

from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import decoding
from chivespoke import errors

MAX_RECORD_BYTES = 16_384
# Number of steps, the latest ones, whose typical work is recorded.
MAX_RECORDED_STEPS = 256
# Change of a number of the record from which on it counts as changed: 0.1, or
# twice the weight.
MATERIAL_CHANGE = 10
# Weight below which an item is not recorded: a tenth of the weight of what is
# assumed without samples.
MIN_PAIR_WEIGHT = 0.002
MIN_WEIGHT = 0.2

Hundredths: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=-3000, le=3000)
]
Positive: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=30_000)
]
Weight: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=-100, le=100)]
NameIndex: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, lt=MAX_RECORD_BYTES)
]
TaskCount: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=1, le=100)]


class PairRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold the interference of a pair of images."""

    serving: NameIndex
    filler: NameIndex
    coefficient: Hundredths
    weight: Weight


class FitRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the estimates of a queue are worth."""

    queue: NameIndex
    declared: bool
    weight: Weight
    mean_log_declared: Hundredths
    mean_log_ratio: Hundredths
    variance: Positive
    slope: Hundredths
    spread: Positive


class ImageRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the estimates for an image of a queue are worth."""

    queue: NameIndex
    declared: bool
    image: NameIndex
    weight: Weight
    mean_log_declared: Hundredths
    mean_log_ratio: Hundredths


class StepRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold the typical work of a step."""

    step_id: str
    log_seconds: Hundredths
    tasks: TaskCount


class LearnedRecord(msgspec.Struct, frozen=True):
    """Hold what a leader has learned, as stored."""

    # Wall-clock time, in milliseconds since 1970.
    written_ms: typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    # Names of images and queues.
    names: tuple[str, ...] = ()
    pairs: tuple[PairRecord, ...] = ()
    fits: tuple[FitRecord, ...] = ()
    images: tuple[ImageRecord, ...] = ()
    steps: tuple[StepRecord, ...] = ()


class LearnedState(msgspec.Struct, frozen=True):
    """Hold what a leader has learned."""

    pairs: tuple[decisions.CoefficientState, ...]
    durations: decisions.DurationState


RECORD_DECODER = msgspec.msgpack.Decoder(LearnedRecord)

# Numbers of each item of a record by what it describes.
Contents: typing.TypeAlias = dict[tuple[str, ...], tuple[int, ...]]


def make_record(learned: LearnedState, wall: float) -> LearnedRecord:
    """Return the record of what is learned, within MAX_RECORD_BYTES.

    What rests on the least evidence, or was not used for long, is left out.
    """
    pairs = sorted(
        (
            pair
            for pair in learned.pairs
            if pair.weight >= MIN_PAIR_WEIGHT
            and math.isfinite(pair.coefficient)
        ),
        key=lambda pair: -pair.weight,
    )
    fits = [fit for fit in learned.durations.fits if fit.weight >= MIN_WEIGHT]
    images = [
        item
        for item in reversed(learned.durations.images)
        if item.weight >= MIN_WEIGHT
    ]
    steps = learned.durations.steps[: -MAX_RECORDED_STEPS - 1 : -1]
    share = 1.0
    while True:
        kept = LearnedState(
            take_share(pairs, share),
            decisions.DurationState(
                take_share(fits, share),
                take_share(images, share),
                take_share(steps, share),
            ),
        )
        record = write_record(kept, wall)
        size = len(_records.ENCODER.encode(record))
        if size <= MAX_RECORD_BYTES:
            return record
        share *= 0.9 * MAX_RECORD_BYTES / size


_Item = typing.TypeVar('_Item')


def take_share(
    items: collections.abc.Sequence[_Item], share: float
) -> tuple[_Item, ...]:
    """Return the first items up to a share of their number."""
    return tuple(items[: int(share * len(items))])


def write_record(learned: LearnedState, wall: float) -> LearnedRecord:
    """Return a record of all that is given."""
    indexes: dict[str, int] = {}

    def index(name: str) -> int:
        return indexes.setdefault(name, len(indexes))

    durations = learned.durations
    pairs = tuple(
        PairRecord(
            index(pair.serving),
            index(pair.filler),
            round_value(pair.coefficient),
            round_weight(pair.weight),
        )
        for pair in learned.pairs
    )
    fits = tuple(
        FitRecord(
            index(fit.queue),
            fit.declared,
            round_weight(fit.weight),
            round_value(fit.mean_log_declared),
            round_value(fit.mean_log_ratio),
            round(max(0.0, min(30_000.0, 100 * fit.variance))),
            round_value(fit.slope),
            max(0, round_value(fit.spread)),
        )
        for fit in durations.fits
    )
    images = tuple(
        ImageRecord(
            index(item.queue),
            item.declared,
            index(item.image),
            round_weight(item.weight),
            round_value(item.mean_log_declared),
            round_value(item.mean_log_ratio),
        )
        for item in durations.images
    )
    steps = tuple(
        StepRecord(
            item.step_id,
            round_value(item.log_seconds),
            max(1, min(100, item.tasks)),
        )
        for item in durations.steps
    )
    return LearnedRecord(
        max(0, int(wall * 1000)), tuple(indexes), pairs, fits, images, steps
    )


def decode_record(encoded: bytes) -> LearnedRecord:
    """Decode a record.

    Raises RefusedError if it cannot be decoded, or its numbers are unusable.
    """
    return decoding.decode(
        RECORD_DECODER, encoded, 'decode', 'the record of what was learned'
    )


def read_record(record: LearnedRecord) -> LearnedState:
    """Return what a record holds.

    Raises RefusedError if it refers to a name that it does not hold.
    """

    def name(number: int) -> str:
        if number >= len(record.names):
            raise errors.RefusedError(
                'read', 'the record of what was learned', 'unknown name'
            )
        return record.names[number]

    return LearnedState(
        tuple(
            decisions.CoefficientState(
                name(pair.serving),
                name(pair.filler),
                pair.coefficient / 100,
                read_weight(pair.weight),
            )
            for pair in record.pairs
        ),
        decisions.DurationState(
            tuple(
                decisions.FitState(
                    name(fit.queue),
                    fit.declared,
                    read_weight(fit.weight),
                    fit.mean_log_declared / 100,
                    fit.mean_log_ratio / 100,
                    fit.variance / 100,
                    fit.slope / 100,
                    fit.spread / 100,
                )
                for fit in record.fits
            ),
            # The latest are the first of the record.
            tuple(
                decisions.ImageState(
                    name(item.queue),
                    item.declared,
                    name(item.image),
                    read_weight(item.weight),
                    item.mean_log_declared / 100,
                    item.mean_log_ratio / 100,
                )
                for item in reversed(record.images)
            ),
            tuple(
                decisions.StepState(
                    item.step_id, item.log_seconds / 100, item.tasks
                )
                for item in reversed(record.steps)
            ),
        ),
    )


def list_contents(record: LearnedRecord) -> Contents:
    """Return the numbers of a record by what they describe."""
    names = record.names
    contents: Contents = {}
    for pair in record.pairs:
        contents['pair', names[pair.serving], names[pair.filler]] = (
            pair.coefficient,
            pair.weight,
        )
    for fit in record.fits:
        contents['fit', names[fit.queue], str(fit.declared)] = (
            msgspec.structs.astuple(fit)[2:]
        )
    for image in record.images:
        key = (
            *('image', names[image.queue]),
            *(str(image.declared), names[image.image]),
        )
        contents[key] = msgspec.structs.astuple(image)[3:]
    for step in record.steps:
        contents['step', step.step_id] = (step.log_seconds, step.tasks)
    return contents


def is_changed(before: Contents, after: Contents) -> bool:
    """Return whether the contents of a record differ materially."""
    return before.keys() != after.keys() or any(
        abs(left - right) >= MATERIAL_CHANGE
        for key, numbers in after.items()
        for left, right in zip(before[key], numbers, strict=True)
    )


def round_value(value: float) -> int:
    """Return a value in hundredths, within the range of records."""
    return round(max(-3000.0, min(3000.0, 100 * value)))


def round_weight(weight: float) -> int:
    """Return a positive weight in tenths of octaves."""
    return round(max(-100.0, min(100.0, 10 * math.log2(weight))))


def read_weight(number: int) -> float:
    """Return the weight of a number in tenths of octaves."""
    return math.exp2(number / 10)
