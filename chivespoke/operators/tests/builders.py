"""Builders of documents, patches and configurations for tests."""

import typing

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication

BASE_TREE: dict[str, typing.Any] = {
    'data_centres': {
        'colombo-1': {'region': 'western'},
        'colombo-2': {'region': 'western'},
    },
    'teams': {'counting': {'quota': [64000, 65536, 4]}},
    'services': {
        'counts': {
            'team': 'counting',
            'replicas': 3,
            'size': [1000, 1024, 0],
            'data_centres': ['colombo-1'],
        }
    },
}


def build_operation(
    op: str, path: str, value: typing.Any = None
) -> operators.Operation:
    """Return an operation; the value is ignored for a removal."""
    verb = operators.OperationKind(op)
    if verb is operators.OperationKind.REMOVE:
        return operators.Operation(verb, path)
    return operators.Operation(verb, path, value)


BASE_OPERATIONS = tuple(
    build_operation('add', f'/{section}/{name}', entry)
    for section in ('data_centres', 'teams', 'services')
    for name, entry in BASE_TREE[section].items()
)


def build_proposal(
    proposal_id: str,
    base: int,
    *operations: operators.Operation,
    author: str = 'kumari',
) -> operators.PatchProposed:
    """Return a proposal."""
    return operators.PatchProposed(
        identifiers.ProposalId(proposal_id),
        identifiers.Version(base),
        author,
        1.7e9,
        operations,
    )


def build_position(offset: int = 0) -> replication.Position:
    """Return a stream position with the given offset."""
    return replication.Position(
        identifiers.Offset(offset), 0, identifiers.Incarnation('one')
    )


def build_fold() -> operators.ConfigurationFold:
    """Return a fold at version 1, which holds the base tree."""
    fold = operators.ConfigurationFold()
    fold.apply(build_proposal('first', 0, *BASE_OPERATIONS), build_position())
    return fold


class ConfigurationProcess:
    """Run a configuration with its own committer."""

    def __init__(
        self, log: replication.Log, clock: clocks.Clock, name: str
    ) -> None:
        self.committer = replication.GroupCommitter(
            log, clock, identifiers.Incarnation(name), seed=1
        )
        self.configuration = operators.Configuration(
            log, self.committer, clock
        )

    async def start(self) -> None:
        """Start following the stream."""
        await self.configuration.start()

    async def stop(self) -> None:
        """Stop the configuration and the committer."""
        await self.configuration.stop()
        await self.committer.stop()
