"""Adapter to the HTTP interface of the Kandy platform.

It converts between the platform's names and formats and the project's own, and
makes no scheduling decisions. Other packages do not use the platform's names.
"""

from chivespoke.platform._advisor import Advice
from chivespoke.platform._advisor import AdvisorClient
from chivespoke.platform._operator import ConfigurationWritten
from chivespoke.platform._operator import decode_operator_record
from chivespoke.platform._operator import EvacuationChanged
from chivespoke.platform._operator import OPERATOR_TOPIC
from chivespoke.platform._operator import OperatorChange
from chivespoke.platform._settings import Bounds
from chivespoke.platform._settings import MachineSettings
from chivespoke.platform._settings import MachineSettingsHolder
from chivespoke.platform._settings import read_machine_settings
from chivespoke.platform._settings import replace_bounds
from chivespoke.platform._store import ConditionFailedError
from chivespoke.platform._store import decode_records
from chivespoke.platform._store import encode_record
from chivespoke.platform._store import FencedError
from chivespoke.platform._store import KEYED_PREFIX
from chivespoke.platform._store import Membership
from chivespoke.platform._store import NewestPage
from chivespoke.platform._store import Page
from chivespoke.platform._store import Producer
from chivespoke.platform._store import Record
from chivespoke.platform._store import RECORD_HEADER_BYTES
from chivespoke.platform._store import RecordRefusedError
from chivespoke.platform._store import Store
from chivespoke.platform._store import TruncatedError
from chivespoke.platform._submissions import decode_submission
from chivespoke.platform._submissions import encode_caller_wait
from chivespoke.platform._submissions import encode_pending
from chivespoke.platform._submissions import encode_phase
from chivespoke.platform._submissions import is_job_identifier
from chivespoke.platform._submissions import names_job
from chivespoke.platform._submissions import read_caller_wait
from chivespoke.platform._submissions import READINESS_PATH
from chivespoke.platform._transport import CONFIGURATION_VERSION_HEADER
from chivespoke.platform._transport import encode_configuration_version
from chivespoke.platform._transport import NotListeningError
from chivespoke.platform._transport import read_configuration_version
from chivespoke.platform._transport import Response
from chivespoke.platform._transport import Transport
from chivespoke.platform._workers import decode_registration
from chivespoke.platform._workers import EndCause
from chivespoke.platform._workers import EndedRun
from chivespoke.platform._workers import OrderRefusedError
from chivespoke.platform._workers import Refusal
from chivespoke.platform._workers import Registration
from chivespoke.platform._workers import REGISTRATION_PATH
from chivespoke.platform._workers import RunningTask
from chivespoke.platform._workers import WorkerClient
from chivespoke.platform._workers import WorkerStatus

__all__ = [
    'NotListeningError',
    'Advice',
    'AdvisorClient',
    'Bounds',
    'CONFIGURATION_VERSION_HEADER',
    'ConditionFailedError',
    'ConfigurationWritten',
    'EndCause',
    'EndedRun',
    'EvacuationChanged',
    'FencedError',
    'KEYED_PREFIX',
    'MachineSettings',
    'MachineSettingsHolder',
    'Membership',
    'NewestPage',
    'OPERATOR_TOPIC',
    'OperatorChange',
    'OrderRefusedError',
    'Page',
    'Producer',
    'READINESS_PATH',
    'REGISTRATION_PATH',
    'Record',
    'RECORD_HEADER_BYTES',
    'RecordRefusedError',
    'Refusal',
    'Registration',
    'Response',
    'RunningTask',
    'Store',
    'Transport',
    'TruncatedError',
    'WorkerClient',
    'WorkerStatus',
    'decode_operator_record',
    'decode_records',
    'decode_registration',
    'decode_submission',
    'encode_caller_wait',
    'encode_configuration_version',
    'encode_pending',
    'encode_phase',
    'encode_record',
    'is_job_identifier',
    'names_job',
    'read_caller_wait',
    'read_configuration_version',
    'read_machine_settings',
    'replace_bounds',
]
