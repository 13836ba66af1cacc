"""The size of a fleet and how the system is laid out over it."""

import pathlib
import typing

import msgspec

from chivespoke import yaml_files

STEP = 'read fleet size'
SECONDS_PER_DAY = 86_400.0
SECONDS_PER_WEEK = 7 * SECONDS_PER_DAY
SECONDS_PER_MONTH = 30 * SECONDS_PER_DAY

Count = typing.Annotated[int, msgspec.Meta(gt=0)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]


class Budget(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bound what one daemon may spend for control."""

    # Share of one core, bytes resident, and bytes a second both ways.
    core: Positive = 0.014
    memory: Positive = 128_000_000
    traffic: Positive = 3_000


class Failures(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Say how often things fail."""

    instance_failures_per_day: Amount = 170
    replacements_per_day: Amount = 980
    racks_per_week: Amount = 1
    data_centres_per_month: Amount = 0.5
    # Longest time for which regions lose each other.
    region_cut_seconds: Amount = 300


class Layout(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Say how the system's processes are laid out."""

    entries: Count = 36
    # Worker groups; each has one owner and one stream of the log.
    shards: Count = 76
    # Processes that may own shards: entries, or sidecars as well.
    owners: Count = 76
    # Entries that one sidecar keeps a connection to.
    entries_per_sidecar: Count = 36
    # Other entries that one entry hears from.
    peers_per_entry: Count = 35
    workers_per_rack: Count = 3
    # Appends a second that the log accepts over all streams.
    log_appends: Positive = 400
    # Appends a second of one busy stream.
    appends_per_stream: Positive = 4
    snapshot_seconds: Positive = 300


class FleetSize(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the numbers that the system is to carry."""

    workers: Count
    accelerators: Amount = 0
    jobs_per_day: Amount
    peak_starts: Amount
    latency_critical_tasks: Amount
    batch_tasks: Amount
    teams: Count
    regions: Count
    data_centres: Count
    urgent_start_seconds: Positive = 1.3
    changes_per_day: Amount
    change_seconds: Positive = 16
    budget: Budget = Budget()
    failures: Failures = Failures()
    layout: Layout = Layout()


def read_size(path: pathlib.Path) -> FleetSize:
    """Read and check a fleet's size; raise SettingsError."""
    return yaml_files.read_yaml(path, FleetSize, STEP)
