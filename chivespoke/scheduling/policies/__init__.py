"""Policies: placement, guards, sizes, routing, and their naive twins."""

from chivespoke.scheduling.policies._averages import PairAverages
from chivespoke.scheduling.policies._configured import ConfiguredGuard
from chivespoke.scheduling.policies._configured import ConfiguredPlacement
from chivespoke.scheduling.policies._configured import make_owner_policies
from chivespoke.scheduling.policies._guard import SteppedGuard
from chivespoke.scheduling.policies._interference import add_shares
from chivespoke.scheduling.policies._interference import InterferenceModel
from chivespoke.scheduling.policies._interference import LearningModel
from chivespoke.scheduling.policies._interference import make_share
from chivespoke.scheduling.policies._interference import NoInterference
from chivespoke.scheduling.policies._interference import PairwiseModel
from chivespoke.scheduling.policies._interference import Prediction
from chivespoke.scheduling.policies._interference import Share
from chivespoke.scheduling.policies._estimator import Knowledge
from chivespoke.scheduling.policies._estimator import ReplicaState
from chivespoke.scheduling.policies._regression import DEFAULT_OPTIONS
from chivespoke.scheduling.policies._regression import FitOptions
from chivespoke.scheduling.policies._naive_policies import EvictAtOnce
from chivespoke.scheduling.policies._naive_policies import FirstFit
from chivespoke.scheduling.policies._naive_policies import IgnoreReports
from chivespoke.scheduling.policies._naive_policies import LeastLoaded
from chivespoke.scheduling.policies._naive_policies import NoGuard
from chivespoke.scheduling.policies._naive_policies import RandomChoice
from chivespoke.scheduling.policies._placement import derive_parameters
from chivespoke.scheduling.policies._placement import PolicyParameters
from chivespoke.scheduling.policies._placement import WeighedPlacement
from chivespoke.scheduling.policies._reports import MatchedReport
from chivespoke.scheduling.policies._reports import Observation
from chivespoke.scheduling.policies._reports import RejectionReason
from chivespoke.scheduling.policies._reports import ReportMatcher
from chivespoke.scheduling.policies._routing import DisturbanceRouting
from chivespoke.scheduling.policies._routing import EvenRouting
from chivespoke.scheduling.policies._routing import RoutingPolicy
from chivespoke.scheduling.policies._sizes import CorrectedSize
from chivespoke.scheduling.policies._sizes import DeclaredSizes
from chivespoke.scheduling.policies._sizes import LearntSizes
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
    'DisturbanceRouting',
    'EvenRouting',
    'EvictAtOnce',
    'FirstFit',
    'FollowedGuard',
    'FollowedPlacement',
    'FitOptions',
    'IgnoreReports',
    'InterferenceModel',
    'Knowledge',
    'LearningModel',
    'LearntSizes',
    'LeastLoaded',
    'MatchedReport',
    'NoGuard',
    'NoInterference',
    'Observation',
    'PairAverages',
    'PairwiseModel',
    'Prediction',
    'RandomChoice',
    'Refusal',
    'ReplicaState',
    'ReportMatcher',
    'RoutingPolicy',
    'Share',
    'SizePolicy',
    'Sketches',
    'SteppedGuard',
    'Tuning',
    'WeighedPlacement',
    'add_shares',
    'make_owner_policies',
    'decode_state',
    'encode_state',
    'make_share',
    'make_tuning',
    'observe_sizes',
    'read_quantile',
]
