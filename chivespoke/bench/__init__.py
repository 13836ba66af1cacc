"""Seeded measurements; their figures go to standard output as JSON or text."""

from chivespoke.bench._slope_scenarios import list_slope_scenarios
from chivespoke.bench._slopes import measure_slopes
from chivespoke.bench._slopes import Progress
from chivespoke.bench._slopes import Scenario

__all__ = [
    'Progress',
    'Scenario',
    'list_slope_scenarios',
    'measure_slopes',
]
