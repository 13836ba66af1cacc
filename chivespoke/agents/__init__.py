"""The process beside each worker: registration, leases, orders, pacing."""

from chivespoke.agents._agent import Agent
from chivespoke.agents._registration import RegistrationDesk
from chivespoke.agents._registration import WorkerWatcher
from chivespoke.agents._session import Session
from chivespoke.agents._session import SessionOwner

__all__ = [
    'Agent',
    'RegistrationDesk',
    'Session',
    'SessionOwner',
    'WorkerWatcher',
]
