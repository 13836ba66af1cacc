"""Tests of the end of a leader's term."""

import asyncio
import threading
import unittest
from unittest import mock

from chivespoke import clock
from chivespoke import coordination
from chivespoke.coordination import _followers
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _term
from chivespoke import platform
from chivespoke import telemetry

# Nothing listens there.
ADDRESS = '127.0.0.1:1'
LIMIT_SECONDS = 10.0


def make_term() -> _term.Term:
    """Return a term that has not taken over."""
    return _term.Term(
        1,
        mock.create_autospec(platform.Store),
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


if __name__ == '__main__':
    unittest.main()
