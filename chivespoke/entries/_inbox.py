"""A bounded queue of messages that a peer has sent."""

import asyncio
import collections
import typing

# Backstop only: senders keep below these by counting what is outstanding.
COUNT_LIMIT = 4096
BYTES_LIMIT = 256 * 1024 * 1024


class Inbox:
    """Hold messages of one peer, bounded by count and by bytes."""

    __slots__ = ('_items', '_bytes', '_filled', '_count_limit', '_bytes_limit')

    def __init__(
        self, count_limit: int = COUNT_LIMIT, bytes_limit: int = BYTES_LIMIT
    ) -> None:
        self._items: collections.deque[tuple[typing.Any, int]] = (
            collections.deque()
        )
        self._bytes = 0
        self._filled = asyncio.Event()
        self._count_limit = count_limit
        self._bytes_limit = bytes_limit

    def put(self, item: typing.Any, size: int) -> bool:
        """Add an item of the given bytes; tell whether there was room."""
        full = (
            len(self._items) >= self._count_limit
            or self._bytes + size > self._bytes_limit
        )
        if full:
            return False
        self._items.append((item, size))
        self._bytes += size
        self._filled.set()
        return True

    async def take(self) -> typing.Any:
        """Wait for the oldest item and remove it."""
        while not self._items:
            self._filled.clear()
            await self._filled.wait()
        item, size = self._items.popleft()
        self._bytes -= size
        return item
