"""The platform's log: client, group commit, replay, snapshots.

To keep state in a stream: write a Fold (decode, apply, encode_state,
restore_state), put it in a Replica, start a Follower on it and a
GroupCommitter for the process, and let the committer watch the replica.
Commit records; the fold decides what they do; ``Follower.wait_until`` waits
for the effect and ``Follower.measure_age`` tells how fresh the state is.
"""

from chivespoke.platform._committer import CommitLimits
from chivespoke.platform._committer import GroupCommitter
from chivespoke.platform._fold import Fold
from chivespoke.platform._fold import Position
from chivespoke.platform._follower import answer_relay
from chivespoke.platform._follower import Follower
from chivespoke.platform._follower import Relay
from chivespoke.platform._follower import RelayAnswer
from chivespoke.platform._frame import decode_frame
from chivespoke.platform._frame import encode_frame
from chivespoke.platform._frame import Frame
from chivespoke.platform._frame import FrameKind
from chivespoke.platform._frame import UnreadableError
from chivespoke.platform._http_log import HttpLog
from chivespoke.platform._log import Log
from chivespoke.platform._log import LogPage
from chivespoke.platform._log import LogRecord
from chivespoke.platform._replica import AppliedFrame
from chivespoke.platform._replica import Replica
from chivespoke.platform._snapshot import cut_snapshot
from chivespoke.platform._snapshot import join_snapshot
from chivespoke.platform._snapshotter import Snapshotter

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
    'Position',
    'Relay',
    'RelayAnswer',
    'Replica',
    'Snapshotter',
    'answer_relay',
    'UnreadableError',
    'cut_snapshot',
    'decode_frame',
    'encode_frame',
    'join_snapshot',
]
