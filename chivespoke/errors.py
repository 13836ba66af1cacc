"""Errors that carry the step and the peer at which they arose."""


class ChivespokeError(Exception):
    """Report a failed step; the base of every error of this library."""

    __slots__ = ('step', 'peer', 'detail')

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f'{step} ({peer}): {detail}')
        self.step = step
        self.peer = peer
        self.detail = detail


class InvariantError(ChivespokeError):
    """Report a broken invariant; never caught, the process must stop."""


class SettingsError(ChivespokeError):
    """Report settings that cannot be used."""


class UnavailableError(ChivespokeError):
    """Report a peer that did not answer; the effect is unknown."""


class RefusedError(ChivespokeError):
    """Report a peer that refused; nothing took effect."""


def check_invariant(
    holds: bool, name: str, peer: str, detail: str = 'broken'
) -> None:
    """Raise InvariantError when an invariant does not hold."""
    if not holds:
        raise InvariantError(f'invariant {name}', peer, detail)
