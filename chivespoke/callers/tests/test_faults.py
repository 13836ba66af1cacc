"""Tests of the request path with faults, missed deadlines and overload."""

import asyncio
import unittest

from chivespoke.callers.tests import builders

# Fault of the backend server, method, the caller's deadline in
# milliseconds, and the expected outcome.
FAULT_CASES = (
    ('hang', 'POST', '200', 'unknown'),
    ('hang', 'GET', '200', 'unknown'),
    ('cut', 'POST', '2000', 'unknown'),
    ('cut', 'GET', '2000', 'unknown'),
)

# Headers and body size of a request that is refused, and the HTTP status.
REFUSED_CASES: tuple[tuple[dict[str, str], int, int], ...] = (
    ({'Class': 'urgent'}, 0, 400),
    ({'Deadline_Ms': '-1'}, 0, 400),
    ({'Request_Key': 'k' * 200}, 0, 400),
    ({}, 9 * 1024 * 1024, 413),
)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Inject one fault and check the outcome that the caller receives."""

    async def test_missing_or_truncated_answer_is_unknown(self) -> None:
        async with builders.run_request_path(slots=2) as path:
            for fault, method, deadline, outcome in FAULT_CASES:
                with self.subTest(fault=fault, method=method):
                    answer = await path.call(
                        f'/{fault}?fault={fault}', method, Deadline_Ms=deadline
                    )
                    self.assertEqual(outcome, answer.outcome, answer)
                    self.assertEqual(504, answer.status)
                    self.assertNotIn(b'half', answer.body)
            # The failed requests have released their slots.
            answer = await path.call('/after')
            self.assertEqual('answered', answer.outcome)
            self.assertEqual(1, path.servers[0].runs['/after'])

    async def test_idempotent_request_is_tried_elsewhere(self) -> None:
        async with builders.run_request_path(servers=2) as path:
            await path.call('/x?fault=cut', 'POST')
            self.assertEqual(1, path.count_runs())
            await path.call('/y?fault=cut', 'GET')
            self.assertEqual([1, 1], [s.runs['/y'] for s in path.servers])

    async def test_refused_before_dispatch(self) -> None:
        async with builders.run_request_path() as path:
            for headers, size, status in REFUSED_CASES:
                with self.subTest(status=status, headers=headers):
                    answer = await path.call(
                        '/x', 'POST', body=b'z' * size, headers=headers
                    )
                    self.assertEqual(status, answer.status)
                    self.assertEqual('not-run', answer.outcome)
            self.assertEqual(0, path.count_runs())

    async def test_tenant_over_its_limit(self) -> None:
        async with builders.run_request_path() as path:
            path.entries[0].context.gateway.limits.set_rate('shop', 1.0)
            answers = [
                await path.call('/x', 'POST', Tenant='shop') for _ in range(2)
            ]
            other = await path.call('/x', 'POST', Tenant='chain')
            self.assertEqual([200, 429], [each.status for each in answers])
            self.assertEqual('not-run', answers[1].outcome)
            self.assertGreaterEqual(int(answers[1].headers['Retry-After']), 1)
            self.assertEqual(200, other.status)

    async def test_deadline_spent_in_the_queue(self) -> None:
        async with builders.run_request_path(slots=1) as path:
            slow = asyncio.create_task(path.call('/slow?ms=400', 'POST'))
            await builders.wait_until(lambda: path.servers[0].running == 1)
            answer = await path.call('/late', 'POST', Deadline_Ms='100')
            self.assertEqual('not-run', answer.outcome, answer)
            self.assertIn('Retry-After', answer.headers)
            self.assertEqual('answered', (await slow).outcome)
            self.assertEqual(0, path.servers[0].runs['/late'])

    async def test_batch_request_is_evicted(self) -> None:
        async with builders.run_request_path(slots=1, queue_limit=1) as path:
            slow = asyncio.create_task(path.call('/slow?ms=300', 'POST'))
            await builders.wait_until(lambda: path.servers[0].running == 1)
            batch = asyncio.create_task(
                path.call('/batch', 'POST', Class='batch')
            )
            sidecar_executor = path.sidecars[0].executor
            await builders.wait_until(
                lambda: sidecar_executor.outstanding == 2
            )
            quick = await path.call('/quick', 'POST')
            self.assertEqual('answered', quick.outcome)
            self.assertEqual('not-run', (await batch).outcome)
            self.assertEqual('answered', (await slow).outcome)
            self.assertEqual(0, path.servers[0].runs['/batch'])

    async def test_overload_is_refused_at_once(self) -> None:
        async with builders.run_request_path(slots=1, queue_limit=1) as path:
            answers = await asyncio.gather(
                *(path.call('/x?ms=100', 'POST') for _ in range(10))
            )
            refused = [each for each in answers if each.status == 503]
            self.assertGreaterEqual(len(refused), 5)
            for each in refused:
                self.assertEqual('not-run', each.outcome)
                self.assertIn('Retry-After', each.headers)
            self.assertEqual(10 - len(refused), path.count_runs())


if __name__ == '__main__':
    unittest.main()
