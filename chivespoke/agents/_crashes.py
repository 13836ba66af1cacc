"""The recent crashes of the worker beside a sidecar; no input or output."""

import typing

import msgspec

from chivespoke import coordination

# Time for which each crash is reported again: longer than a change of leader,
# so that one leader at least hears of it.
REPORT_SECONDS = 15.0
MAX_CRASHES = 4


class _Crash(typing.NamedTuple):
    """Hold a crash and the monotonic time in seconds of its record."""

    report: coordination.CrashReport
    recorded_at: float


class CrashLog:
    """Keep the crashes of a worker's incarnations for the reports."""

    __slots__ = ('_crashes',)

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []

    def record_replacement(
        self, report: coordination.CrashReport | None, now: float
    ) -> None:
        """Record that an incarnation was replaced; None if it had left."""
        if report is not None:
            self._crashes.append(_Crash(report, now))
            del self._crashes[:-MAX_CRASHES]

    def list_reports(
        self, current: str, now: float
    ) -> tuple[coordination.CrashReport, ...]:
        """Return the recent crashes while an incarnation answers.

        It cannot have crashed, even if a late registration of another one was
        taken for its end.
        """
        self._crashes = [
            crash
            for crash in self._crashes
            if now < crash.recorded_at + REPORT_SECONDS
            and crash.report.worker != current
        ]
        return tuple(
            msgspec.structs.replace(
                crash.report,
                silent_ms=crash.report.silent_ms
                + int((now - crash.recorded_at) * 1000),
            )
            for crash in self._crashes
        )
