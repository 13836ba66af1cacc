"""Leader election, the ledger of jobs, and the leader's scheduling."""

from chivespoke.coordination._announcements import announce_address
from chivespoke.coordination._announcements import announce_end
from chivespoke.coordination._coordinator import Coordinator
from chivespoke.coordination._engine import Engine
from chivespoke.coordination._engine_state import LATE_CALL_SECONDS
from chivespoke.coordination._engine_state import LeaderTimeouts
from chivespoke.coordination._engine_state import MAX_UNANSWERED_ORDER_BYTES
from chivespoke.coordination._engine_state import ORDER_RESEND_SECONDS
from chivespoke.coordination._fences import format_session
from chivespoke.coordination._followers import TopicFold
from chivespoke.coordination._followers import TopicFollower
from chivespoke.coordination._handover import HandoverRoutes
from chivespoke.coordination._links import open_socket
from chivespoke.coordination._load import describe_demand
from chivespoke.coordination._messages import AdoptedRun
from chivespoke.coordination._messages import CrashReport
from chivespoke.coordination._messages import Directive
from chivespoke.coordination._messages import DIRECTIVE_DECODER
from chivespoke.coordination._messages import ENCODER
from chivespoke.coordination._messages import JobStanding
from chivespoke.coordination._messages import MAX_SUSPECTS
from chivespoke.coordination._messages import OrderOutcome
from chivespoke.coordination._messages import Report
from chivespoke.coordination._messages import RunPace
from chivespoke.coordination._messages import StartOrder
from chivespoke.coordination._messages import StopOrder
from chivespoke.coordination._messages import SuspectRun
from chivespoke.coordination._messages import UnansweredStart
from chivespoke.coordination._messages import WorkerIncarnation
from chivespoke.coordination._placer import DesiredState
from chivespoke.coordination._records import CANCEL_PREFIX
from chivespoke.coordination._records import compute_max_job_tasks
from chivespoke.coordination._records import encode_cancel
from chivespoke.coordination._records import encode_ended_worker
from chivespoke.coordination._records import encode_entry_address
from chivespoke.coordination._records import encode_entry_departure
from chivespoke.coordination._records import encode_job
from chivespoke.coordination._records import encode_load
from chivespoke.coordination._records import encode_sidecar
from chivespoke.coordination._records import JOB_PREFIX
from chivespoke.coordination._records import JobEntry
from chivespoke.coordination._records import Ledger
from chivespoke.coordination._records import LoadSummary
from chivespoke.coordination._records import MAX_JOB_SUSPECTS
from chivespoke.coordination._records import MAX_TASK_RECORD_BYTES
from chivespoke.coordination._records import SYSTEM_TOPIC

__all__ = [
    'AdoptedRun',
    'CANCEL_PREFIX',
    'Coordinator',
    'CrashReport',
    'DIRECTIVE_DECODER',
    'Directive',
    'ENCODER',
    'Engine',
    'HandoverRoutes',
    'JobEntry',
    'JobStanding',
    'JOB_PREFIX',
    'LATE_CALL_SECONDS',
    'Ledger',
    'LeaderTimeouts',
    'LoadSummary',
    'MAX_JOB_SUSPECTS',
    'MAX_SUSPECTS',
    'MAX_TASK_RECORD_BYTES',
    'MAX_UNANSWERED_ORDER_BYTES',
    'ORDER_RESEND_SECONDS',
    'OrderOutcome',
    'DesiredState',
    'Report',
    'RunPace',
    'SYSTEM_TOPIC',
    'StartOrder',
    'StopOrder',
    'SuspectRun',
    'TopicFold',
    'TopicFollower',
    'UnansweredStart',
    'WorkerIncarnation',
    'announce_address',
    'announce_end',
    'compute_max_job_tasks',
    'describe_demand',
    'encode_cancel',
    'encode_ended_worker',
    'encode_entry_address',
    'encode_entry_departure',
    'encode_job',
    'encode_load',
    'encode_sidecar',
    'format_session',
    'open_socket',
]
