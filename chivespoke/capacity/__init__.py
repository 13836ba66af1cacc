"""Capacity planning: cost of each role, extrapolated from measurements."""

from chivespoke.capacity._model import Estimate
from chivespoke.capacity._model import estimate_roles
from chivespoke.capacity._plot import draw_estimates
from chivespoke.capacity._requirements import list_requirements
from chivespoke.capacity._requirements import Requirement
from chivespoke.capacity._requirements import Verdict
from chivespoke.capacity._size import Budget
from chivespoke.capacity._size import Failures
from chivespoke.capacity._size import FleetSize
from chivespoke.capacity._size import Layout
from chivespoke.capacity._size import read_size
from chivespoke.capacity._slopes import Driver
from chivespoke.capacity._slopes import fit_slope
from chivespoke.capacity._slopes import Measure
from chivespoke.capacity._slopes import Measurements
from chivespoke.capacity._slopes import read_measurements
from chivespoke.capacity._slopes import Role
from chivespoke.capacity._slopes import Slope

__all__ = [
    'Budget',
    'Driver',
    'Estimate',
    'Failures',
    'FleetSize',
    'Layout',
    'Measure',
    'Measurements',
    'Requirement',
    'Role',
    'Slope',
    'Verdict',
    'draw_estimates',
    'estimate_roles',
    'fit_slope',
    'list_requirements',
    'read_measurements',
    'read_size',
]
