"""Command line entry point for ``python -m chivespoke``."""

from chivespoke import cli

if __name__ == '__main__':
    cli.main()
