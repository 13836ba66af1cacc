"""Tests of the store client against a stand-in that injects faults."""

import asyncio
import unittest

from chivespoke import errors
from chivespoke import platform
from chivespoke import standins

TOPIC = 'keyed.test'
# A link on which 200 kB take longer than the timeout of a call.
SLOW_LINK_BYTES_PER_SECOND = 100_000
VALUE = b'v' * 15_000
VALUES = 14
TIMEOUT_SECONDS = 20.0
# Longer than the timeout of a call, shorter than that of a read.
SLOW_SECONDS = 1.4


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = standins.PlatformStore()
        server = self.standin.make_server()
        await server.start()
        self.addAsyncCleanup(server.stop)
        address = f'{server.address.host}:{server.address.port}'
        self.transport = platform.Transport(address, 8)
        await self.transport.start()
        self.addAsyncCleanup(self.transport.stop)
        self.store = platform.Store(self.transport, self.transport)

    async def fill(self) -> None:
        for number in range(VALUES):
            await self.standin.put(TOPIC, f'k{number:04}', VALUE)
        self.standin.faults.link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND

    async def append(
        self, key: str, value: bytes, *producer: int, limit: float = 1.0
    ) -> int:
        return await self.store.append(
            TOPIC,
            platform.encode_record(key, value),
            platform.Producer('p', *producer) if producer else None,
            limit,
        )

    async def test_records_are_read_as_they_were_appended(self) -> None:
        self.assertEqual(1, await self.append('a', b'1'))
        self.assertEqual(2, await self.append('b', b''))
        page = await self.store.read(TOPIC, 0, 0.0)
        self.assertEqual(2, page.next_offset)
        self.assertEqual(
            [(0, 'a', b'1'), (1, 'b', b'')],
            [
                (record.offset, record.key, record.value)
                for record in page.records
            ],
        )

    async def test_read_without_records_times_out_with_an_empty_page(
        self,
    ) -> None:
        page = await self.store.read(TOPIC, 0, 0.05)
        self.assertEqual(((), 0), (page.records, page.next_offset))

    async def test_newest_records_are_read_from_all_pages(self) -> None:
        for number in range(1203):
            await self.standin.put(TOPIC, f'k{number:04}', b'old')
        await self.standin.put(TOPIC, 'k0000', b'new')
        await self.standin.put(TOPIC, 'k0001', b'')
        values: dict[str, bytes] = {}
        last_key = ''
        sizes = []
        while True:
            page = await self.store.read_newest(TOPIC, last_key)
            values |= {record.key: record.value for record in page.records}
            last_key = page.records[-1].key
            sizes.append(len(page.records))
            self.assertEqual(1205, page.end_offset)
            if page.is_last:
                break
        self.assertEqual([500, 500, 202], sizes)
        self.assertEqual(1202, len(values))
        self.assertEqual(b'new', values['k0000'])
        self.assertNotIn('k0001', values)

    async def test_full_read_over_a_slow_link_is_not_given_up(self) -> None:
        # Regression: entries gave up whole reads that took more than 1 s, so
        # that a restarted entry never knew the jobs that had been accepted.
        await self.fill()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            page = await self.store.read_newest(TOPIC)
        self.assertEqual(VALUES, len(page.records))

    async def test_read_over_a_slow_link_is_not_given_up(self) -> None:
        await self.fill()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            page = await self.store.read(TOPIC, 0, 0.0)
        self.assertEqual(VALUES, len(page.records))

    async def test_read_without_a_wait_is_as_patient_as_one_with(self) -> None:
        # A reader that is behind lets the store wait for nothing.
        await self.append('a', b'1')
        self.standin.faults.delay = SLOW_SECONDS
        page = await self.store.read(TOPIC, 0, 0.0)
        self.assertEqual(1, len(page.records))

    async def test_answer_without_header_is_an_error(self) -> None:
        self.standin.faults.empty_answers = True
        with self.assertRaises(errors.UnavailableError):
            await self.store.read(TOPIC, 0, 0.0)

    async def test_read_without_progress_is_given_up(self) -> None:
        await self.fill()
        self.standin.faults.link_bytes_per_second = 1
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with self.assertRaises(errors.UnavailableError):
                await self.store.read_newest(TOPIC)

    async def test_read_of_truncated_records_raises_truncated_error(
        self,
    ) -> None:
        await self.append('a', b'1')
        self.standin.expire_records_before(TOPIC, 1)
        with self.assertRaises(platform.TruncatedError):
            await self.store.read(TOPIC, 0, 0.0)

    async def test_earlier_epoch_is_fenced(self) -> None:
        await self.store.append(TOPIC, b'', platform.Producer('p', 2, 0))
        await self.append('a', b'1', 2, 1)
        with self.assertRaises(platform.FencedError):
            await self.append('a', b'old', 1, 7)
        self.assertEqual({'a': b'1'}, self.standin.list_values(TOPIC))

    async def test_repeated_sequence_is_appended_once(self) -> None:
        self.standin.faults.lose_answers = 1
        with self.assertRaises(errors.UnavailableError):
            await self.append('a', b'1', 1, 0, limit=0.2)
        self.assertEqual(1, await self.append('a', b'1', 1, 0))
        page = await self.store.read(TOPIC, 0, 0.0)
        self.assertEqual(1, len(page.records))

    async def test_append_without_records_has_no_number(self) -> None:
        await self.append('a', b'1', 1, 4)
        for _ in range(2):
            await self.store.append(TOPIC, b'', platform.Producer('p', 1, 5))
        await self.append('a', b'2', 1, 5)
        self.assertEqual({'a': b'2'}, self.standin.list_values(TOPIC))

    async def test_append_takes_effect_after_its_caller_has_given_up(
        self,
    ) -> None:
        # Regression: under load the stand-in dropped appends that the caller
        # had given up before they were handled, which a store may carry out.
        self.standin.faults.delay = 0.25
        with self.assertRaises(errors.UnavailableError):
            await self.append('a', b'1', 1, 0, limit=0.2)
        self.standin.faults.delay = 0.0
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.standin.list_values(TOPIC):
                await asyncio.sleep(0.01)

    async def test_delayed_duplicate_append_has_no_effect(self) -> None:
        self.standin.faults.late_appends = 1
        self.standin.faults.late_seconds = 0.4
        with self.assertRaises(errors.UnavailableError):
            await self.append('a', b'1', 1, 0, limit=0.2)
        await self.append('a', b'1', 1, 0)
        await self.append('a', b'2', 1, 1)
        page = await self.store.read(TOPIC, 2, 0.5)
        self.assertEqual((), page.records)
        self.assertEqual({'a': b'2'}, self.standin.list_values(TOPIC))

    async def test_refused_append_raises_refused_error_and_appends_nothing(
        self,
    ) -> None:
        for status in (429, 503, 507):
            with self.subTest(status=status):
                self.standin.faults.refuse_with = status
                with self.assertRaises(errors.RefusedError) as caught:
                    await self.append('a', b'1')
                self.assertIn(str(status), str(caught.exception))
        self.standin.faults.refuse_with = 0
        self.assertEqual({}, self.standin.list_values(TOPIC))

    async def test_unreachable_store_raises_refused_error(self) -> None:
        transport = platform.Transport('127.0.0.1:1', 1)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        store = platform.Store(transport, transport)
        with self.assertRaises(errors.RefusedError):
            await store.append(TOPIC, b'')

    async def test_partitions_are_shared_by_the_current_members(self) -> None:
        first_membership = await self.store.join('g', 'a', TOPIC, 5.0, 0)
        self.assertEqual(frozenset(range(12)), first_membership.partitions)
        second_membership = await self.store.join('g', 'b', TOPIC, 5.0, 0)
        self.assertGreater(
            second_membership.generation, first_membership.generation
        )
        # The first member owns all partitions until it acknowledges the new
        # generation.
        self.assertEqual(frozenset(), second_membership.partitions)
        for generation, owned in (
            (first_membership.generation, 0),
            (second_membership.generation, 6),
        ):
            first = await self.store.join('g', 'a', TOPIC, 5.0, generation)
            self.assertEqual(6, len(first.partitions))
            second = await self.store.join('g', 'b', TOPIC, 5.0, 0)
            self.assertEqual(owned, len(second.partitions))
            self.assertEqual(frozenset(), first.partitions & second.partitions)
        await self.store.leave('g', 'a')
        third_membership = await self.store.join('g', 'b', TOPIC, 5.0, 0)
        self.assertEqual(12, len(third_membership.partitions))


if __name__ == '__main__':
    unittest.main()
