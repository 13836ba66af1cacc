"""Exit codes, and what to do next, for each kind of error."""

from chivespoke import errors

DONE = 0
FAILED = 1
BAD_INPUT = 2
REFUSED = 3
UNKNOWN_EFFECT = 4
BROKEN_INVARIANT = 5
INTERRUPTED = 130

# In this order: the first class that the error is an instance of counts.
CODES: tuple[tuple[type[errors.ChivespokeError], int, str], ...] = (
    (
        errors.SettingsError,
        BAD_INPUT,
        'correct it, then run: chivespoke settings check FILE',
    ),
    (
        errors.RefusedError,
        REFUSED,
        'nothing took effect; change what the reason names and try again',
    ),
    (
        errors.UnavailableError,
        UNKNOWN_EFFECT,
        'see whether the peer runs and what it shows before you repeat this',
    ),
    (
        errors.InvariantError,
        BROKEN_INVARIANT,
        'keep the output and report it as a fault of chivespoke',
    ),
    (errors.ChivespokeError, FAILED, 'read the step and the peer above'),
)


def find_exit_code(error: errors.ChivespokeError) -> int:
    """Return the exit code of an error."""
    return next(code for kind, code, _ in CODES if isinstance(error, kind))


def find_next_step(error: errors.ChivespokeError) -> str:
    """Return what a person can do about an error."""
    return next(step for kind, _, step in CODES if isinstance(error, kind))
