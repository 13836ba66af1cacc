"""Run a daemon as ``python -m chivespoke.serving entry|sidecar``."""

import asyncio
import collections.abc
import os
import pathlib
import sys

from chivespoke import application
from chivespoke import clock
from chivespoke import errors
from chivespoke import logs
from chivespoke import serving

SETTINGS_VARIABLE = 'CHIVESPOKE_CONFIG'
BAD_ARGUMENTS = 2
Maker = collections.abc.Callable[
    [pathlib.Path, clock.Clock], application.Application
]
MAKERS: dict[str, Maker] = {
    'entry': serving.make_entry,
    'sidecar': serving.make_sidecar,
}
USAGE = 'usage: python -m chivespoke.serving entry|sidecar\n'


def main() -> int:
    """Run the daemon that the arguments name and return its exit code."""
    logs.configure_json_lines()
    make = MAKERS.get(sys.argv[1]) if len(sys.argv) == 2 else None
    if make is None:
        sys.stderr.write(USAGE)
        return BAD_ARGUMENTS
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        asyncio.run(_run(make, path))
    except errors.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return BAD_ARGUMENTS
    return 0


async def _run(make: Maker, path: pathlib.Path) -> None:
    # Made within the loop, since parts make events when they are made.
    await make(path, clock.SystemClock()).run()


if __name__ == '__main__':
    sys.exit(main())
