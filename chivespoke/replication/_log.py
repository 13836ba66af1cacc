"""The platform's append-only log, as the rest of the system sees it."""

import abc

import msgspec

from chivespoke import identifiers


class LogRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold one appended payload and where it stands in its stream."""

    offset: identifiers.Offset
    payload: bytes


class LogPage(msgspec.Struct, frozen=True, array_like=True):
    """Hold consecutive records and the bounds of the stream.

    The bounds are those at the moment of reading: the page proves that no
    record beyond ``end`` existed when the read began.
    """

    records: tuple[LogRecord, ...]
    # The oldest offset that is still kept.
    earliest: identifiers.Offset
    # The offset that the next append will take.
    end: identifiers.Offset


class Log(abc.ABC):
    """Append to and read from named streams of opaque payloads."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        """Append one payload and return its offset.

        Raise UnavailableError when the fate is unknown (the record may be
        there, even twice), RefusedError when nothing was appended.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> LogPage:
        """Return up to limit records from start on.

        Wait up to wait_seconds for a first record when there is none.
        Records before LogPage.earliest have expired: when earliest is
        beyond start, the records between are gone. Raise
        UnavailableError when the log does not answer.
        """
