"""The platform's log: client, group commit, replay, snapshots."""

from chivespoke.platform._log import Log
from chivespoke.platform._log import LogPage
from chivespoke.platform._log import LogRecord

__all__ = ['Log', 'LogPage', 'LogRecord']
