"""Run the command line as ``python -m chivespoke``."""

from chivespoke import cli

if __name__ == '__main__':
    cli.main()
