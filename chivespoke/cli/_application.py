"""The root command, at which the package registers all others."""

import importlib.metadata
import sys
import typing

import cyclopts

from chivespoke.cli import _exit_codes
from chivespoke.cli import _output
from chivespoke import errors

EPILOGUE = """\
Exit codes: 0 done; 1 failed; 2 bad arguments, settings or files;
3 refused, nothing took effect; 4 a peer did not answer, the effect is
unknown; 5 an invariant is broken; 130 interrupted.

Examples:

  chivespoke demo

  chivespoke settings check examples/entry.yaml

  chivespoke capacity --settings examples/size-letter-1.yaml
"""

COMMANDS = cyclopts.App(
    name='chivespoke',
    help='Schedule colocated latency-critical and batch work.',
    help_epilogue=EPILOGUE,
    version=importlib.metadata.version('chivespoke'),
    exit_on_error=False,
    suppress_keyboard_interrupt=False,
)
COMMANDS.register_install_completion_command()


def main() -> None:
    """Run the command given by the arguments and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        result: typing.Any = COMMANDS(arguments, result_action='return_value')
    except cyclopts.CycloptsError:
        # Cyclopts has already printed the error.
        _output.print_next_step('run the command with --help')
        return _exit_codes.BAD_INPUT
    except errors.ChivespokeError as error:
        _output.print_error(error)
        return _exit_codes.find_exit_code(error)
    except KeyboardInterrupt:
        return _exit_codes.INTERRUPTED
    return result if isinstance(result, int) else _exit_codes.DONE
