"""Seeded measurements; their figures go to standard output as JSON or text."""

from chivespoke.bench._policy_plot import draw_policies
from chivespoke.bench._policy_runner import Outcome as PolicyOutcome
from chivespoke.bench._policy_runner import run_all as run_policies
from chivespoke.bench._policy_runner import select as select_measure
from chivespoke.bench._policy_suites import POLICY_NAMES
from chivespoke.bench._processes import Daemon
from chivespoke.bench._processes import find_free_port
from chivespoke.bench._requests import RequestsReport
from chivespoke.bench._requests import run_requests
from chivespoke.bench._routing import measure_routing
from chivespoke.bench._routing import RoutingReport
from chivespoke.bench._slope_scenarios import list_slope_scenarios
from chivespoke.bench._slopes import measure_slopes
from chivespoke.bench._slopes import Progress
from chivespoke.bench._slopes import Scenario

__all__ = [
    'Daemon',
    'POLICY_NAMES',
    'PolicyOutcome',
    'Progress',
    'RequestsReport',
    'RoutingReport',
    'Scenario',
    'draw_policies',
    'find_free_port',
    'list_slope_scenarios',
    'measure_routing',
    'measure_slopes',
    'run_policies',
    'run_requests',
    'select_measure',
]
