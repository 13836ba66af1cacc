"""Data model of jobs, tasks and the operator's configuration."""

from chivespoke.workloads._model import AdviceTiming
from chivespoke.workloads._model import compute_reservation
from chivespoke.workloads._model import Configuration
from chivespoke.workloads._model import Crash
from chivespoke.workloads._model import describe_flaw
from chivespoke.workloads._model import fits
from chivespoke.workloads._model import Job
from chivespoke.workloads._model import JobPhase
from chivespoke.workloads._model import JobProgress
from chivespoke.workloads._model import make_initial_progress
from chivespoke.workloads._model import parse_task_name
from chivespoke.workloads._model import Queue
from chivespoke.workloads._model import QueueTerms
from chivespoke.workloads._model import Resources
from chivespoke.workloads._model import Service
from chivespoke.workloads._model import Step
from chivespoke.workloads._model import TaskName
from chivespoke.workloads._model import TaskProgress
from chivespoke.workloads._model import TaskStatus

__all__ = [
    'AdviceTiming',
    'Configuration',
    'Crash',
    'Job',
    'JobPhase',
    'JobProgress',
    'Queue',
    'QueueTerms',
    'Resources',
    'Service',
    'Step',
    'TaskName',
    'TaskProgress',
    'TaskStatus',
    'compute_reservation',
    'describe_flaw',
    'fits',
    'make_initial_progress',
    'parse_task_name',
]
