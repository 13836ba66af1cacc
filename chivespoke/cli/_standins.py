"""Commands that run fakes of the outside."""

import asyncio

import cyclopts

from chivespoke import application
from chivespoke import logs
from chivespoke import settings
from chivespoke import standins

STANDINS = cyclopts.App(name='standin', help='Run a fake of the outside.')


@STANDINS.command(name='backend-server')
def run_backend_server(*, port: int = 0, count: int = 1) -> None:
    """Run fake backend servers on consecutive ports."""
    logs.configure_logs(logs.LogFormat.HUMAN, 'INFO')
    ports = [port + index if port else 0 for index in range(count)]
    servers = [
        standins.CountingServer(settings.Address(port=each)) for each in ports
    ]
    asyncio.run(application.Application(servers).run())
