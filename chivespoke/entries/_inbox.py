"""Bounded queue of messages received from one peer."""

import asyncio
import collections
import typing

# Safeguard only: senders limit their outstanding messages to less than this.
MAX_MESSAGES = 4096
MAX_BYTES = 256 * 1024 * 1024


class Inbox:
    """Queue the messages of one peer, bounded by count and by bytes."""

    __slots__ = (
        '_items',
        '_bytes',
        '_not_empty',
        '_max_messages',
        '_max_bytes',
    )

    def __init__(
        self, max_messages: int = MAX_MESSAGES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._items: collections.deque[tuple[typing.Any, int]] = (
            collections.deque()
        )
        self._bytes = 0
        self._not_empty = asyncio.Event()
        self._max_messages = max_messages
        self._max_bytes = max_bytes

    def put(self, item: typing.Any, size: int) -> bool:
        """Add an item of size bytes; return False if the queue is full."""
        full = (
            len(self._items) >= self._max_messages
            or self._bytes + size > self._max_bytes
        )
        if full:
            return False
        self._items.append((item, size))
        self._bytes += size
        self._not_empty.set()
        return True

    async def take(self) -> typing.Any:
        """Wait for an item; remove and return the oldest."""
        while not self._items:
            self._not_empty.clear()
            await self._not_empty.wait()
        item, size = self._items.popleft()
        self._bytes -= size
        return item
