"""What the operator wants, as last read from the store."""

from chivespoke.coordination import _followers
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('operator')


class OperatorView(_followers.TopicFold):
    """Hold the configuration in force and the data centres to be emptied."""

    __slots__ = ('configuration', 'evacuating', '_evacuation_keys')

    def __init__(self) -> None:
        self.configuration: workloads.Configuration | None = None
        self.evacuating: set[str] = set()
        self._evacuation_keys: dict[str, str] = {}

    def apply(self, record: platform.Record) -> None:
        try:
            change = platform.decode_operator_record(record)
        except errors.RefusedError as error:
            LOGGER.error(
                'A record of the operator cannot be read; the last good '
                'one stays in force.',
                offset=record.offset,
                error=error,
            )
            return
        if isinstance(change, platform.ConfigurationWritten):
            self._take_configuration(change.configuration, record.offset)
        elif isinstance(change, platform.EvacuationChanged):
            self._evacuation_keys[record.key] = change.data_centre
            self._take_evacuation(change.data_centre, change.active)

    def retain(self, keys: frozenset[str]) -> None:
        for key, data_centre in self._evacuation_keys.items():
            if key not in keys:
                self._take_evacuation(data_centre, False)

    def _take_configuration(
        self, found: workloads.Configuration, offset: int
    ) -> None:
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        self.configuration = found
        LOGGER.info(
            'A configuration is in force.',
            version=found.version,
            before=current.version if current else None,
            offset=offset,
            queues=len(found.queues),
        )

    def _take_evacuation(self, data_centre: str, active: bool) -> None:
        if active == (data_centre in self.evacuating):
            return
        if active:
            self.evacuating.add(data_centre)
        else:
            self.evacuating.discard(data_centre)
        LOGGER.info(
            'An evacuation changed.', data_centre=data_centre, active=active
        )
