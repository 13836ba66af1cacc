"""Tests of the operators' HTTP interface over loopback."""

import asyncio
import typing
import unittest
from unittest import mock

from aiohttp import test_utils
from aiohttp import web

from chivespoke import clock as clocks
from chivespoke import operators
from chivespoke.operators.tests import builders
from chivespoke import standins

REPLICAS = '/services/counts/replicas'


class RoutesTest(unittest.IsolatedAsyncioTestCase):
    """Test the routes with HTTP requests."""

    async def asyncSetUp(self) -> None:
        clock = clocks.SystemClock()
        self.log = standins.MemoryLog(clock)
        self.process = builders.ConfigurationProcess(self.log, clock, 'one')
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)
        self.client = await self.serve(self.process)
        configuration = self.process.configuration
        await configuration.propose(
            builders.build_proposal('first', 0, *builders.BASE_OPERATIONS)
        )

    async def serve(
        self, process: builders.ConfigurationProcess
    ) -> test_utils.TestClient[web.Request, web.Application]:
        configuration = process.configuration
        routes = operators.OperatorRoutes(
            configuration,
            clocks.SystemClock(),
            operators.LocalReportCollector(),
            operators.StatusBuilder('one', configuration),
        )
        server = web.Application()
        server.add_routes(routes.list_routes())
        client = test_utils.TestClient(test_utils.TestServer(server))
        await client.start_server()
        self.addAsyncCleanup(client.close)
        return client

    async def send_request(
        self, method: str, path: str, **options: typing.Any
    ) -> tuple[int, typing.Any]:
        async with self.client.request(method, path, **options) as answer:
            return answer.status, await answer.json()

    async def patch(
        self,
        base: int,
        count: int,
        path: str = REPLICAS,
        query: str = '',
        **headers: str,
    ) -> tuple[int, typing.Any]:
        return await self.send_request(
            'PATCH',
            '/configuration' + query,
            json=[{'op': 'replace', 'path': path, 'value': count}],
            headers={
                'If-Match': f'"{base}"',
                'Content-Type': operators.PATCH_TYPE,
                **headers,
            },
        )

    async def test_repeated_patch_returns_first_decision(self) -> None:
        headers = {operators.PATCH_ID_HEADER: 'p1'}
        first = await self.patch(1, 5, **headers)
        repeated = await self.patch(1, 6, **headers)
        self.assertEqual((200, 2), (first[0], first[1]['version']))
        self.assertEqual(first, repeated)
        _, shown = await self.send_request('GET', '/configuration')
        replicas = shown['document']['services']['counts']['replicas']
        self.assertEqual((2, 5), (shown['version'], replicas))
        _, decision = await self.send_request(
            'GET', '/configuration/patches/p1'
        )
        self.assertEqual(first[1], decision)

    async def test_conflict_and_rebase(self) -> None:
        await self.patch(1, 5)
        status, refused = await self.patch(1, 6)
        self.assertEqual((412, REPLICAS), (status, refused['path']))
        self.assertEqual([REPLICAS], refused['changed'][0]['paths'])
        status, _ = await self.patch(1, 6, query='?rebase=true')
        self.assertEqual(412, status)
        status, rebased = await self.patch(
            1, 9, '/limits/moves_at_once', '?rebase=true'
        )
        self.assertEqual((200, 3), (status, rebased['version']))

    async def test_dry_run_changes_nothing(self) -> None:
        status, result = await self.patch(1, 1, query='?dry_run=true')
        self.assertEqual(200, status)
        self.assertEqual(
            ['service counts: 2 of 3 replicas'], result['impact']['stopped']
        )
        path = '/services/counts/data_centres/0'
        status, result = await self.send_request(
            'PATCH',
            '/configuration?dry_run=true',
            json=[
                {
                    'op': 'add',
                    'path': '/data_centres/colombo-1/state',
                    'value': 'out-of-service',
                }
            ],
            headers={
                'If-Match': '1',
                'Content-Type': operators.PATCH_TYPE,
            },
        )
        self.assertIn('colombo-1', result['impact']['moved'][0])
        self.assertIn('counts', result['impact']['impossible'][0])
        status, result = await self.patch(1, 1, path, '?dry_run=true')
        self.assertEqual(412, status)
        self.assertEqual(1, self.process.configuration.version)

    async def test_bad_requests(self) -> None:
        good = {'If-Match': '1', 'Content-Type': operators.PATCH_TYPE}
        cases = (
            ({**good, 'Content-Type': 'application/json'}, '[]', 415),
            ({'Content-Type': operators.PATCH_TYPE}, '[]', 428),
            ({**good, 'If-Match': 'x'}, '[]', 400),
            (good, '{', 400),
            (good, '[{"op": "guess", "path": ""}]', 400),
            (good, '[]', 412),
        )
        for headers, body, expected in cases:
            with self.subTest(headers=headers, body=body):
                status, answer = await self.send_request(
                    'PATCH', '/configuration', data=body, headers=headers
                )
                self.assertEqual(expected, status)
                self.assertTrue(answer['reason'])

    async def test_history_diff_validate_explain_status(self) -> None:
        await self.patch(1, 5)
        _, history = await self.send_request('GET', '/configuration/history')
        self.assertEqual([1, 2], [each['version'] for each in history])
        _, diff = await self.send_request(
            'GET', '/configuration/diff?from=1&to=2'
        )
        self.assertEqual(
            [{'op': 'replace', 'path': REPLICAS, 'value': 5}],
            diff['operations'],
        )
        _, old = await self.send_request('GET', '/configuration?version=1')
        self.assertEqual(3, old['document']['services']['counts']['replicas'])
        status, answer = await self.send_request(
            'POST', '/configuration/validate', json={'teams': {'x': {}}}
        )
        self.assertEqual((422, '/teams/x'), (status, answer['path']))
        _, found = await self.send_request('GET', '/explain/service/counts')
        self.assertEqual(2, found['since_version'])
        status, answer = await self.send_request(
            'GET', '/explain/service/count'
        )
        self.assertEqual(404, status)
        self.assertIn('counts', answer['reason'])
        _, status_shown = await self.send_request('GET', '/status')
        self.assertTrue(status_shown['may_start_tasks'])

    async def test_response_waits_for_version_seen_by_caller(self) -> None:
        headers = {operators.VERSION_HEADER: '2'}
        waiting = self.send_request('GET', '/configuration', headers=headers)
        patching = asyncio.ensure_future(self.patch(1, 5))
        status, shown = await waiting
        self.assertEqual((200, 2), (status, shown['version']))
        await patching

    async def test_unloaded_process_shows_no_old_version(self) -> None:
        self.log.faults.read_down = True
        process = builders.ConfigurationProcess(
            self.log, clocks.SystemClock(), 'two'
        )
        await process.start()
        self.addAsyncCleanup(process.stop)
        client = await self.serve(process)
        cases = (
            ('/configuration', 503),
            ('/configuration/history', 503),
            ('/configuration/diff', 503),
            ('/explain/service/counts', 503),
            ('/status', 200),
        )
        for path, expected in cases:
            with self.subTest(path=path):
                async with client.get(path) as answer:
                    self.assertEqual(expected, answer.status)
                    self.assertEqual(
                        expected == 503, 'Retry-After' in answer.headers
                    )

    async def test_outdated_process_denies_nothing_that_may_be_new(
        self,
    ) -> None:
        cases = (
            '/explain/service/new',
            '/configuration/patches/new',
            '/configuration/in-force?version=9',
        )
        for is_recent, expected in ((False, 503), (True, 404)):
            with mock.patch.object(
                operators.Configuration, 'is_recent', return_value=is_recent
            ):
                for path in cases:
                    with self.subTest(path=path, is_recent=is_recent):
                        status, _ = await self.send_request('GET', path)
                        self.assertEqual(expected, status)

    async def test_lost_answer_is_recovered_by_reading(self) -> None:
        self.log.faults.lost_answers = 1
        status, decision = await self.patch(1, 5)
        self.assertEqual((200, 2), (status, decision['version']))
        self.assertEqual(2, self.log.appends)


if __name__ == '__main__':
    unittest.main()
