"""Reports of processes on the configuration version that they act on."""

import abc
import collections.abc

import msgspec

from chivespoke import identifiers


class ProcessReport(msgspec.Struct, frozen=True, array_like=True):
    """Tell which version a process acts on and how fresh its proof is."""

    name: str
    kind: str
    data_centre: identifiers.DataCentreName
    incarnation: identifiers.Incarnation
    version: identifiers.Version
    digest: str
    # Seconds since the process proved its version; None if it never did or
    # does not read the log itself.
    proof_age: float | None
    # What is wrong, in a sentence; empty when nothing is.
    trouble: str = ''


class CollectedReports(msgspec.Struct, frozen=True, array_like=True):
    """Hold the reports of many processes, and who gave none."""

    reports: tuple[ProcessReport, ...]
    unreachable: tuple[str, ...] = ()


class LocalReporter(abc.ABC):
    """Report on processes that this process hears from directly."""

    @abc.abstractmethod
    def list_reports(self) -> collections.abc.Sequence[ProcessReport]:
        """Return the newest report of each process."""


class ReportCollector(abc.ABC):
    """Ask every process of the system for its report."""

    @abc.abstractmethod
    async def collect_reports(
        self, timeout_seconds: float
    ) -> CollectedReports:
        """Return what answered in time; asked only on demand."""


class LocalReportCollector(ReportCollector):
    """Call the roll of what this process hears from alone."""

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
    """Name a process that does not act on the newest version."""

    report: ProcessReport
    # Seconds since the first version that it lacks arrived here; None if
    # that is too long ago to tell.
    behind: float | None


class VersionRollout(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how far a version has come."""

    version: identifiers.Version
    processes: int
    in_force: int
    laggards: tuple[LaggingProcess, ...]
    # Processes whose digest differs at the same version.
    differing: tuple[ProcessReport, ...]
    unreachable: tuple[str, ...]

    def is_complete(self) -> bool:
        """Tell whether every known process acts on the version."""
        return not (self.laggards or self.differing or self.unreachable)


def summarize_reports(
    collected: CollectedReports,
    version: identifiers.Version,
    current: identifiers.Version,
    digest: str,
    measure_lag: collections.abc.Callable[[identifiers.Version], float],
) -> VersionRollout:
    """Return who acts on a version and who lags, and by how long."""
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
