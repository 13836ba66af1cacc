"""Scheduling decisions: pure functions and small state objects, no I/O."""

from chivespoke.decisions._admission import Admission
from chivespoke.decisions._admission import AdmissionCause
from chivespoke.decisions._admission import classify_sizes
from chivespoke.decisions._admission import decide_admission
from chivespoke.decisions._admission import JobDemand
from chivespoke.decisions._admission import MAX_SUMMARY_AGE_SECONDS
from chivespoke.decisions._admission import PriorityLoad
from chivespoke.decisions._admission import ServiceLoad
from chivespoke.decisions._admission import SizeClass
from chivespoke.decisions._advice import AdviceCache
from chivespoke.decisions._advice import AdviceRequest
from chivespoke.decisions._advice import MAX_REQUEST_WORKERS
from chivespoke.decisions._append_wait import ANSWER_MARGIN_SECONDS
from chivespoke.decisions._append_wait import AppendWait
from chivespoke.decisions._append_wait import is_worth_sending
from chivespoke.decisions._append_wait import may_append
from chivespoke.decisions._append_wait import must_answer
from chivespoke.decisions._append_wait import StoreSilence
from chivespoke.decisions._crashes import describe_crashes
from chivespoke.decisions._crashes import find_suspects
from chivespoke.decisions._crashes import is_conclusive
from chivespoke.decisions._crashes import is_hopeless
from chivespoke.decisions._crashes import is_outage
from chivespoke.decisions._crashes import LostRun
from chivespoke.decisions._crashes import MAX_CRASHES
from chivespoke.decisions._crashes import may_wait_for_proof
from chivespoke.decisions._crashes import OUTAGE_SECONDS
from chivespoke.decisions._crashes import SUSPECT_AGE_SECONDS
from chivespoke.decisions._duration_statistics import DurationState
from chivespoke.decisions._duration_statistics import FitState
from chivespoke.decisions._duration_statistics import ImageState
from chivespoke.decisions._duration_statistics import StepState
from chivespoke.decisions._durations import DeclaredDurations
from chivespoke.decisions._durations import DurationEstimate
from chivespoke.decisions._durations import DurationModel
from chivespoke.decisions._durations import LearnedDurations
from chivespoke.decisions._durations import MAX_SECONDS
from chivespoke.decisions._durations import MIN_SECONDS
from chivespoke.decisions._evictions import choose_room
from chivespoke.decisions._evictions import estimate_lost_work
from chivespoke.decisions._evictions import EvictableRun
from chivespoke.decisions._evictions import RoomChoice
from chivespoke.decisions._evictions import RoomOffer
from chivespoke.decisions._evictions import select_evictions
from chivespoke.decisions._interference import CoefficientState
from chivespoke.decisions._interference import FixedInterferenceModel
from chivespoke.decisions._interference import InterferenceCoefficient
from chivespoke.decisions._interference import InterferenceModel
from chivespoke.decisions._interference import LearnedInterferenceModel
from chivespoke.decisions._moves import HELD_PACE_PERCENT
from chivespoke.decisions._moves import HELD_PACE_SECONDS
from chivespoke.decisions._moves import HELD_SPEED
from chivespoke.decisions._moves import is_move_worthwhile
from chivespoke.decisions._moves import RunForecast
from chivespoke.decisions._moves import SpeedTracker
from chivespoke.decisions._neighbours import MAX_NEIGHBOURS
from chivespoke.decisions._neighbours import may_pass_on
from chivespoke.decisions._neighbours import NeighbourAnswer
from chivespoke.decisions._neighbours import NeighbourSelector
from chivespoke.decisions._ordering import make_sort_key
from chivespoke.decisions._ordering import measure_critical_path
from chivespoke.decisions._ordering import measure_remaining_paths
from chivespoke.decisions._ordering import PendingStep
from chivespoke.decisions._ordering import VALUE_CUTOFF_FACTOR
from chivespoke.decisions._paced_runs import FULL_PACE_PERCENT
from chivespoke.decisions._paced_runs import PaceChange
from chivespoke.decisions._paced_runs import PacedRun
from chivespoke.decisions._paced_runs import TARGET_TAIL_SHARE
from chivespoke.decisions._pacing import Pacer
from chivespoke.decisions._placement import can_run_on
from chivespoke.decisions._placement import CandidateWorker
from chivespoke.decisions._placement import choose_worker
from chivespoke.decisions._placement import deduct_filler
from chivespoke.decisions._placement import estimate_spare_millis
from chivespoke.decisions._placement import estimate_speed
from chivespoke.decisions._placement import LatencyHeadroom
from chivespoke.decisions._placement import may_wait_for_speed
from chivespoke.decisions._placement import WorkerRanking
from chivespoke.decisions._quarantine import WorkerQuarantine
from chivespoke.decisions._repeats import MAX_OPEN_TRIES
from chivespoke.decisions._repeats import OPEN_TRY_SECONDS
from chivespoke.decisions._repeats import RepeatSchedule
from chivespoke.decisions._shortages import ShortageTracker
from chivespoke.decisions._shortages import StepDemand
from chivespoke.decisions._stalls import StallDetector
from chivespoke.decisions._standings import Rank
from chivespoke.decisions._standings import Standing
from chivespoke.decisions._timeout import AdaptiveTimeout
from chivespoke.decisions._triage import CrowdingDetector
from chivespoke.decisions._triage import JobOutlook
from chivespoke.decisions._triage import rank_jobs
from chivespoke.decisions._triage import ServiceOutlook
from chivespoke.decisions._window import SendWindow

