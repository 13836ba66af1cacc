"""Typed identifiers used in messages, records and state."""

import secrets
import typing

ServiceName = typing.NewType('ServiceName', str)
DataCentreName = typing.NewType('DataCentreName', str)
RackName = typing.NewType('RackName', str)
WorkerId = typing.NewType('WorkerId', str)
TeamName = typing.NewType('TeamName', str)
JobId = typing.NewType('JobId', str)
# Names the n-th task of a job or the n-th replica of a service.
TaskId = typing.NewType('TaskId', str)
# Identifies one run of a process; every restart makes a new one.
Incarnation = typing.NewType('Incarnation', str)
ProposalId = typing.NewType('ProposalId', str)
Version = typing.NewType('Version', int)
Offset = typing.NewType('Offset', int)
Attempt = typing.NewType('Attempt', int)

RANDOM_BYTES = 8


def make_incarnation() -> Incarnation:
    """Return a new random incarnation."""
    return Incarnation(secrets.token_hex(RANDOM_BYTES))


def make_proposal_id() -> ProposalId:
    """Return a new random proposal id."""
    return ProposalId(secrets.token_hex(RANDOM_BYTES))
