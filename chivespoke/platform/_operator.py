"""Records that the operator writes to the store."""

import msgspec

from chivespoke import decoding
from chivespoke.platform import _store
from chivespoke import workloads

# Topic of the operator's records, and the keys used in it.
OPERATOR_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'


class _Recommendation(msgspec.Struct):
    decision_ms: float = 0
    per_worker_ms: float = 0


class _QueueRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: decoding.Number = 0
    max_attempts: decoding.Number = 1
    stretch: float = 1.0
    # Not a limit on the completion of a job: the margin in milliseconds that
    # is added to its stretched critical path.
    target_completion_ms: float = 0
    recommendation: _Recommendation | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = True


class _Limits(msgspec.Struct):
    max_body_bytes: decoding.Number = 262144


class _Configuration(msgspec.Struct):
    version: decoding.Number
    routes: list[_QueueRoute] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)


class ConfigurationWritten(msgspec.Struct, frozen=True):
    """Report a new version of the configuration."""

    configuration: workloads.Configuration


class EvacuationChanged(msgspec.Struct, frozen=True):
    """Report that the evacuation of a data centre starts or ends."""

    data_centre: str
    active: bool


OperatorChange = ConfigurationWritten | EvacuationChanged


def decode_operator_record(record: _store.Record) -> OperatorChange | None:
    """Return the change that a record describes.

    Return None for other keys and for a removed configuration. Raise
    RefusedError if the record cannot be decoded.
    """
    if record.key.startswith(EVACUATION_PREFIX):
        data_centre = record.key.removeprefix(EVACUATION_PREFIX)
        return EvacuationChanged(data_centre, bool(record.value))
    if record.key != CONFIGURATION_KEY or not record.value:
        return None
    decoded = decoding.decode(
        CONFIGURATION_DECODER,
        record.value,
        'read configuration',
        OPERATOR_TOPIC,
    )
    return ConfigurationWritten(_convert_configuration(decoded))


def _convert_advice(
    recommendation: _Recommendation | None,
) -> workloads.AdviceTiming | None:
    if recommendation is None:
        return None
    return workloads.AdviceTiming(
        recommendation.decision_ms / 1000, recommendation.per_worker_ms / 1000
    )


def _convert_configuration(
    configuration: _Configuration,
) -> workloads.Configuration:
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
        for route in configuration.routes
    )
    services = tuple(
        workloads.Service(service.name, service.enforces_capacity)
        for service in configuration.services
    )
    return workloads.Configuration(
        configuration.version,
        queues,
        services,
        configuration.limits.max_body_bytes,
    )
