"""Tests of answers that an entry passes on for a neighbour."""

import asyncio
import collections.abc
import functools
import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders as job_builders
from chivespoke.intake.tests import builders
from chivespoke.intake.tests import narrow_link
from chivespoke import platform

OK = 200
NOT_FOUND = 404
GONE = 410
TOO_LARGE = 413
OVERLOADED = 429
UNAVAILABLE = 503
UNCERTAIN = 504
NOT_PASSED_ON = 0
KNOWN_JOB = job_builders.JOB
JOB = '00000000000000f1'
SUBMISSION = b'{"spec":"work","steps":[{"count":1,"cpu":1000}]}'
LINK_BYTES_PER_SECOND = 550_000
# Acknowledgement of the second version.
CHANGED_AT = 2.0
# A view from before the change is current, and one of OLD_CUT is not.
ASKED_AT = CHANGED_AT + 0.5
OLD_CUT = 0.5
RECENT_CUT = CHANGED_AT - 0.1
FOREVER = 1000.0

# Method, path, status and version of an answer; what is passed on to callers
# by an entry that has version 2.
ANSWERS = (
    ('GET', '/added/', NOT_FOUND, 2, NOT_FOUND),
    ('GET', '/added/', NOT_FOUND, 1, NOT_PASSED_ON),
    ('GET', '/added/', NOT_FOUND, 0, NOT_PASSED_ON),
    ('GET', '/removed/', OK, 2, OK),
    ('GET', '/removed/', OK, 1, NOT_PASSED_ON),
    ('GET', f'/a/{JOB}', OK, 1, OK),
    ('GET', f'/a/{JOB}', GONE, 1, GONE),
    ('GET', f'/added/{JOB}', NOT_FOUND, 1, NOT_PASSED_ON),
    ('DELETE', f'/a/{JOB}', OK, 1, OK),
    ('DELETE', f'/a/{JOB}', GONE, 1, GONE),
    ('DELETE', f'/added/{JOB}', NOT_FOUND, 1, NOT_PASSED_ON),
    ('POST', f'/a/{JOB}', TOO_LARGE, 1, NOT_PASSED_ON),
    ('POST', f'/a/{JOB}', OVERLOADED, 1, OVERLOADED),
    ('POST', f'/added/{JOB}', NOT_FOUND, 1, NOT_PASSED_ON),
    # They may have taken effect.
    ('POST', f'/a/{JOB}', OK, 1, OK),
    ('POST', f'/a/{JOB}', UNCERTAIN, 1, UNCERTAIN),
)


async def start_entry(
    name: str,
    cut_at: float = FOREVER,
    back_at: float = FOREVER,
    changed_at: float = CHANGED_AT,
) -> narrow_link.Entry:
    """Return an entry that loses the store between two times.

    Version 1 has the routes /a/ and /removed/, version 2 /a/ and /added/.
    """
    store = narrow_link.NarrowLinkStore(
        LINK_BYTES_PER_SECOND, ((cut_at, back_at),)
    )
    store.topics[platform.OPERATOR_TOPIC] = [
        narrow_link.write_version(0.0, 1, ['/a/', '/removed/']),
        narrow_link.write_version(changed_at, 2, ['/a/', '/added/']),
    ]
    (record,) = platform.decode_records(
        coordination.encode_job(job_builders.make_job()), 0
    )
    store.topics[coordination.SYSTEM_TOPIC] = [
        narrow_link.Written(RECENT_CUT - 0.5, record.key, record.value)
    ]
    entry = narrow_link.Entry(store, name)
    await entry.start()
    return entry


class Site(msgspec.Struct, frozen=True):
    """Hold an entry that has lost the store, and its neighbours by name."""

    entry: narrow_link.Entry
    # Have the newest version.
    current: dict[str, narrow_link.Entry]
    # Have lost the store just before the newest version was written.
    behind: dict[str, narrow_link.Entry]


async def run_site(
    work: collections.abc.Callable[
        [Site], collections.abc.Coroutine[object, object, None]
    ],
) -> None:
    """Run a test on a site when the view of its entry is too old."""
    entry = await start_entry('entry-0', cut_at=OLD_CUT)
    behind = await start_entry('entry-1', cut_at=RECENT_CUT)
    current = await start_entry('entry-2')
    await wait_until(ASKED_AT)
    await work(
        Site(
            entry,
            {'entry-2': current, 'entry-3': current},
            {'entry-1': behind},
        )
    )
    for each in (entry, behind, current):
        await each.stop()


