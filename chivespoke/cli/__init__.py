"""The command line of operators."""

from chivespoke.cli._application import COMMANDS
from chivespoke.cli._application import main

__all__ = ['COMMANDS', 'main']
