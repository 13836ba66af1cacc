"""The daemons by name; ``chivespoke.daemon`` starts them."""

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
USAGE_EXIT_CODE = 2
Factory = collections.abc.Callable[
    [pathlib.Path, clock.Clock], application.Application
]
FACTORIES: dict[str, Factory] = {
    'entry': serving.make_entry,
    'sidecar': serving.make_sidecar,
}
USAGE = 'usage: python -m chivespoke.daemon entry|sidecar\n'


def main() -> int:
    """Run the daemon named by the argument and return its exit code."""
    logs.configure_json_lines()
    make = FACTORIES.get(sys.argv[1]) if len(sys.argv) == 2 else None
    if make is None:
        sys.stderr.write(USAGE)
        return USAGE_EXIT_CODE
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        asyncio.run(_run(make, path))
    except errors.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return USAGE_EXIT_CODE
    return 0


async def _run(make: Factory, path: pathlib.Path) -> None:
    # The components create asyncio events, so they are made in the event loop.
    await make(path, clock.SystemClock()).run()


if __name__ == '__main__':
    sys.exit(main())
