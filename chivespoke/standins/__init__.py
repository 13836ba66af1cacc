"""Fakes of external systems for tests, benchmarks and the demo."""

from chivespoke.standins._advisor import PlatformAdvisor
from chivespoke.standins._backend_server import CountingServer
from chivespoke.standins._balancer import Balancer
from chivespoke.standins._log import LogFaults
from chivespoke.standins._log import MemoryLog
from chivespoke.standins._log_server import LogServer
from chivespoke.standins._odd_contents import list_odd_records
from chivespoke.standins._odd_contents import list_odd_registrations
from chivespoke.standins._run_ledger import Ran
from chivespoke.standins._run_ledger import RunLedger
from chivespoke.standins._runner import LONG_RUNNING_PAYLOAD
from chivespoke.standins._runner import PlatformRunner
from chivespoke.standins._runner import RunnerRegistration
from chivespoke.standins._runner import TIMED_PAYLOAD_PREFIX
from chivespoke.standins._runner_events import RunnerEvent
from chivespoke.standins._runner_faults import RunnerFaults
from chivespoke.standins._store import PlatformStore
from chivespoke.standins._store import StoreFaults
from chivespoke.standins._worker import Run
from chivespoke.standins._worker import TaskPlan
from chivespoke.standins._worker import WorkerAgent
from chivespoke.standins._worker_client import MemoryWorkerClient
from chivespoke.standins._worker_client import MemoryWorkerConnector
from chivespoke.standins._worker_server import make_worker_registration
from chivespoke.standins._worker_server import WORKERS_PER_RACK
from chivespoke.standins._worker_server import WorkerServer

__all__ = [
    'LONG_RUNNING_PAYLOAD',
    'Balancer',
    'CountingServer',
    'LogFaults',
    'LogServer',
    'MemoryLog',
    'MemoryWorkerClient',
    'MemoryWorkerConnector',
    'PlatformAdvisor',
    'PlatformRunner',
    'PlatformStore',
    'Ran',
    'Run',
    'RunLedger',
    'RunnerEvent',
    'RunnerFaults',
    'RunnerRegistration',
    'StoreFaults',
    'TIMED_PAYLOAD_PREFIX',
    'TaskPlan',
    'WorkerAgent',
    'WORKERS_PER_RACK',
    'WorkerServer',
    'list_odd_records',
    'list_odd_registrations',
    'make_worker_registration',
]
