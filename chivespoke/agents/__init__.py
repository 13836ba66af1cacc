"""The sidecar of a worker: registration, leases, orders and pacing."""

from chivespoke.agents._agent import Agent
from chivespoke.agents._registration import RegistrationListener
from chivespoke.agents._registration import RegistrationRoutes
from chivespoke.agents._session import Session
from chivespoke.agents._session import SessionListener

__all__ = [
    'Agent',
    'RegistrationListener',
    'RegistrationRoutes',
    'Session',
    'SessionListener',
]
