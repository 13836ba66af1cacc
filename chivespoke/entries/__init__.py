"""Messages between the system's processes, and membership of entries."""

from chivespoke.entries._directory import EntryDirectory
from chivespoke.entries._handlers import Handlers
from chivespoke.entries._handlers import Peer
from chivespoke.entries._membership import MemberReportCollector
from chivespoke.entries._membership import Membership
from chivespoke.entries._membership_links import Links
from chivespoke.entries._membership_links import NeighbourRelay
from chivespoke.entries._membership_requests import PeerRequestHandler
from chivespoke.entries._membership_versions import SidecarVersionTracker
from chivespoke.entries._membership_versions import VersionHolder
from chivespoke.entries._messages import EntryAddress
from chivespoke.entries._messages import Envelope
from chivespoke.entries._messages import Identity
from chivespoke.entries._messages import Message
from chivespoke.entries._messages import Ping
from chivespoke.entries._messages import PROTOCOL_VERSION
from chivespoke.entries._messages import Pulse
from chivespoke.entries._messages import Welcome
from chivespoke.entries._transport import MessageClient
from chivespoke.entries._transport import MessageServer

__all__ = [
    'EntryAddress',
    'EntryDirectory',
    'Envelope',
    'Handlers',
    'Identity',
    'Links',
    'MemberReportCollector',
    'Membership',
    'Message',
    'MessageClient',
    'MessageServer',
    'NeighbourRelay',
    'PROTOCOL_VERSION',
    'Peer',
    'PeerRequestHandler',
    'Ping',
    'Pulse',
    'SidecarVersionTracker',
    'VersionHolder',
    'Welcome',
]
