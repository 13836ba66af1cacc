"""Tests of daemons, as processes, that meet clients that do not behave."""

import asyncio
import os
import unittest
from unittest import mock

from chivespoke.serving.tests import crowds

TIMEOUT_SECONDS = 120.0
# Settings of the daemons.
LIMITS = {
    'CHIVESPOKE_BODY_MEMORY_BYTES': str(4 * crowds.MIB),
    'CHIVESPOKE_MAX_CONNECTIONS': '80',
}
MAX_DESCRIPTORS = 200
# By how much a crowd may let the peak of memory grow.
MAX_GROWTH_BYTES = 24 * crowds.MIB
BODY_CROWD = 160
HEAD_CROWD = 40
OPEN_CROWD = 260


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Check that a daemon lives, keeps to its bounds, and goes on."""

    async def meet(
        self,
        port: int,
        count: int,
        payload: crowds.Payload,
        kind: str = 'entry',
        max_descriptors: int | None = None,
    ) -> None:
        target = crowds.Target(kind)
        self.addAsyncCleanup(target.stop)
        with mock.patch.dict(os.environ, LIMITS):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await target.start(max_descriptors)
                await target.admit(port, count, payload)
                status = await target.request()
        self.assertEqual(200, status)
        self.assertTrue(target.is_alive())
        self.assertLess(target.measure_growth(), MAX_GROWTH_BYTES)
        if max_descriptors is not None:
            self.assertLess(target.count_descriptors(), max_descriptors)

    async def test_bodies_that_stop_short_of_their_end(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            BODY_CROWD,
            crowds.make_body(crowds.BODY_BYTES, crowds.BODY_BYTES),
        )

    async def test_bodies_in_pieces_that_stop_short_of_their_end(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            BODY_CROWD,
            crowds.make_body(crowds.BODY_BYTES, crowds.PIECE_BYTES),
        )

    async def test_bodies_in_large_chunks_without_the_last_one(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            BODY_CROWD,
            crowds.make_chunked_body(crowds.BODY_BYTES, crowds.PIECE_BYTES),
        )

    async def test_bodies_in_small_chunks_without_the_last_one(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            BODY_CROWD,
            crowds.make_chunked_body(crowds.BODY_BYTES, 16),
        )

    async def test_bodies_that_unpack_to_more(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            BODY_CROWD // 10,
            crowds.make_packed_body(4 * crowds.MIB),
        )

    async def test_bodies_to_the_address_for_neighbours(self) -> None:
        await self.meet(
            crowds.RELAY_PORT,
            BODY_CROWD,
            crowds.make_body(crowds.BODY_BYTES, crowds.BODY_BYTES),
        )

    async def test_bodies_to_a_sidecar(self) -> None:
        await self.meet(
            crowds.CONTROL_PORT,
            BODY_CROWD,
            crowds.make_body(
                crowds.BODY_BYTES,
                crowds.BODY_BYTES,
                crowds.make_registration_head,
            ),
            'sidecar',
        )

    async def test_heads_with_a_field_without_end(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            HEAD_CROWD,
            crowds.make_endless_field(crowds.MIB),
        )

    async def test_heads_with_fields_without_end(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            HEAD_CROWD,
            crowds.make_endless_fields(crowds.MIB),
        )

    async def test_empty_lines_without_end(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            HEAD_CROWD,
            crowds.make_empty_lines(crowds.MIB),
        )

    async def test_requests_whose_answers_are_not_read(self) -> None:
        await self.meet(
            crowds.CALLER_PORT, HEAD_CROWD, crowds.make_pipeline(10_000)
        )

    async def test_half_heads_on_more_connections_than_descriptors(
        self,
    ) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            OPEN_CROWD,
            (crowds.make_head()[:-2],),
            max_descriptors=MAX_DESCRIPTORS,
        )

    async def test_silent_connections_beyond_the_descriptors(self) -> None:
        await self.meet(
            crowds.CALLER_PORT,
            OPEN_CROWD,
            (),
            max_descriptors=MAX_DESCRIPTORS,
        )

    async def test_silent_connections_to_the_readiness_check(self) -> None:
        await self.meet(
            crowds.READINESS_PORT,
            OPEN_CROWD,
            (),
            max_descriptors=MAX_DESCRIPTORS,
        )


if __name__ == '__main__':
    unittest.main()
