"""Operators: versioned configuration, jobs and explanations."""

from chivespoke.operators._document import DataCentre
from chivespoke.operators._document import Document
from chivespoke.operators._document import Limits
from chivespoke.operators._document import Service
from chivespoke.operators._document import ServiceState
from chivespoke.operators._document import Team
from chivespoke.operators._document import Weights

__all__ = [
    'DataCentre',
    'Document',
    'Limits',
    'Service',
    'ServiceState',
    'Team',
    'Weights',
]
