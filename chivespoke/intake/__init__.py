"""HTTP routes of an entry: submission, cancellation, status, readiness."""

from chivespoke.intake._job_routes import JobRoutes
from chivespoke.intake._job_routes import NeighbourRoutes
from chivespoke.intake._readiness import Readiness
from chivespoke.intake._relay import Relay
from chivespoke.intake._submissions import Submissions

__all__ = [
    'JobRoutes',
    'NeighbourRoutes',
    'Readiness',
    'Relay',
    'Submissions',
]
