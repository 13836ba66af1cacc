"""Errors with the step that failed and the peer it involved."""


class ChivespokeError(Exception):
    """Report a failed step; base class of all errors of this package."""

    __slots__ = ('step', 'peer', 'detail')

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f'{step} ({peer}): {detail}')
        self.step = step
        self.peer = peer
        self.detail = detail


class InvariantError(ChivespokeError):
    """Report a violated invariant.

    Nothing recovers from it; the process must stop.
    """


class SettingsError(ChivespokeError):
    """Report a settings file that cannot be read or is invalid."""


class UnavailableError(ChivespokeError):
    """Report a peer that did not answer; the outcome is unknown."""


class RefusedError(ChivespokeError):
    """Report a request that was refused and had no effect."""


class NotLoadedError(RefusedError):
    """Report a request that needs a state that is loaded and current."""


def check_invariant(
    holds: bool, name: str, peer: str, detail: str = 'broken'
) -> None:
    """Raise InvariantError if ``holds`` is false."""
    if not holds:
        raise InvariantError(f'invariant {name}', peer, detail)
