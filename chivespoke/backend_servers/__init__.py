"""Backend servers: announcements, slots, dispatch, routing, drain."""

from chivespoke.backend_servers._announcer import Announcer
from chivespoke.backend_servers._executor import Executor
from chivespoke.backend_servers._http import BackendServer
from chivespoke.backend_servers._http import HttpBackendServer
from chivespoke.backend_servers._http import keep_end_to_end
from chivespoke.backend_servers._http import RunResult
from chivespoke.backend_servers._messages import Dispatch
from chivespoke.backend_servers._messages import HeaderPairs
from chivespoke.backend_servers._messages import Outcome
from chivespoke.backend_servers._messages import Reply
from chivespoke.backend_servers._messages import RequestClass
from chivespoke.backend_servers._registry import Registry
from chivespoke.backend_servers._routing import ChoiceOfTwo
from chivespoke.backend_servers._routing import RandomChoice
from chivespoke.backend_servers._routing import RoundRobin
from chivespoke.backend_servers._routing import RoutingPolicy
from chivespoke.backend_servers._routing import ServerView
from chivespoke.backend_servers._slots import Slots

__all__ = [
    'Announcer',
    'BackendServer',
    'ChoiceOfTwo',
    'Dispatch',
    'Executor',
    'HeaderPairs',
    'HttpBackendServer',
    'Outcome',
    'RandomChoice',
    'Registry',
    'Reply',
    'RequestClass',
    'RoundRobin',
    'RoutingPolicy',
    'RunResult',
    'ServerView',
    'Slots',
    'keep_end_to_end',
]
