"""Small fakes of the outside, for tests, benches and the demo."""

from chivespoke.standins._backend_server import CountingServer
from chivespoke.standins._log import LogFaults
from chivespoke.standins._log import MemoryLog
from chivespoke.standins._log_server import LogServer

__all__ = ['CountingServer', 'LogFaults', 'LogServer', 'MemoryLog']
