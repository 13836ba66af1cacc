"""Reports of processes on the configuration version that they use."""

import abc
import collections.abc

import msgspec

from chivespoke import identifiers


class ProcessReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the version a process uses and when it was confirmed."""

    name: str
    kind: str
    data_centre: identifiers.DataCentreName
    incarnation: identifiers.Incarnation
    version: identifiers.Version
    digest: str
    # Seconds since the process last read the log to its end, which confirms
    # its version as the newest; None if it never did or does not read the
    # log itself.
    read_age_seconds: float | None
    # One sentence about what is wrong; empty if nothing is.
    trouble: str = ''


class CollectedReports(msgspec.Struct, frozen=True, array_like=True):
    """Hold the reports received and the processes that sent none."""

    reports: tuple[ProcessReport, ...]
    unreachable: tuple[str, ...] = ()


class LocalReporter(abc.ABC):
    """Provide reports of processes that report directly to this one."""

    @abc.abstractmethod
    def list_reports(self) -> collections.abc.Sequence[ProcessReport]:
        """Return the newest report of each process."""


class ReportCollector(abc.ABC):
    """Collect the reports of all processes of the system."""

    @abc.abstractmethod
    async def collect_reports(
        self, timeout_seconds: float
    ) -> CollectedReports:
        """Return the reports received within the timeout."""


class LocalReportCollector(ReportCollector):
    """Collect only the reports that this process holds."""

    __slots__ = ('_reporters',)

    def __init__(self, *reporters: LocalReporter) -> None:
        self._reporters = reporters

    async def collect_reports(
        self, timeout_seconds: float
    ) -> CollectedReports:
        return CollectedReports(
            tuple(
                report
                for reporter in self._reporters
                for report in reporter.list_reports()
            )
        )


class LaggingProcess(msgspec.Struct, frozen=True):
    """Describe a process that uses an older version."""

    report: ProcessReport
    # Seconds since the first version that the process lacks arrived here;
    # None if that time is no longer kept.
    behind: float | None


class VersionRollout(msgspec.Struct, frozen=True, kw_only=True):
    """Describe which processes use a version and which do not."""

    version: identifiers.Version
    processes: int
    in_force: int
    laggards: tuple[LaggingProcess, ...]
    # Processes at the same version with another digest.
    differing: tuple[ProcessReport, ...]
    unreachable: tuple[str, ...]

    def is_complete(self) -> bool:
        """Return whether every known process uses the version."""
        return not (self.laggards or self.differing or self.unreachable)


def summarize_reports(
    collected: CollectedReports,
    version: identifiers.Version,
    current: identifiers.Version,
    digest: str,
    measure_lag: collections.abc.Callable[[identifiers.Version], float],
) -> VersionRollout:
    """Summarize the rollout of a version from the reports."""
    laggards: list[LaggingProcess] = []
    differing: list[ProcessReport] = []
    for report in collected.reports:
        if report.version < version:
            behind = measure_lag(report.version)
            lag_seconds = behind if behind != float('inf') else None
            laggards.append(LaggingProcess(report, lag_seconds))
        elif report.version == current and report.digest != digest:
            differing.append(report)
    laggards.sort(key=lambda each: (each.report.version, each.report.name))
    return VersionRollout(
        version=version,
        processes=len(collected.reports) + len(collected.unreachable),
        in_force=len(collected.reports) - len(laggards),
        laggards=tuple(laggards),
        differing=tuple(differing),
        unreachable=collected.unreachable,
    )
