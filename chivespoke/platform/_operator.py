"""What the operator writes into the store."""

import msgspec

from chivespoke import errors
from chivespoke.platform import _store
from chivespoke import workloads

# Topic of the operator's records, and the keys that it uses there.
OPERATOR_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'


class _Recommendation(msgspec.Struct):
    decision_ms: float = 0
    per_worker_ms: float = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    # Not a bound on an answer: the margin beyond the stretched chain.
    target_completion_ms: float = 0
    recommendation: _Recommendation | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = True


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262144


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ConfigurationWritten(msgspec.Struct, frozen=True):
    """Report a version of the configuration."""

    configuration: workloads.Configuration


class EvacuationChanged(msgspec.Struct, frozen=True):
    """Report that a data centre is to be emptied, or is taken back."""

    data_centre: str
    active: bool


OperatorChange = ConfigurationWritten | EvacuationChanged


def decode_operator_record(record: _store.Record) -> OperatorChange | None:
    """Return what a record says, None if it says nothing to us.

    Raise RefusedError for a record that cannot be read.
    """
    if record.key.startswith(EVACUATION_PREFIX):
        zone = record.key.removeprefix(EVACUATION_PREFIX)
        return EvacuationChanged(zone, bool(record.value))
    if record.key != CONFIGURATION_KEY or not record.value:
        return None
    try:
        found = msgspec.json.decode(record.value, type=_Configuration)
    except msgspec.MsgspecError as error:
        raise errors.RefusedError(
            'read configuration', OPERATOR_TOPIC, str(error)
        ) from error
    return ConfigurationWritten(_convert(found))


def _convert_advice(
    found: _Recommendation | None,
) -> workloads.AdviceTiming | None:
    if found is None:
        return None
    return workloads.AdviceTiming(
        found.decision_ms / 1000, found.per_worker_ms / 1000
    )


def _convert(found: _Configuration) -> workloads.Configuration:
    queues = tuple(
        workloads.Queue(
            route.name,
            route.host,
            route.path_prefix,
            workloads.QueueTerms(
                service=route.service,
                priority=route.priority,
                max_attempts=route.max_attempts,
                stretch=route.stretch,
                margin_ms=int(route.target_completion_ms),
                advice=_convert_advice(route.recommendation),
            ),
        )
        for route in found.routes
    )
    services = tuple(
        workloads.Service(service.name, service.enforces_capacity)
        for service in found.services
    )
    return workloads.Configuration(
        found.version, queues, services, found.limits.max_body_bytes
    )