async def wait_until(at: float) -> None:
    """Wait until a time of the simulation."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


class HandedRequestsTest(unittest.TestCase):
    def test_denial_of_a_neighbour_that_is_behind_is_not_passed_on(
        self,
    ) -> None:
        # Regression: 200 by way of one neighbour, then 404 by way of another,
        # which had lost the store just before the route was added.
        async def ask(site: Site) -> None:
            statuses = []
            for neighbours in (site.behind, site.current, site.behind):
                response = await site.entry.ask(neighbours, 'GET', '/added/')
                statuses.append(response.status)
            self.assertEqual([NOT_FOUND, OK, UNAVAILABLE], statuses)
            self.assertEqual('1', response.headers['Retry-After'])

        builders.run_simulated(run_site(ask))

    def test_another_neighbour_is_asked_after_one_that_is_behind(self) -> None:
        async def ask(site: Site) -> None:
            (first, second) = site.current
            await site.entry.ask({first: site.current[first]}, 'GET', '/a/')
            # The latest helper, which would be tried first, has left.
            neighbours = {**site.behind, second: site.current[second]}
            response = await site.entry.ask(neighbours, 'GET', '/added/')
            self.assertEqual(OK, response.status)

        builders.run_simulated(run_site(ask))

    def test_version_that_was_read_here_counts_too(self) -> None:
        # Regression: only the versions that neighbours had named counted.
        async def ask() -> None:
            entry = await start_entry('entry-2', cut_at=CHANGED_AT + 0.1)
            behind = await start_entry('entry-1', changed_at=FOREVER)
            await wait_until(CHANGED_AT + 3.0)
            self.assertEqual(2, entry.routes.configuration_version)
            response = await entry.ask(
                {'entry-1': behind}, 'POST', f'/added/{JOB}', SUBMISSION
            )
            self.assertEqual(UNAVAILABLE, response.status)
            await entry.stop()
            await behind.stop()

        builders.run_simulated(ask())

    def test_neighbour_that_is_behind_serves_no_removed_route(self) -> None:
        # Regression: a job was accepted for a route of which the entry had
        # told that it is removed.
        async def ask(site: Site, method: str, path: str, body: bytes) -> None:
            response = await site.entry.ask(site.behind, method, path, body)
            self.assertEqual(OK, response.status)
            (behind,) = site.behind.values()
            behind.submissions.append.reset_mock()
            response = await site.entry.ask(site.current, method, path, body)
            self.assertEqual(NOT_FOUND, response.status)
            response = await site.entry.ask(site.behind, method, path, body)
            self.assertEqual(UNAVAILABLE, response.status)
            behind.submissions.append.assert_not_called()

        for method, path, body in (
            ('GET', '/removed/', b''),
            ('POST', f'/removed/{JOB}', SUBMISSION),
        ):
            with self.subTest(method):
                builders.run_simulated(
                    run_site(
                        functools.partial(
                            ask, method=method, path=path, body=body
                        )
                    )
                )

    def test_neighbour_that_is_behind_still_tells_of_jobs(self) -> None:
        async def ask(site: Site) -> None:
            await site.entry.ask(site.current, 'GET', '/a/')
            path = f'/a/{KNOWN_JOB}'
            response = await site.entry.ask(site.behind, 'GET', path)
            self.assertEqual(OK, response.status)

        builders.run_simulated(run_site(ask))

    def test_answers_of_an_earlier_release(self) -> None:
        # It does not read which version a request requires, and one still
        # earlier names none.
        async def relay() -> None:
            for method, path, status, version, expected in ANSWERS:
                with self.subTest(f'{method} {path} {status} {version}'):
                    entry = await start_entry('entry-1')
                    await wait_until(
                        asyncio.get_running_loop().time() + CHANGED_AT + 0.5
                    )
                    answer = platform.Response(
                        status, b'{}', configuration_version=version
                    )
                    passed_on = await entry.relay_once(answer, method, path)
                    self.assertEqual(expected, passed_on)
                    await entry.stop()

        builders.run_simulated(relay())

    def test_version_that_arrives_before_the_answer_counts(self) -> None:
        async def relay(seconds: float) -> int:
            entry = await start_entry('entry-1')
            await wait_until(CHANGED_AT - 0.2)
            denial = platform.Response(
                NOT_FOUND, b'{}', configuration_version=1
            )
            status = await entry.relay_once(denial, 'GET', '/added/', seconds)
            await entry.stop()
            return status

        for seconds, expected in ((0.1, NOT_FOUND), (1.0, NOT_PASSED_ON)):
            with self.subTest(seconds=seconds):
                self.assertEqual(
                    expected, builders.run_simulated(relay(seconds))
                )

    def test_entry_answers_itself_once_its_view_is_current(self) -> None:
        # The entry is back, and ahead of its neighbour, before the neighbour's
        # answer arrives.
        async def ask(method: str, path: str, body: bytes) -> int:
            entry = await start_entry('entry-1', OLD_CUT, back_at=4.0)
            behind = await start_entry('entry-2', changed_at=FOREVER)
            await wait_until(3.9)
            response = await entry.ask(
                {'entry-2': behind}, method, path, body, answer_seconds=1.2
            )
            await entry.stop()
            await behind.stop()
            return response.status

        for method, path, body in (
            ('GET', '/added/', b''),
            ('POST', f'/added/{JOB}', SUBMISSION),
        ):
            with self.subTest(method):
                self.assertEqual(
                    OK, builders.run_simulated(ask(method, path, body))
                )

    def test_answer_names_the_version_that_it_rests_on(self) -> None:
        async def submit() -> None:
            entry = await start_entry('entry-1')
            accepted = entry.submissions.append.return_value

            async def append(*arguments: object) -> object:
                await asyncio.sleep(1.0)
                return accepted

            entry.submissions.append.side_effect = append
            await wait_until(CHANGED_AT - 0.5)
            response = await entry.handle_for_neighbour(
                narrow_link.make_request('POST', f'/a/{JOB}', SUBMISSION)
            )
            self.assertEqual(OK, response.status)
            self.assertEqual(2, entry.routes.configuration_version)
            self.assertEqual(
                1, platform.read_configuration_version(response.headers)
            )
            await entry.stop()

        builders.run_simulated(submit())


if __name__ == '__main__':
    unittest.main()
