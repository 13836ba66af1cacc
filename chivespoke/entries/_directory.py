"""Directory of the entries that a process knows, with expiry."""

import collections.abc

from aiohttp import web
import msgspec

from chivespoke import clock
from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import web as chivespoke_web

# An entry that was not heard from for this time is removed. The time is long
# enough that a list stays usable while all entries are being replaced.
ENTRY_EXPIRY_SECONDS = 90.0
# Removed entries that are remembered, so that reports by third parties do not
# add them again.
MAX_TOMBSTONES = 10_000


class EntryDirectory(chivespoke_web.RouteProvider):
    """Hold the known entries and serve their list over HTTP."""

    __slots__ = ('_clock', '_entries', '_own_address', '_tombstones')

    def __init__(
        self,
        time: clock.Clock,
        own_address: _messages.EntryAddress | None = None,
    ) -> None:
        self._clock = time
        self._own_address = own_address
        self._entries: dict[
            identifiers.Incarnation, tuple[_messages.EntryAddress, float]
        ] = {}
        self._tombstones: dict[identifiers.Incarnation, float] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get('/entries', self._handle_list),)

    def set_own_address(self, own_address: _messages.EntryAddress) -> None:
        """Set the address of this process, if it is an entry itself."""
        self._own_address = own_address

    def add(self, entry: _messages.EntryAddress, direct: bool) -> None:
        """Add an entry that was heard from, or that a third party reported.

        Only direct contact extends the expiry of a known entry. Otherwise
        processes that report dead entries to each other would keep them
        in their directories forever.
        """
        if self._own_address is not None and entry.incarnation == (
            self._own_address.incarnation
        ):
            return
        now = self._clock.read_monotonic()
        known = entry.incarnation in self._entries
        if direct:
            self._tombstones.pop(entry.incarnation, None)
        elif known or entry.incarnation in self._tombstones:
            return
        self._entries.pop(entry.incarnation, None)
        self._entries[entry.incarnation] = (entry, now)

    def touch(self, incarnation: identifiers.Incarnation) -> None:
        """Extend the expiry of a known entry that was heard from."""
        known = self._entries.get(incarnation)
        if known is not None:
            self.add(known[0], direct=True)

    def remove(self, incarnation: identifiers.Incarnation) -> None:
        """Remove an entry and leave a tombstone."""
        self._entries.pop(incarnation, None)
        self._tombstones[incarnation] = self._clock.read_monotonic()
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def list_entries(self) -> tuple[_messages.EntryAddress, ...]:
        """Return the entries that have not expired, one per endpoint."""
        expired_before = self._clock.read_monotonic() - ENTRY_EXPIRY_SECONDS
        by_endpoint: dict[str, _messages.EntryAddress] = {}
        for entry, heard_at in tuple(self._entries.values()):
            if heard_at < expired_before:
                self.remove(entry.incarnation)
            else:
                # Ordered by the time of contact: the latest incarnation at an
                # endpoint replaces earlier ones.
                by_endpoint[entry.endpoint] = entry
        if self._own_address is not None:
            by_endpoint[self._own_address.endpoint] = self._own_address
        return tuple(by_endpoint.values())

    async def _handle_list(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.list_entries()),
            content_type='application/json',
        )
