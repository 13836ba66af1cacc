"""Workers: leases, starts, stops, checkpoints, usage reports."""

from chivespoke.workers._messages import Heartbeat
from chivespoke.workers._messages import LeaseRenewal
from chivespoke.workers._messages import Registration
from chivespoke.workers._messages import StartCommand
from chivespoke.workers._messages import TaskKind
from chivespoke.workers._messages import TaskPhase
from chivespoke.workers._messages import TaskStatus
from chivespoke.workers._messages import TaskUsage
from chivespoke.workers._messages import UsageReport

__all__ = [
    'Heartbeat',
    'LeaseRenewal',
    'Registration',
    'StartCommand',
    'TaskKind',
    'TaskPhase',
    'TaskStatus',
    'TaskUsage',
    'UsageReport',
]
