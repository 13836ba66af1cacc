"""Tests of the end of a leader's term."""

import asyncio
import threading
import unittest
from unittest import mock

import msgspec

from chivespoke import clock
from chivespoke import coordination
from chivespoke.coordination import _followers
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _term
from chivespoke.coordination.tests import builders
from chivespoke import errors
from chivespoke import platform
from chivespoke import telemetry

# Nothing listens there.
ADDRESS = '127.0.0.1:1'
LIMIT_SECONDS = 10.0


def make_term(store: platform.Store | None = None) -> _term.Term:
    """Return a term that has not taken over."""
    return _term.Term(
        1,
        store or mock.create_autospec(platform.Store),
        coordination.Ledger(),
        mock.create_autospec(_followers.TopicFollower),
        _operator_view.OperatorView(),
        mock.create_autospec(_followers.TopicFollower),
        clock.SystemClock(),
        coordination.Limits(),
        telemetry.Telemetry(),
        mock.create_autospec(platform.AdvisorClient),
    )


async def close_while_a_sidecar_returns(turns: int) -> None:
    """Close a term some turns of the loop after a sidecar came again."""
    term = make_term()
    term.take_sidecar('sidecar-1', ADDRESS)
    await asyncio.sleep(0)
    term.take_sidecar('sidecar-1', ADDRESS)
    for _ in range(turns):
        await asyncio.sleep(0)
    await term.close()


class TermTest(unittest.TestCase):
    """Close terms at awkward moments."""

    def test_close_does_not_wait_for_the_link_of_an_earlier_life(
        self,
    ) -> None:
        # Found by a test run that never ended: the socket of the link stayed
        # open, and the transport's shutdown held up the whole process.
        for turns in range(4):
            with self.subTest(turns=turns):
                thread = threading.Thread(
                    target=asyncio.run,
                    args=(close_while_a_sidecar_returns(turns),),
                    daemon=True,
                )
                thread.start()
                thread.join(LIMIT_SECONDS)
                self.assertFalse(thread.is_alive())

    def test_superseded_leader_without_the_store_gives_up(self) -> None:
        # Found by an incident: a leader cut from the store went on trying,
        # and warned of the later leader with every report.
        store = mock.create_autospec(platform.Store, instance=True)
        store.append.side_effect = errors.UnavailableError('append', 's', '')
        report = msgspec.structs.replace(builders.make_report(), epoch=2)

        async def lead() -> str:
            term = make_term(store)
            led = asyncio.create_task(term.run())
            await asyncio.sleep(0)
            for _ in range(3):
                term.take_report(report)
            try:
                return await asyncio.wait_for(led, LIMIT_SECONDS)
            finally:
                await term.close()

        with mock.patch.object(_term, 'LOGGER') as logger:
            self.assertIn('a later leader', asyncio.run(lead()))
        said = [call.args[0] for call in logger.warning.call_args_list]
        self.assertEqual(1, said.count('A sidecar has heard a later leader.'))


if __name__ == '__main__':
    unittest.main()
