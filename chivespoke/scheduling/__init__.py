"""Schedule tasks: placement, preemption, quotas, quarantine and drains."""

from chivespoke.scheduling._api import make_registration
from chivespoke.scheduling._api import SchedulingApi
from chivespoke.scheduling._assembly import make_naive_planners
from chivespoke.scheduling._assembly import make_planners
from chivespoke.scheduling._assembly import PlannerFactory
from chivespoke.scheduling._assembly import Scheduling
from chivespoke.scheduling._configuration import ConfigurationSource
from chivespoke.scheduling._configuration import FixedConfiguration
from chivespoke.scheduling._configuration import FollowedConfiguration
from chivespoke.scheduling._explanation import SchedulingExplainer
from chivespoke.scheduling._explanation import SchedulingStatus
from chivespoke.scheduling._first_fit import FirstFit
from chivespoke.scheduling._fold import ShardFold
from chivespoke.scheduling._owner import OwnerPolicies
from chivespoke.scheduling._owner import ShardOwner
from chivespoke.scheduling._planner import Planner
from chivespoke.scheduling._policy import GuardAction
from chivespoke.scheduling._policy import GuardActionKind
from chivespoke.scheduling._policy import GuardPolicy
from chivespoke.scheduling._policy import PlacedTask
from chivespoke.scheduling._policy import PlacementPolicy
from chivespoke.scheduling._policy import Priority
from chivespoke.scheduling._policy import ReportObserver
from chivespoke.scheduling._policy import TaskDemand
from chivespoke.scheduling._policy import WorkerView
from chivespoke.scheduling._records import JobSpec
from chivespoke.scheduling._refusal import Refusal
from chivespoke.scheduling._requests import JobAnswer
from chivespoke.scheduling._requests import JobReport
from chivespoke.scheduling._requests import JobRequest
from chivespoke.scheduling._requests import JobsRequest
from chivespoke.scheduling._requests import WorkerReport
from chivespoke.scheduling._stream import ShardStream

__all__ = [
    'ConfigurationSource',
    'FirstFit',
    'FixedConfiguration',
    'FollowedConfiguration',
    'GuardAction',
    'GuardActionKind',
    'GuardPolicy',
    'JobAnswer',
    'JobReport',
    'JobRequest',
    'JobSpec',
    'JobsRequest',
    'OwnerPolicies',
    'PlacedTask',
    'PlacementPolicy',
    'PlannerFactory',
    'Planner',
    'Priority',
    'Refusal',
    'ReportObserver',
    'Scheduling',
    'SchedulingApi',
    'SchedulingExplainer',
    'SchedulingStatus',
    'ShardFold',
    'ShardOwner',
    'ShardStream',
    'TaskDemand',
    'WorkerReport',
    'WorkerView',
    'make_naive_planners',
    'make_planners',
    'make_registration',
]
