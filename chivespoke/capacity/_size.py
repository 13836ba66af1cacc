"""Fleet sizes: load, cost budgets, failure rates and topology."""

import pathlib
import typing

import msgspec

from chivespoke import yaml_files

STEP = 'read fleet size'
SECONDS_PER_DAY = 86_400.0
SECONDS_PER_WEEK = 7 * SECONDS_PER_DAY
SECONDS_PER_MONTH = 30 * SECONDS_PER_DAY

PositiveCount = typing.Annotated[int, msgspec.Meta(gt=0)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]


class Budget(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits on the control overhead of one process."""

    # Fraction of one core, resident bytes, and bytes per second sent and
    # received.
    core: Positive = 0.014
    memory: Positive = 128_000_000
    traffic: Positive = 3_000


class Failures(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Expected failure rates."""

    instance_failures_per_day: NonNegative = 170
    replacements_per_day: NonNegative = 980
    racks_per_week: NonNegative = 1
    data_centres_per_month: NonNegative = 0.5
    # Longest network partition between regions.
    region_cut_seconds: NonNegative = 300


class Layout(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Number of processes of each kind and the connections between them."""

    entries: PositiveCount = 36
    # Worker groups, each with one owner and one log stream.
    shards: PositiveCount = 76
    # Processes that may own shards: entries, and optionally sidecars.
    owners: PositiveCount = 76
    # Entries to which one sidecar keeps a connection.
    entries_per_sidecar: PositiveCount = 36
    # Other entries from which one entry receives messages.
    peers_per_entry: PositiveCount = 35
    workers_per_rack: PositiveCount = 3
    # Appends per second that the log accepts across all streams.
    log_appends: Positive = 400
    # Appends per second to one busy stream.
    appends_per_stream: Positive = 4
    snapshot_seconds: Positive = 300


class FleetSize(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Load that the system must support, and its latency targets."""

    workers: PositiveCount
    accelerators: NonNegative = 0
    jobs_per_day: NonNegative
    peak_starts: NonNegative
    latency_critical_tasks: NonNegative
    batch_tasks: NonNegative
    teams: PositiveCount
    regions: PositiveCount
    data_centres: PositiveCount
    urgent_start_seconds: Positive = 1.3
    changes_per_day: NonNegative
    change_seconds: Positive = 16
    budget: Budget = Budget()
    failures: Failures = Failures()
    layout: Layout = Layout()


def read_size(path: pathlib.Path) -> FleetSize:
    """Read a fleet size from a YAML file.

    Raises SettingsError if the file is invalid.
    """
    return yaml_files.read_yaml(path, FleetSize, STEP)
