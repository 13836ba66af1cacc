"""The command-line interface for operators."""

from chivespoke.cli._application import COMMANDS
from chivespoke.cli._application import main

__all__ = ['COMMANDS', 'main']

# Commands are imported when they are called, so that a daemon does not load
# modules that only another command needs, such as numpy.
COMMANDS.command(
    'chivespoke.cli._bench:BENCH',
    name='bench',
    help='Measure speeds and costs on this machine.',
)
COMMANDS.command(
    'chivespoke.cli._capacity:show_capacity',
    name='capacity',
    help='Estimate the resource use of each role for a fleet size.',
)
COMMANDS.command(
    'chivespoke.cli._config:CONFIG',
    name='config',
    help='Show and patch the configuration and follow its versions.',
)
COMMANDS.command(
    'chivespoke.cli._data_centre:DATA_CENTRE',
    name='data-centre',
    help='Take data centres out of service and return them.',
)
COMMANDS.command(
    'chivespoke.cli._demo:show_demo',
    name='demo',
    help='Demonstrate the whole system in one process.',
)
COMMANDS.command(
    'chivespoke.cli._daemons:run_entry',
    name='entry',
    help='Run an entry until it is told to stop.',
)
COMMANDS.command(
    'chivespoke.cli._status:explain',
    name='explain',
    help="Explain an object's state, why, and what would change it.",
)
COMMANDS.command(
    'chivespoke.cli._job:JOB',
    name='job',
    help='Submit, cancel and follow jobs.',
)
COMMANDS.command(
    'chivespoke.cli._settings:SETTINGS',
    name='settings',
    help='Check settings files and list their keys.',
)
COMMANDS.command(
    'chivespoke.cli._daemons:run_sidecar',
    name='sidecar',
    help='Run the sidecar of a backend server until it is told to stop.',
)
COMMANDS.command(
    'chivespoke.cli._standins:STANDINS',
    name='standin',
    help='Run a fake of an external system.',
)
COMMANDS.command(
    'chivespoke.cli._status:show_status',
    name='status',
    help='Show what needs attention, which processes lag, and how far.',
)
COMMANDS.command(
    'chivespoke.cli._trace:trace',
    name='trace',
    help="Follow a job, task or worker through the platform daemons' logs.",
)
