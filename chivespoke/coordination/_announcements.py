"""Announcements of processes in the system's topic."""

from chivespoke import clock
from chivespoke.coordination import _records
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('announcement')

ANNOUNCE_RETRY_SECONDS = 0.5


async def announce_address(
    store: platform.Store, time: clock.Clock, record: bytes, address: str
) -> None:
    """Append the record of an address; retry until the store has it."""
    await _append_repeatedly(store, time, record, 'address')
    LOGGER.info('An address was announced.', address=address)


async def announce_end(
    store: platform.Store, time: clock.Clock, sidecar: str, worker: str
) -> None:
    """Append the record that a worker has ended, by its key."""
    record = _records.encode_ended_worker(sidecar, worker)
    await _append_repeatedly(store, time, record, 'end of a worker')
    LOGGER.info('The end of a worker was announced.', worker=worker)


async def _append_repeatedly(
    store: platform.Store, time: clock.Clock, record: bytes, subject: str
) -> None:
    while True:
        try:
            await store.append(_records.SYSTEM_TOPIC, record)
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'An announcement failed; retrying.',
                subject=subject,
                error=error,
            )
            await time.sleep(ANNOUNCE_RETRY_SECONDS)
        else:
            return
