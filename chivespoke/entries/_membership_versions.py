"""Configuration versions that entries announce and sidecars confirm."""

import collections.abc

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke.entries import _handlers
from chivespoke.entries import _membership_messages as messages
from chivespoke.entries import _messages
from chivespoke.entries import _transport
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators

# Interval at which sidecars without confirmation are notified again.
NOTICE_INTERVAL_SECONDS = 0.25


class SidecarVersionTracker(application.Component, operators.LocalReporter):
    """Notify sidecars of the version; report the version of each process.

    A sidecar is notified until it confirms the version. No messages are sent
    between changes of the configuration.
    """

    __slots__ = (
        '_identity',
        '_configuration',
        '_server',
        '_clock',
        '_sidecar_reports',
        '_tasks',
    )

    def __init__(
        self,
        identity: _messages.Identity,
        configuration: operators.Configuration,
        server: _transport.MessageServer,
        handlers: _handlers.Handlers,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._server = server
        self._clock = clock
        self._sidecar_reports: dict[
            identifiers.Incarnation, operators.ProcessReport
        ] = {}
        self._tasks = application.TaskOwner()
        handlers.register(messages.VersionNoted, self._handle_version_noted)
        handlers.register_loss(self._remove_report)

    async def start(self) -> None:
        self._tasks.spawn_loop(self._notify_sidecars)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def list_reports(
        self,
    ) -> collections.abc.Sequence[operators.ProcessReport]:
        configuration = self._configuration
        age = configuration.follower.measure_read_age()
        fault = configuration.replica.fault
        own = operators.ProcessReport(
            self._identity.name,
            'entry',
            self._identity.data_centre,
            self._identity.incarnation,
            configuration.version,
            configuration.digest,
            age if age != float('inf') else None,
            str(fault) if fault is not None else '',
        )
        return (own, *self._sidecar_reports.values())

    async def _notify_sidecars(self) -> None:
        while True:
            version = self._configuration.version
            notice = messages.VersionNotice(
                version, self._configuration.digest
            )
            for peer in self._server.list_peers():
                confirmed = self._sidecar_reports.get(peer.incarnation)
                if confirmed is None or confirmed.version < version:
                    _try_send(peer, notice)
            await self._clock.sleep(NOTICE_INTERVAL_SECONDS)

    async def _handle_version_noted(
        self, peer: _handlers.Peer, confirmed: messages.VersionNoted
    ) -> None:
        self._sidecar_reports[peer.incarnation] = operators.ProcessReport(
            peer.name,
            'sidecar',
            confirmed.data_centre,
            peer.incarnation,
            confirmed.version,
            confirmed.digest,
            None,
        )

    def _remove_report(self, peer: _handlers.Peer) -> None:
        self._sidecar_reports.pop(peer.incarnation, None)


class VersionHolder:
    """Hold the version that a sidecar uses; it never decreases."""

    __slots__ = ('version', 'digest', '_data_centre')

    def __init__(
        self,
        data_centre: identifiers.DataCentreName,
        handlers: _handlers.Handlers,
    ) -> None:
        self.version = identifiers.Version(0)
        self.digest = ''
        self._data_centre = data_centre
        handlers.register(messages.VersionNotice, self._handle_version_notice)

    async def _handle_version_notice(
        self, peer: _handlers.Peer, notice: messages.VersionNotice
    ) -> None:
        # An entry that lags receives the version in use here.
        if notice.version >= self.version:
            self.version = notice.version
            self.digest = notice.digest
        _try_send(
            peer,
            messages.VersionNoted(
                self.version, self.digest, self._data_centre
            ),
        )


def _try_send(peer: _handlers.Peer, message: _messages.Message) -> None:
    try:
        peer.send(message)
    except errors.RefusedError:
        # Not reachable now; the next periodic notice repeats it.
        return
