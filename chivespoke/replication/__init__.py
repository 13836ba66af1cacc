"""Replicated state machines on the platform's log.

The package holds the log client, group commit, replay and snapshots.

To keep state in a stream: implement a Fold (decode, apply, encode_state,
restore_state), wrap it in a Replica, start a Follower for the replica and
one GroupCommitter per process, and call ``GroupCommitter.watch`` with the
replica. Commit records; the fold decides their effect.
``Follower.wait_until`` waits for an effect, and
``Follower.measure_read_age`` returns how stale the state may be.
"""

from chivespoke.replication._committer import CommitLimits
from chivespoke.replication._committer import GroupCommitter
from chivespoke.replication._fold import Fold
from chivespoke.replication._fold import Position
from chivespoke.replication._follower import Follower
from chivespoke.replication._follower import make_relay_answer
from chivespoke.replication._follower import Relay
from chivespoke.replication._follower import RelayAnswer
from chivespoke.replication._frame import decode_frame
from chivespoke.replication._frame import encode_frame
from chivespoke.replication._frame import Frame
from chivespoke.replication._frame import FrameKind
from chivespoke.replication._frame import UnreadableError
from chivespoke.replication._http_log import HttpLog
from chivespoke.replication._log import Log
from chivespoke.replication._log import LogPage
from chivespoke.replication._log import LogRecord
from chivespoke.replication._relay import PartialState
from chivespoke.replication._relay import StateOffers
from chivespoke.replication._replica import AppliedFrame
from chivespoke.replication._replica import Replica
from chivespoke.replication._snapshot import assemble_snapshot
from chivespoke.replication._snapshot import split_snapshot
from chivespoke.replication._snapshotter import Snapshotter

__all__ = [
    'AppliedFrame',
    'CommitLimits',
    'Fold',
    'Follower',
    'Frame',
    'FrameKind',
    'GroupCommitter',
    'HttpLog',
    'Log',
    'LogPage',
    'LogRecord',
    'PartialState',
    'Position',
    'Relay',
    'RelayAnswer',
    'Replica',
    'Snapshotter',
    'StateOffers',
    'make_relay_answer',
    'UnreadableError',
    'split_snapshot',
    'decode_frame',
    'encode_frame',
    'assemble_snapshot',
]
