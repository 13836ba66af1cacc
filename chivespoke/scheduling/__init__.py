"""Scheduling: placement, interference, quotas, quarantine, drains."""

from chivespoke.scheduling._policy import GuardAction
from chivespoke.scheduling._policy import GuardActionKind
from chivespoke.scheduling._policy import GuardPolicy
from chivespoke.scheduling._policy import PlacedTask
from chivespoke.scheduling._policy import PlacementPolicy
from chivespoke.scheduling._policy import Priority
from chivespoke.scheduling._policy import ReportObserver
from chivespoke.scheduling._policy import TaskDemand
from chivespoke.scheduling._policy import WorkerView

__all__ = [
    'GuardAction',
    'GuardActionKind',
    'GuardPolicy',
    'PlacedTask',
    'PlacementPolicy',
    'Priority',
    'ReportObserver',
    'TaskDemand',
    'WorkerView',
]
