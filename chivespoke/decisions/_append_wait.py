"""How long requests wait until their records are stored.

Load pattern: in a burst the store answers dozens of times slower than usual.
Appended one by one, and given up after a fixed time, records are stored after
their callers were told that the outcome is not known. Instead, records that
come together share an append, and a caller waits while the store answers.
"""

import collections.abc

import msgspec

from chivespoke.decisions import _timeout

# Time kept for the way of the answer to the caller.
ANSWER_MARGIN_SECONDS = 0.3
# Time without an answer to any call after which further requests are refused
# at once, unless the store usually takes longer.
MIN_SILENCE_SECONDS = 1.0
# Time without an answer to any call after which the outcome of an append under
# way is given up.
MAX_SILENCE_SECONDS = _timeout.MAX_TIMEOUT_SECONDS
# Number of appends of one entry that are under way at a time. A further one
# starts only if those before it are overdue.
MAX_APPENDS = 4


class AppendWait(msgspec.Struct, frozen=True):
    """Describe a request whose record is not known to be stored."""

    # Time until its caller must be answered.
    remaining_seconds: float
    # The record was handed to the store.
    sent: bool


class StoreSilence(msgspec.Struct, frozen=True):
    """Describe how long the store has not answered while it should have.

    `seconds` is 0 while no append is under way.
    """

    seconds: float
    # Adaptive timeout of the next append.
    timeout_seconds: float

    @property
    def refuses(self) -> bool:
        """Return whether further requests are to be refused at once."""
        return self.seconds >= max(MIN_SILENCE_SECONDS, self.timeout_seconds)


def must_answer(wait: AppendWait, silence: StoreSilence) -> bool:
    """Return whether a caller is answered now, without an outcome."""
    if wait.remaining_seconds <= 0:
        return True
    if not wait.sent:
        # It can still be refused truthfully, so that the caller may retry.
        return silence.refuses
    return silence.seconds >= MAX_SILENCE_SECONDS


def may_append(
    ages: collections.abc.Sequence[float],
    timeout_seconds: float,
    silence: StoreSilence,
) -> bool:
    """Return whether to append beside the appends under way, by their ages.

    One append that takes long does not hold up the records behind it, if the
    store answers other calls. Otherwise they can still be refused.
    """
    if not ages:
        return True
    return (
        len(ages) < MAX_APPENDS
        and min(ages) >= timeout_seconds
        and silence.seconds < silence.timeout_seconds
    )


def is_worth_sending(
    remaining_seconds: float, reply_seconds: float | None
) -> bool:
    """Return whether the outcome of an append would still reach the caller.

    Otherwise the caller is better off with a refusal. `reply_seconds` is the
    average time of an append, None if it is not known.
    """
    return remaining_seconds > (reply_seconds or 0.0)
