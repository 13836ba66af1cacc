"""Placement, guard, size and routing policies, and simple baselines."""

from chivespoke.scheduling.policies._averages import PairwiseAverageModel
from chivespoke.scheduling.policies._configured import ConfiguredGuard
from chivespoke.scheduling.policies._configured import ConfiguredPlacement
from chivespoke.scheduling.policies._configured import make_owner_policies
from chivespoke.scheduling.policies._estimator import ReplicaState
from chivespoke.scheduling.policies._estimator import WorkloadEstimator
from chivespoke.scheduling.policies._guard import EscalatingGuard
from chivespoke.scheduling.policies._interference import add_shares
from chivespoke.scheduling.policies._interference import InterferenceModel
from chivespoke.scheduling.policies._interference import LearningModel
from chivespoke.scheduling.policies._interference import make_share
from chivespoke.scheduling.policies._interference import NoInterferenceModel
from chivespoke.scheduling.policies._interference import (
    PairwiseRegressionModel,
)
from chivespoke.scheduling.policies._interference import Prediction
from chivespoke.scheduling.policies._interference import Share
from chivespoke.scheduling.policies._moments import DEFAULT_OPTIONS
from chivespoke.scheduling.policies._moments import FitOptions
from chivespoke.scheduling.policies._naive_policies import EvictAtOnce
from chivespoke.scheduling.policies._naive_policies import FirstFit
from chivespoke.scheduling.policies._naive_policies import IgnoreReports
from chivespoke.scheduling.policies._naive_policies import LeastLoaded
from chivespoke.scheduling.policies._naive_policies import NoGuard
from chivespoke.scheduling.policies._naive_policies import RandomChoice
from chivespoke.scheduling.policies._placement import CostBasedPlacement
from chivespoke.scheduling.policies._placement import derive_parameters
from chivespoke.scheduling.policies._placement import PolicyParameters
from chivespoke.scheduling.policies._reports import MatchedReport
from chivespoke.scheduling.policies._reports import Observation
from chivespoke.scheduling.policies._reports import RejectionReason
from chivespoke.scheduling.policies._reports import ReportMatcher
from chivespoke.scheduling.policies._routing import EvenRouting
from chivespoke.scheduling.policies._routing import RoutingPolicy
from chivespoke.scheduling.policies._routing import SlowdownAwareRouting
from chivespoke.scheduling.policies._sizes import CorrectedSize
from chivespoke.scheduling.policies._sizes import DeclaredSizes
from chivespoke.scheduling.policies._sizes import LearnedSizes
from chivespoke.scheduling.policies._sizes import observe_task_usage
from chivespoke.scheduling.policies._sizes import read_quantile
from chivespoke.scheduling.policies._sizes import SizePolicy
from chivespoke.scheduling.policies._sizes import UsageSketches
from chivespoke.scheduling.policies._state import decode_state
from chivespoke.scheduling.policies._state import encode_state

__all__ = [
    'CorrectedSize',
    'DEFAULT_OPTIONS',
    'DeclaredSizes',
    'SlowdownAwareRouting',
    'EvenRouting',
    'EvictAtOnce',
    'FirstFit',
    'ConfiguredGuard',
    'ConfiguredPlacement',
    'FitOptions',
    'IgnoreReports',
    'InterferenceModel',
    'WorkloadEstimator',
    'LearningModel',
    'LearnedSizes',
    'LeastLoaded',
    'MatchedReport',
    'NoGuard',
    'NoInterferenceModel',
    'Observation',
    'PairwiseAverageModel',
    'PairwiseRegressionModel',
    'Prediction',
    'RandomChoice',
    'RejectionReason',
    'ReplicaState',
    'ReportMatcher',
    'RoutingPolicy',
    'Share',
    'SizePolicy',
    'UsageSketches',
    'EscalatingGuard',
    'PolicyParameters',
    'CostBasedPlacement',
    'add_shares',
    'make_owner_policies',
    'decode_state',
    'encode_state',
    'make_share',
    'derive_parameters',
    'observe_task_usage',
    'read_quantile',
]
