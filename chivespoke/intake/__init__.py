"""The entry's door: jobs, cancels, questions, readiness."""

from chivespoke.intake._desk import JobDesk
from chivespoke.intake._readiness import Readiness

__all__ = ['JobDesk', 'Readiness']
