"""Exit codes, and the exit code and advice for each class of error."""

from chivespoke import errors

DONE = 0
FAILED = 1
BAD_INPUT = 2
REFUSED = 3
UNKNOWN_EFFECT = 4
BROKEN_INVARIANT = 5
INTERRUPTED = 130

# In order: the first class that the error is an instance of applies.
ERROR_CODES: tuple[tuple[type[errors.ChivespokeError], int, str], ...] = (
    (
        errors.SettingsError,
        BAD_INPUT,
        'correct it, then run: chivespoke settings check FILE',
    ),
    (
        errors.RefusedError,
        REFUSED,
        'nothing took effect; correct what the reason names and try again',
    ),
    (
        errors.UnavailableError,
        UNKNOWN_EFFECT,
        'check the state of the peer before you repeat the command',
    ),
    (
        errors.InvariantError,
        BROKEN_INVARIANT,
        'keep the output and report it as a fault of chivespoke',
    ),
    (
        errors.ChivespokeError,
        FAILED,
        'check the step and the peer that are named above',
    ),
)


def find_exit_code(error: errors.ChivespokeError) -> int:
    """Return the exit code of an error."""
    return next(
        code
        for error_type, code, _ in ERROR_CODES
        if isinstance(error, error_type)
    )


def find_next_step(error: errors.ChivespokeError) -> str:
    """Return what the user can do about an error."""
    return next(
        advice
        for error_type, _, advice in ERROR_CODES
        if isinstance(error, error_type)
    )
