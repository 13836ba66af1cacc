"""The request path of callers: HTTP gateway, dispatch, retries, limits."""

from chivespoke.callers._attempts import AttemptRunner
from chivespoke.callers._attempts import CallerRequest
from chivespoke.callers._dispatcher import Dispatcher
from chivespoke.callers._gateway import Gateway
from chivespoke.callers._headers import CallerHeaders
from chivespoke.callers._keyed import KeyedDispatcher
from chivespoke.callers._limits import RequestLimits
from chivespoke.callers._retries import RetryBudget

__all__ = [
    'AttemptRunner',
    'CallerHeaders',
    'CallerRequest',
    'Dispatcher',
    'Gateway',
    'KeyedDispatcher',
    'RequestLimits',
    'RetryBudget',
]
