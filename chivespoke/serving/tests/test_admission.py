"""Tests of entries that refuse jobs at too much load."""

import asyncio

import msgspec

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import platform
from chivespoke.serving.tests import builders
from chivespoke.serving.tests import path_case

JOB = '00000000000000d1'
OTHER_JOB = '00000000000000d2'
URGENT_PREFIX = '/urgent/'
FILLER_STEP = {'count': 1, 'cpu': 100, 'estimated_ms': 300, 'fills': True}
BODY = {'spec': 'work', 'steps': [FILLER_STEP]}
EPOCH = 2**40


def make_configuration(version: int) -> bytes:
    """Return a configuration with two priorities on one service."""
    content = msgspec.json.decode(
        builders.make_configuration(version, priority=2)
    )
    (route,) = content['routes']
    urgent = {
        **route,
        'name': 'urgent',
        'path_prefix': URGENT_PREFIX,
        'priority': 0,
    }
    content['routes'].append(urgent)
    return msgspec.json.encode(content)


def make_load(epoch: int, throughput: float = 1.0) -> bytes:
    """Return the record of a load that leaves no room for a job."""
    sizes = (decisions.SizeClass(1000, 10.0),)
    return coordination.encode_load(
        coordination.LoadSummary(
            epoch,
            {
                builders.SERVICE: decisions.ServiceLoad(
                    decisions.ServiceOutlook(throughput, 10.0, 20.0),
                    (decisions.PriorityLoad(2, sizes, sizes),),
                )
            },
        )
    )


class AdmissionTest(path_case.PathTest):
    async def start(self) -> None:
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.start(entries=1, workers=0)
            await self.platform.store.put(
                platform.OPERATOR_TOPIC, 'config', make_configuration(2)
            )
            while not self.is_contended():
                await asyncio.sleep(0.02)

    def is_contended(self) -> bool:
        coordinator = self.find_coordinator()
        configuration = coordinator.operator.configuration
        return configuration is not None and configuration.is_contended(
            builders.SERVICE
        )

    def find_coordinator(self) -> coordination.Coordinator:
        entry = self.platform.entries[0].application
        assert entry is not None
        for component in entry.components:
            if isinstance(component, coordination.Coordinator):
                return component
        raise AssertionError('no coordinator')

    async def put_load(self, record: bytes, epoch: int) -> None:
        """Record a load and wait until the entry has read it."""
        (decoded,) = platform.decode_records(record, 0)
        await self.platform.store.put(
            coordination.SYSTEM_TOPIC, decoded.key, decoded.value
        )
        ledger = self.find_coordinator().ledger
        await self.wait_until(
            lambda: ledger.load is not None and ledger.load.epoch == epoch
        )

    async def submit(
        self, identifier: str, prefix: str = builders.PREFIX
    ) -> tuple[int, str]:
        """Submit a job; return the status and the Retry-After header."""
        assert self.platform.session is not None
        url = f'http://{self.platform.entries[0].ip}:8161{prefix}{identifier}'
        async with self.platform.session.post(
            url, json=BODY, headers={'Host': builders.HOST}
        ) as response:
            return response.status, response.headers.get('Retry-After', '')

    async def test_job_that_would_be_too_late_is_refused_truly(self) -> None:
        await self.start()
        await self.put_load(make_load(EPOCH), EPOCH)
        status, retry_after = await self.submit(JOB)
        self.assertEqual(429, status)
        # The work ahead takes at least 10 s.
        self.assertGreater(int(retry_after), 9)
        stored = self.platform.store.list_values(coordination.SYSTEM_TOPIC)
        self.assertNotIn(coordination.JOB_PREFIX + JOB, stored)
        status, _ = await self.platform.request('GET', JOB)
        self.assertEqual(410, status)
        # Work of another priority, a question and a cancellation.
        status, _ = await self.submit(OTHER_JOB, URGENT_PREFIX)
        self.assertEqual(200, status)
        status, _ = await self.platform.request('GET', OTHER_JOB)
        self.assertEqual(200, status)
        status, _ = await self.platform.request('DELETE', OTHER_JOB)
        self.assertEqual(200, status)

    async def test_job_is_admitted_without_a_fresh_summary(self) -> None:
        await self.start()
        # A new leader knows nothing of the load yet.
        await self.put_load(make_load(EPOCH), EPOCH)
        empty = coordination.LoadSummary(EPOCH + 1)
        await self.put_load(coordination.encode_load(empty), EPOCH + 1)
        self.assertEqual((200, ''), await self.submit(JOB))
        # The leader has gone silent since.
        await self.put_load(make_load(EPOCH + 2), EPOCH + 2)
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            status, _ = await self.submit(OTHER_JOB)
            self.assertEqual(429, status)
            while status == 429:
                await asyncio.sleep(0.2)
                status, _ = await self.submit(OTHER_JOB)
        self.assertEqual(200, status)

    async def test_throughput_that_is_not_known_refuses_nothing(self) -> None:
        await self.start()
        await self.put_load(make_load(EPOCH, throughput=0.0), EPOCH)
        self.assertEqual((200, ''), await self.submit(JOB))
