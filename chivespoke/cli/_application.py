"""The command line's root; each group of commands adds itself here."""

import cyclopts

COMMANDS = cyclopts.App(
    name='chivespoke',
    help='Schedule colocated latency-critical and batch work.',
)


def main() -> None:
    """Run the command that the arguments name."""
    COMMANDS()
