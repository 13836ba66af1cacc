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
FORGET_SECONDS = 90.0
# Forgotten entries that hearsay may not bring back.
FORGOTTEN_LIMIT = 10_000


class EntryDirectory(chivespoke_web.RouteProvider):
    """List the entries; whoever hears of an entry adds it here."""

    __slots__ = ('_clock', '_entries', '_own', '_forgotten')

    def __init__(
        self, time: clock.Clock, own: _messages.EntryAddress | None = None
    ) -> None:
        self._clock = time
        self._own = own
        self._entries: dict[
            identifiers.Incarnation, tuple[_messages.EntryAddress, float]
        ] = {}
        self._forgotten: dict[identifiers.Incarnation, float] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get('/entries', self._answer_entries),)

    def set_own_address(self, own: _messages.EntryAddress) -> None:
        """Say how this process itself, an entry, is reached."""
        self._own = own

    def add(self, entry: _messages.EntryAddress, direct: bool) -> None:
        """Note an entry: heard from it directly, or by hearsay.

        Hearsay never prolongs an entry, or the dead would live for ever.
        """
        if self._own is not None and entry.incarnation == (
            self._own.incarnation
        ):
            return
        now = self._clock.read_monotonic()
        known = entry.incarnation in self._entries
        if direct:
            self._forgotten.pop(entry.incarnation, None)
        elif known or entry.incarnation in self._forgotten:
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
        self._forgotten[incarnation] = self._clock.read_monotonic()
        while len(self._forgotten) > FORGOTTEN_LIMIT:
            self._forgotten.pop(next(iter(self._forgotten)))

    def list_entries(self) -> tuple[_messages.EntryAddress, ...]:
        """Return the entries heard of lately; an endpoint stands once."""
        oldest = self._clock.read_monotonic() - FORGET_SECONDS
        found: dict[str, _messages.EntryAddress] = {}
        for entry, heard_at in tuple(self._entries.values()):
            if heard_at < oldest:
                self.remove(entry.incarnation)
            else:
                # Later ones come later: a restarted entry replaces itself.
                found[entry.endpoint] = entry
        if self._own is not None:
            found[self._own.endpoint] = self._own
        return tuple(found.values())

    async def _answer_entries(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.list_entries()),
            content_type='application/json',
        )
