"""Announcement of a process's address in the system's topic."""

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
    while True:
        try:
            await store.append(_records.SYSTEM_TOPIC, record)
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'Announcing an address failed; retrying.',
                address=address,
                error=error,
            )
            await time.sleep(ANNOUNCE_RETRY_SECONDS)
        else:
            LOGGER.info('An address was announced.', address=address)
            return
