"""Decisions as plain functions and small states, apart from any I/O."""

from chivespoke.decisions._advice import AdviceCache
from chivespoke.decisions._advice import AdviceRequest
from chivespoke.decisions._advice import MAX_REQUEST_WORKERS
from chivespoke.decisions._interference import FixedInterferenceModel
from chivespoke.decisions._interference import InterferenceCoefficient
from chivespoke.decisions._interference import InterferenceModel
from chivespoke.decisions._interference import LearnedInterferenceModel
from chivespoke.decisions._ordering import LATE_FACTOR
from chivespoke.decisions._ordering import make_sort_key
from chivespoke.decisions._ordering import measure_critical_path
from chivespoke.decisions._ordering import PendingStep
from chivespoke.decisions._pacing import FULL_PACE_PERCENT
from chivespoke.decisions._pacing import PaceChange
from chivespoke.decisions._pacing import PacedRun
from chivespoke.decisions._pacing import Pacer
from chivespoke.decisions._pacing import TARGET_TAIL_SHARE
from chivespoke.decisions._placement import can_run_on
from chivespoke.decisions._placement import CandidateWorker
from chivespoke.decisions._placement import choose_worker
from chivespoke.decisions._placement import estimate_spare_millis
from chivespoke.decisions._placement import LatencyHeadroom
from chivespoke.decisions._quarantine import WorkerQuarantine
from chivespoke.decisions._stalls import StallDetector
from chivespoke.decisions._timeout import AdaptiveTimeout

__all__ = [
    'AIM',
    'AdviceBook',
    'Conduct',
    'Demand',
    'FULL_PACE',
    'Headroom',
    'KnownPressures',
    'LATE_FACTOR',
    'PaceOrder',
    'PacedRun',
    'Pacer',
    'Patience',
    'Pressure',
    'PressureModel',
    'Pressures',
    'ProgressWatch',
    'QUESTION_SIZE',
    'Question',
    'Site',
    'can_take',
    'choose_site',
    'estimate_spare',
    'measure_chain',
    'rank',
]
