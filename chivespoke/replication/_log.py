"""The interface of the platform's append-only log."""

import abc

import msgspec

from chivespoke import identifiers


class LogRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold one appended payload and its offset in the stream."""

    offset: identifiers.Offset
    payload: bytes


class LogPage(msgspec.Struct, frozen=True, array_like=True):
    """Hold consecutive records and the bounds of the stream.

    The bounds are those at the time of the read: when the read began, the
    stream held no record at or after ``end``.
    """

    records: tuple[LogRecord, ...]
    # The oldest offset that the log still retains.
    earliest: identifiers.Offset
    # The offset of the next append.
    end: identifiers.Offset


class Log(abc.ABC):
    """Append to and read from named streams of opaque payloads."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        """Append one payload and return its offset.

        Raise UnavailableError when the outcome is unknown (the payload may
        have been appended, even twice), RefusedError when nothing was
        appended.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> LogPage:
        """Return up to limit records, beginning at offset start.

        If there is no record yet, wait up to wait_seconds for one. Records
        before LogPage.earliest have expired: if earliest is greater than
        start, the records between the two are lost. Raise UnavailableError
        when the log does not answer.
        """
