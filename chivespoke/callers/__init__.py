"""Callers: requests in, whole replies out."""

from chivespoke.callers._dispatcher import Dispatcher
from chivespoke.callers._gateway import Gateway
from chivespoke.callers._retries import RetryBudget

__all__ = ['Dispatcher', 'Gateway', 'RetryBudget']
