"""Another writer of the store's topics, and of registrations."""

import asyncio
import itertools

import aiohttp

from chivespoke.bench.soak import _world
from chivespoke import coordination
from chivespoke import platform
from chivespoke import standins

INTERVAL_SECONDS = 0.3
TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class OddWriter:
    """Leave entries that cannot be read, beside those of the system."""

    def __init__(self, world: _world.World) -> None:
        self._world = world

    async def run(self) -> None:
        """Write all of them in turn until cancelled."""
        records = itertools.cycle(standins.list_odd_records())
        registrations = itertools.cycle(standins.list_odd_registrations())
        sidecars = itertools.cycle(self._world.sidecars)
        async with aiohttp.ClientSession() as session:
            while True:
                key, value = next(records)
                await self._world.store.put(
                    coordination.SYSTEM_TOPIC, key, value
                )
                await self._world.store.put(
                    platform.OPERATOR_TOPIC, f'odd/{key}', value
                )
                await self._register(
                    session, next(sidecars), next(registrations)
                )
                await asyncio.sleep(INTERVAL_SECONDS)

    async def _register(
        self, session: aiohttp.ClientSession, sidecar: str, body: bytes
    ) -> None:
        url = self._world.find_control_url(sidecar)
        path = platform.REGISTRATION_PATH.format(identifier='odd')
        try:
            async with session.put(
                url + path, data=body, timeout=TIMEOUT
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            # The sidecar may be down, or stand still.
            return
