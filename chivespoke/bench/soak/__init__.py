"""A soak of real daemons behind loopback proxies, under seeded faults."""

from chivespoke.bench.soak._checks import Promise
from chivespoke.bench.soak._checks import Violation
from chivespoke.bench.soak._run import run_soak
from chivespoke.bench.soak._run import SoakOptions
from chivespoke.bench.soak._run import SoakReport

__all__ = [
    'Promise',
    'SoakOptions',
    'SoakReport',
    'Violation',
    'run_soak',
]
