"""Messages between the system's own processes, and who the entries are."""

from chivespoke.entries._directory import EntryDirectory
from chivespoke.entries._handlers import Handlers
from chivespoke.entries._handlers import Peer
from chivespoke.entries._messages import EntryAddress
from chivespoke.entries._messages import Envelope
from chivespoke.entries._messages import Identity
from chivespoke.entries._messages import Message
from chivespoke.entries._messages import Ping
from chivespoke.entries._messages import PROTOCOL_VERSION
from chivespoke.entries._messages import Welcome
from chivespoke.entries._transport import MessageClient
from chivespoke.entries._transport import MessageServer

__all__ = [
    'EntryAddress',
    'EntryDirectory',
    'Envelope',
    'Handlers',
    'Identity',
    'Message',
    'MessageClient',
    'MessageServer',
    'PROTOCOL_VERSION',
    'Peer',
    'Ping',
    'Welcome',
]
