"""HTTP routes of an entry: submission, cancellation, status, readiness."""

from chivespoke.intake._job_routes import JobRoutes
from chivespoke.intake._readiness import Readiness

__all__ = [
    'JobRoutes',
    'Readiness',
]
