"""The process beside each worker: registration, leases, orders, pacing."""

from chivespoke.agents._agent import Agent
from chivespoke.agents._registration import RegistrationHandler
from chivespoke.agents._registration import RegistrationListener
from chivespoke.agents._session import Session
from chivespoke.agents._session import SessionListener

__all__ = [
    'Agent',
    'RegistrationHandler',
    'RegistrationListener',
    'Session',
    'SessionListener',
]
