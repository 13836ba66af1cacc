"""The entries that a process knows, each kept while it is heard of."""

import collections.abc

from aiohttp import web
import msgspec

from chivespoke import clock
from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import web as chivespoke_web

# Seconds after which an entry that nobody has heard of is forgotten. Long
# enough that a list outlives the replacement of all entries.
ENTRY_EXPIRY_SECONDS = 90.0
# Forgotten entries that hearsay may not bring back.
MAX_TOMBSTONES = 10_000


class EntryDirectory(chivespoke_web.RouteProvider):
    """List the entries; whoever hears of an entry adds it here."""

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
        """Say how this process itself, an entry, is reached."""
        self._own_address = own_address

    def add(self, entry: _messages.EntryAddress, direct: bool) -> None:
        """Note an entry: heard from it directly, or by hearsay.

        Hearsay never prolongs an entry, or the dead would live for ever.
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
        """Note that a known entry was heard from directly."""
        known = self._entries.get(incarnation)
        if known is not None:
            self.add(known[0], direct=True)

    def remove(self, incarnation: identifiers.Incarnation) -> None:
        """Forget an entry that said goodbye."""
        self._entries.pop(incarnation, None)
        self._tombstones[incarnation] = self._clock.read_monotonic()
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def list_entries(self) -> tuple[_messages.EntryAddress, ...]:
        """Return the entries heard of lately; an endpoint stands once."""
        expired_before = self._clock.read_monotonic() - ENTRY_EXPIRY_SECONDS
        found: dict[str, _messages.EntryAddress] = {}
        for entry, heard_at in tuple(self._entries.values()):
            if heard_at < expired_before:
                self.remove(entry.incarnation)
            else:
                # Later ones come later: a restarted entry replaces itself.
                found[entry.endpoint] = entry
        if self._own_address is not None:
            found[self._own_address.endpoint] = self._own_address
        return tuple(found.values())

    async def _handle_list(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.list_entries()),
            content_type='application/json',
        )
