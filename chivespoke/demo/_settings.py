"""Settings of the demonstration: the size of one user's deployment."""

import pathlib
import typing

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import yaml_files

STEP = 'read demo settings'

Count = typing.Annotated[int, msgspec.Meta(gt=0, le=1000)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]


class DemoService(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe the called service."""

    name: identifiers.ServiceName
    runners: Count = 10
    slots: Count = 8
    connections: Count = 60
    # Run time of a call on a backend server, in seconds.
    work_seconds: Positive = 0.004
    size: resources.Resources = resources.Resources(2000, 4096, 0)


class DemoJob(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe the submitted batch job."""

    name: str
    tasks: Count = 20
    task_seconds: Positive = 6.0
    size: resources.Resources = resources.Resources(2000, 4096, 0)


class DemoWorkers(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe the workers."""

    count: Count = 10
    capacity: resources.Resources
    per_rack: Count = 3


class DemoSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the size of a user's deployment and of the scenario."""

    user: str
    region: str
    data_centres: tuple[identifiers.DataCentreName, ...]
    team: identifiers.TeamName
    entries: Count = 2
    service: DemoService
    job: DemoJob
    workers: DemoWorkers
    calls: Count = 200
    weights: operators.Weights = operators.Weights()

    def __post_init__(self) -> None:
        if len(self.data_centres) < 2:
            raise ValueError(
                'data_centres must name two or more, since one is taken out'
            )


def read_demo_settings(path: pathlib.Path) -> DemoSettings:
    """Read and validate a settings file; raise SettingsError."""
    return yaml_files.read_yaml(path, DemoSettings, STEP)


# The deployment of Kandy Tallyworks; equal to examples/kandy_tallyworks.yaml.
DEFAULT_SETTINGS = DemoSettings(
    user='Kandy Tallyworks',
    region='western',
    data_centres=(
        identifiers.DataCentreName('colombo'),
        identifiers.DataCentreName('gampaha'),
        identifiers.DataCentreName('kalutara'),
    ),
    team=identifiers.TeamName('counting'),
    service=DemoService(name=identifiers.ServiceName('counting')),
    job=DemoJob(
        name='statements',
        tasks=24,
        size=resources.Resources(4000, 8192, 0),
    ),
    workers=DemoWorkers(capacity=resources.Resources(16_000, 61_440, 0)),
    weights=operators.Weights(batch_throughput=2.0, data_centre_work=2.0),
)
