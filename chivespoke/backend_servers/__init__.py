"""Backend servers: announcements, slots, dispatch, routing, draining."""

from chivespoke.backend_servers._announcer import Announcer
from chivespoke.backend_servers._announcer import KeyHandover
from chivespoke.backend_servers._crashes import compute_fingerprint
from chivespoke.backend_servers._crashes import CrashHistory
from chivespoke.backend_servers._crashes import CrashLog
from chivespoke.backend_servers._crashes import ServerCrash
from chivespoke.backend_servers._crashes import Suspicion
from chivespoke.backend_servers._executor import Executor
from chivespoke.backend_servers._home_manager import HomeLimits
from chivespoke.backend_servers._home_manager import HomeManager
from chivespoke.backend_servers._home_manager import Resolution
from chivespoke.backend_servers._home_streams import HomeStreams
from chivespoke.backend_servers._homes import Change
from chivespoke.backend_servers._homes import Fence
from chivespoke.backend_servers._homes import find_key_homes
from chivespoke.backend_servers._homes import HomesFold
from chivespoke.backend_servers._http import BackendServer
from chivespoke.backend_servers._http import filter_end_to_end_headers
from chivespoke.backend_servers._http import HttpBackendServer
from chivespoke.backend_servers._http import ProbeResult
from chivespoke.backend_servers._http import RunResult
from chivespoke.backend_servers._keys import KeyTable
from chivespoke.backend_servers._messages import Announcement
from chivespoke.backend_servers._messages import Dispatch
from chivespoke.backend_servers._messages import DISPATCH_NOT_RECEIVED
from chivespoke.backend_servers._messages import Farewell
from chivespoke.backend_servers._messages import FarewellNoted
from chivespoke.backend_servers._messages import HeaderPairs
from chivespoke.backend_servers._messages import KEY_NOT_RUN
from chivespoke.backend_servers._messages import LeavingNoted
from chivespoke.backend_servers._messages import Outcome
from chivespoke.backend_servers._messages import Reply
from chivespoke.backend_servers._messages import RequestClass
from chivespoke.backend_servers._messages import Revoke
from chivespoke.backend_servers._messages import STALE_HOME_LIST
from chivespoke.backend_servers._registry import NOT_CONNECTED
from chivespoke.backend_servers._registry import Registry
from chivespoke.backend_servers._registry import REPLY_MARGIN_SECONDS
from chivespoke.backend_servers._routing import ChoiceOfTwo
from chivespoke.backend_servers._routing import make_policy
from chivespoke.backend_servers._routing import RandomChoice
from chivespoke.backend_servers._routing import RoundRobin
from chivespoke.backend_servers._routing import RoutingPolicy
from chivespoke.backend_servers._routing import ServerView
from chivespoke.backend_servers._slots import Slots

__all__ = [
    'Announcement',
    'Announcer',
    'BackendServer',
    'Change',
    'ChoiceOfTwo',
    'CrashHistory',
    'CrashLog',
    'DISPATCH_NOT_RECEIVED',
    'Dispatch',
    'Executor',
    'Farewell',
    'FarewellNoted',
    'Fence',
    'HeaderPairs',
    'HomeLimits',
    'HomeManager',
    'HomeStreams',
    'HomesFold',
    'HttpBackendServer',
    'KEY_NOT_RUN',
    'KeyHandover',
    'KeyTable',
    'LeavingNoted',
    'NOT_CONNECTED',
    'Outcome',
    'ProbeResult',
    'REPLY_MARGIN_SECONDS',
    'RandomChoice',
    'Registry',
    'Reply',
    'RequestClass',
    'Resolution',
    'Revoke',
    'RoundRobin',
    'RoutingPolicy',
    'RunResult',
    'STALE_HOME_LIST',
    'ServerCrash',
    'ServerView',
    'Slots',
    'Suspicion',
    'compute_fingerprint',
    'filter_end_to_end_headers',
    'find_key_homes',
    'make_policy',
]
