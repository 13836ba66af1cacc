"""The command line of operators."""

from chivespoke.cli._application import COMMANDS
from chivespoke.cli._application import main

__all__ = ['COMMANDS', 'main']

# Imported only when they are called: a daemon must not hold what another
# command needs, such as numpy.
COMMANDS.command(
    'chivespoke.cli._bench:BENCH',
    name='bench',
    help='Measure speeds and costs on this machine.',
)
COMMANDS.command(
    'chivespoke.cli._capacity:show_capacity',
    name='capacity',
    help="Work out what each role costs at a fleet's size.",
)
COMMANDS.command(
    'chivespoke.cli._config:CONFIG',
    name='config',
    help='Show, patch and follow the numbered configuration.',
)
COMMANDS.command(
    'chivespoke.cli._data_centre:DATA_CENTRE',
    name='data-centre',
    help='Take data centres out of service and return them.',
)
COMMANDS.command(
    'chivespoke.cli._demo:show_demo',
    name='demo',
    help='Run the whole system in one process and show it work.',
)
COMMANDS.command(
    'chivespoke.cli._daemons:run_entry',
    name='entry',
    help='Run an entry until it is told to stop.',
)
COMMANDS.command(
    'chivespoke.cli._status:explain',
    name='explain',
    help='Explain what a thing is, why, and what would change it.',
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
    help='Run the process beside a backend server until told to stop.',
)
COMMANDS.command(
    'chivespoke.cli._standins:STANDINS',
    name='standin',
    help='Run a fake of the outside.',
)
COMMANDS.command(
    'chivespoke.cli._status:show_status',
    name='status',
    help='Show what calls for a hand, who lags, and by how long.',
)
COMMANDS.command(
    'chivespoke.cli._trace:trace',
    name='trace',
    help="Follow a job, task or worker through the platform daemons' logs.",
)
