"""Versioned configuration, patches, status and explanations."""

from chivespoke.operators._client import OperatorClient
from chivespoke.operators._configuration import Configuration
from chivespoke.operators._configuration import MAX_READ_AGE_SECONDS
from chivespoke.operators._document import DataCentre
from chivespoke.operators._document import Document
from chivespoke.operators._document import Limits
from chivespoke.operators._document import Service
from chivespoke.operators._document import ServiceState
from chivespoke.operators._document import ShardGroup
from chivespoke.operators._document import Team
from chivespoke.operators._document import Weights
from chivespoke.operators._explanation import ConfigurationExplainer
from chivespoke.operators._explanation import Explainer
from chivespoke.operators._explanation import Explanation
from chivespoke.operators._fold import AcceptedPatch
from chivespoke.operators._fold import Change
from chivespoke.operators._fold import ConfigurationFold
from chivespoke.operators._fold import Decision
from chivespoke.operators._fold import encode_proposal
from chivespoke.operators._fold import PatchProposed
from chivespoke.operators._fold import STREAM
from chivespoke.operators._impact import DeclaredImpactEstimator
from chivespoke.operators._impact import Impact
from chivespoke.operators._impact import ImpactEstimator
from chivespoke.operators._patch import apply_operations
from chivespoke.operators._patch import decode_operations
from chivespoke.operators._patch import make_operations
from chivespoke.operators._patch import Operation
from chivespoke.operators._patch import OperationKind
from chivespoke.operators._patch import PatchError
from chivespoke.operators._reports import CollectedReports
from chivespoke.operators._reports import LaggingProcess
from chivespoke.operators._reports import LocalReportCollector
from chivespoke.operators._reports import LocalReporter
from chivespoke.operators._reports import ProcessReport
from chivespoke.operators._reports import ReportCollector
from chivespoke.operators._reports import VersionRollout
from chivespoke.operators._routes import AUTHOR_HEADER
from chivespoke.operators._routes import OperatorRoutes
from chivespoke.operators._routes import PATCH_ID_HEADER
from chivespoke.operators._routes import PATCH_TYPE
from chivespoke.operators._routes import VERSION_HEADER
from chivespoke.operators._status import Section
from chivespoke.operators._status import Status
from chivespoke.operators._status import STATUS_DECODER
from chivespoke.operators._status import StatusBuilder
from chivespoke.operators._status import StatusContributor
from chivespoke.operators._status import StreamStatus
from chivespoke.operators._validation import InvalidError
from chivespoke.operators._validation import validate_tree

__all__ = [
    'AUTHOR_HEADER',
    'AcceptedPatch',
    'Change',
    'CollectedReports',
    'Configuration',
    'ConfigurationExplainer',
    'ConfigurationFold',
    'DataCentre',
    'Decision',
    'DeclaredImpactEstimator',
    'Document',
    'Explainer',
    'Explanation',
    'Impact',
    'ImpactEstimator',
    'InvalidError',
    'LaggingProcess',
    'Limits',
    'LocalReportCollector',
    'LocalReporter',
    'MAX_READ_AGE_SECONDS',
    'Operation',
    'OperationKind',
    'OperatorClient',
    'OperatorRoutes',
    'PATCH_ID_HEADER',
    'PATCH_TYPE',
    'PatchError',
    'PatchProposed',
    'ProcessReport',
    'ReportCollector',
    'STATUS_DECODER',
    'STREAM',
    'Section',
    'Service',
    'ServiceState',
    'ShardGroup',
    'Status',
    'StatusBuilder',
    'StatusContributor',
    'StreamStatus',
    'Team',
    'VERSION_HEADER',
    'VersionRollout',
    'Weights',
    'apply_operations',
    'decode_operations',
    'encode_proposal',
    'make_operations',
    'validate_tree',
]
