"""Start a daemon: ``python -m chivespoke.daemon entry|sidecar``."""

import signal
import sys


def main() -> int:
    """Run the daemon named by the argument and return its exit code."""
    # SIGHUP would end the process until the daemon handles it. The modules
    # imported below take 0.5 s, and the settings are read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from chivespoke.serving import __main__ as daemons

    return daemons.main()


if __name__ == '__main__':
    sys.exit(main())
