"""The command line of operators."""

from chivespoke.cli._application import COMMANDS
from chivespoke.cli._application import main
from chivespoke.cli import _daemons
from chivespoke.cli import _settings

__all__ = ['COMMANDS', 'main']

# Groups of commands register themselves when they are imported.
del _daemons
del _settings
