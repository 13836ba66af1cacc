"""The operator's configuration and evacuations, as read from the store."""

from chivespoke.coordination import _followers
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('operator')

# Age above which nothing is decided from the operator's records. Less than the
# shortest time within which an operator's change must take effect.
MAX_AGE_SECONDS = 1.8


class OperatorView(_followers.TopicFold):
    """Hold the active configuration and the data centres under evacuation."""

    __slots__ = ('configuration', 'evacuating', '_data_centres_by_key')

    def __init__(self) -> None:
        self.configuration: workloads.Configuration | None = None
        self.evacuating: set[str] = set()
        self._data_centres_by_key: dict[str, str] = {}

    def apply(self, record: platform.Record) -> None:
        change = platform.decode_operator_record(record)
        if isinstance(change, platform.ConfigurationWritten):
            self._apply_configuration(change.configuration, record.offset)
        elif isinstance(change, platform.EvacuationChanged):
            self._data_centres_by_key[record.key] = change.data_centre
            self._apply_evacuation(change.data_centre, change.active)

    def retain(self, keys: frozenset[str]) -> None:
        for key, data_centre in self._data_centres_by_key.items():
            if key not in keys:
                self._apply_evacuation(data_centre, False)

    def _apply_configuration(
        self, new_configuration: workloads.Configuration, offset: int
    ) -> None:
        current = self.configuration
        if (
            current is not None
            and new_configuration.version <= current.version
        ):
            return
        self.configuration = new_configuration
        LOGGER.info(
            'Configuration activated.',
            version=new_configuration.version,
            before=current.version if current else None,
            offset=offset,
            queues=len(new_configuration.queues),
        )

    def _apply_evacuation(self, data_centre: str, active: bool) -> None:
        if active == (data_centre in self.evacuating):
            return
        if active:
            self.evacuating.add(data_centre)
        else:
            self.evacuating.discard(data_centre)
        LOGGER.info(
            'Evacuation changed.', data_centre=data_centre, active=active
        )
