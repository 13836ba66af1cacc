"""Client and messages for the platform's agent on a worker."""

from chivespoke.workers._client import HttpWorkerConnector
from chivespoke.workers._client import WorkerClient
from chivespoke.workers._client import WorkerConnector
from chivespoke.workers._messages import CheckpointCommand
from chivespoke.workers._messages import Heartbeat
from chivespoke.workers._messages import LeaseRenewal
from chivespoke.workers._messages import Registration
from chivespoke.workers._messages import StartCommand
from chivespoke.workers._messages import StopCommand
from chivespoke.workers._messages import TaskKind
from chivespoke.workers._messages import TaskPhase
from chivespoke.workers._messages import TaskStatus
from chivespoke.workers._messages import TaskUsage
from chivespoke.workers._messages import ThrottleCommand
from chivespoke.workers._messages import UsageReport

__all__ = [
    'CheckpointCommand',
    'Heartbeat',
    'HttpWorkerConnector',
    'LeaseRenewal',
    'Registration',
    'StartCommand',
    'StopCommand',
    'TaskKind',
    'TaskPhase',
    'TaskStatus',
    'TaskUsage',
    'ThrottleCommand',
    'UsageReport',
    'WorkerClient',
    'WorkerConnector',
]