__all__ = [
    'ANSWER_MARGIN_SECONDS',
    'AdaptiveTimeout',
    'Admission',
    'AdmissionCause',
    'AdviceCache',
    'AdviceRequest',
    'AppendWait',
    'CandidateWorker',
    'CoefficientState',
    'CrowdingDetector',
    'DeclaredDurations',
    'DurationEstimate',
    'DurationModel',
    'DurationState',
    'EvictableRun',
    'FULL_PACE_PERCENT',
    'FitState',
    'FixedInterferenceModel',
    'HELD_PACE_PERCENT',
    'HELD_PACE_SECONDS',
    'HELD_SPEED',
    'ImageState',
    'InterferenceCoefficient',
    'InterferenceModel',
    'JobDemand',
    'JobOutlook',
    'LatencyHeadroom',
    'LearnedDurations',
    'LearnedInterferenceModel',
    'LostRun',
    'MAX_CRASHES',
    'MAX_NEIGHBOURS',
    'MAX_OPEN_TRIES',
    'MAX_REQUEST_WORKERS',
    'MAX_SECONDS',
    'MAX_SUMMARY_AGE_SECONDS',
    'MIN_SECONDS',
    'NeighbourAnswer',
    'NeighbourSelector',
    'OPEN_TRY_SECONDS',
    'OUTAGE_SECONDS',
    'PaceChange',
    'PacedRun',
    'Pacer',
    'PendingStep',
    'PriorityLoad',
    'Rank',
    'RepeatSchedule',
    'RoomChoice',
    'RoomOffer',
    'RunForecast',
    'SUSPECT_AGE_SECONDS',
    'SendWindow',
    'ServiceLoad',
    'ServiceOutlook',
    'ShortageTracker',
    'SizeClass',
    'SpeedTracker',
    'StallDetector',
    'Standing',
    'StepDemand',
    'StepState',
    'StoreSilence',
    'TARGET_TAIL_SHARE',
    'VALUE_CUTOFF_FACTOR',
    'WorkerQuarantine',
    'WorkerRanking',
    'can_run_on',
    'choose_room',
    'choose_worker',
    'classify_sizes',
    'decide_admission',
    'deduct_filler',
    'describe_crashes',
    'estimate_lost_work',
    'estimate_spare_millis',
    'estimate_speed',
    'find_suspects',
    'is_conclusive',
    'is_hopeless',
    'is_move_worthwhile',
    'is_outage',
    'is_worth_sending',
    'make_sort_key',
    'may_append',
    'may_pass_on',
    'may_wait_for_proof',
    'may_wait_for_speed',
    'measure_critical_path',
    'measure_remaining_paths',
    'must_answer',
    'rank_jobs',
    'select_evictions',
]
