"""The entry's door: jobs, cancels, questions, readiness."""

from chivespoke.intake._job_routes import JobRoutes
from chivespoke.intake._readiness import Readiness

__all__ = ['JobDesk', 'Readiness']
