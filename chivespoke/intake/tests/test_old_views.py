"""Tests of what an entry says while its view of the store is old."""

import asyncio
import unittest

from chivespoke import coordination
from chivespoke.intake.tests import builders
from chivespoke.intake.tests import narrow_link
from chivespoke import platform

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
JOB = '00000000000000a1'
SUBMISSION = b'{"spec":"work","steps":[{"count":1,"cpu":1000}]}'
# Time after which an acknowledged change is in force.
APPLY_SECONDS = 2.0
# Time without a fault after which this holds for a process.
CONTACT_SECONDS = 3.0
OUTAGE = (4.6, 16.7)
DAY_SECONDS = 24.0
REQUEST_INTERVAL_SECONDS = 0.05
VERSION_BYTES = 50_000
LINK_BYTES_PER_SECOND = 550_000
# Interval of changes and size of each version.
CHANGES = ((0.4, VERSION_BYTES), (0.25, VERSION_BYTES), (0.25, 250_000))


def make_store(
    interval: float = 0.4, version_bytes: int = VERSION_BYTES
) -> narrow_link.NarrowLinkStore:
    """Return a store to which the operator writes all day."""
    store = narrow_link.NarrowLinkStore(LINK_BYTES_PER_SECOND, (OUTAGE,))
    store.topics[platform.OPERATOR_TOPIC] = narrow_link.write_versions(
        (interval * version for version in range(int(20.0 / interval))),
        version_bytes,
    )
    return store


async def list_wrong_denials(
    store: narrow_link.NarrowLinkStore, in_touch_only: bool
) -> list[tuple[float, int]]:
    """Return times and versions of routes denied although in force."""
    entry = narrow_link.Entry(store)
    await entry.start()
    versions = store.topics[platform.OPERATOR_TOPIC]
    loop = asyncio.get_running_loop()
    denied: list[tuple[float, int]] = []
    while loop.time() < DAY_SECONDS:
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        now = loop.time()
        if in_touch_only and OUTAGE[0] <= now < OUTAGE[1] + CONTACT_SECONDS:
            continue
        in_force = [
            number
            for number, version in enumerate(versions)
            if version.at < now - APPLY_SECONDS
        ]
        if not in_force:
            continue
        path = narrow_link.make_added_path(in_force[-1])
        if await entry.request('GET', path) == NOT_FOUND:
            denied.append((round(now, 2), in_force[-1]))
    await entry.stop()
    return denied


def make_store_that_hides_changes() -> narrow_link.NarrowLinkStore:
    """Return a store whose outage concerns the operator's topic only."""
    store = narrow_link.NarrowLinkStore(LINK_BYTES_PER_SECOND, (OUTAGE,))
    store.hidden_topics = frozenset((platform.OPERATOR_TOPIC,))
    return store


async def measure_worst_age(store: narrow_link.NarrowLinkStore) -> float:
    """Return the largest age of the configuration once back for a while."""
    entry = narrow_link.Entry(store)
    await entry.start()
    loop = asyncio.get_running_loop()
    await asyncio.sleep(OUTAGE[1] + CONTACT_SECONDS - loop.time())
    worst = 0.0
    while loop.time() < DAY_SECONDS:
        follower = entry.coordinator.operator_follower
        worst = max(worst, follower.measure_age())
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    await entry.stop()
    return worst


class ReturningEntryTest(unittest.TestCase):
    """Ask an entry that was out of the store's sight for new routes."""

    def test_entry_back_from_an_outage_denies_no_route_that_was_added(
        self,
    ) -> None:
        # Regression: 404 from a version of nine seconds before.
        denied = builders.run_simulated(
            list_wrong_denials(make_store(), in_touch_only=True)
        )
        self.assertEqual([], denied)

    def test_entry_in_an_outage_denies_no_route_that_was_added(self) -> None:
        denied = builders.run_simulated(
            list_wrong_denials(make_store(), in_touch_only=False)
        )
        self.assertEqual([], denied)

    def test_entry_back_from_an_outage_has_the_newest_version_in_time(
        self,
    ) -> None:
        # Regression: superseded versions were read one by one, so that one
        # page of them took 1.9 s.
        for interval, version_bytes in CHANGES:
            with self.subTest(interval=interval, version_bytes=version_bytes):
                store = make_store(interval, version_bytes)
                worst = builders.run_simulated(measure_worst_age(store))
                self.assertLess(worst, APPLY_SECONDS)

    def test_entry_whose_view_is_old_accepts_no_job_for_a_removed_route(
        self,
    ) -> None:
        self.assertEqual(
            [OK, UNAVAILABLE, NOT_FOUND],
            builders.run_simulated(self.submit_around_an_outage()),
        )

    async def submit_around_an_outage(self) -> list[int]:
        """Return the statuses before, in and after an outage of the view."""
        store = make_store_that_hides_changes()
        store.topics[platform.OPERATOR_TOPIC] = [
            narrow_link.write_version(0.0, 1, ['/removed/']),
            narrow_link.write_version(OUTAGE[0] + 1.0, 2, ['/other/']),
        ]
        entry = narrow_link.Entry(store)
        await entry.start()
        statuses = []
        for at in (OUTAGE[0] - 1.0, OUTAGE[1] - 1.0, OUTAGE[1] + 3.0):
            await asyncio.sleep(at - asyncio.get_running_loop().time())
            statuses.append(
                await entry.request('POST', f'/removed/{JOB}', SUBMISSION)
            )
        await entry.stop()
        return statuses

    def test_entry_whose_view_is_old_is_not_ready(self) -> None:
        # Regression: the ledger alone made an entry ready.
        async def probe() -> list[int]:
            store = make_store_that_hides_changes()
            store.topics[platform.OPERATOR_TOPIC] = [
                narrow_link.write_version(0.0, 1, ['/a/'])
            ]
            entry = narrow_link.Entry(store)
            await entry.start()
            statuses = []
            for at in (OUTAGE[0] - 1.0, OUTAGE[1] - 1.0, OUTAGE[1] + 2.0):
                await asyncio.sleep(at - asyncio.get_running_loop().time())
                statuses.append(await entry.probe())
            await entry.stop()
            return statuses

        self.assertEqual(
            [OK, UNAVAILABLE, OK], builders.run_simulated(probe())
        )

    def test_evacuation_that_ended_in_an_outage_is_over(self) -> None:
        # Its end is a record that a reader of the newest ones never sees.
        async def list_evacuating() -> list[set[str]]:
            store = make_store()
            changes = store.topics[platform.OPERATOR_TOPIC]
            changes += [
                narrow_link.Written(1.0, 'evacuate/zone-1', b'{}'),
                narrow_link.Written(OUTAGE[0] + 2, 'evacuate/zone-1', b''),
                narrow_link.Written(OUTAGE[0] + 3, 'evacuate/zone-2', b'{}'),
            ]
            changes.sort(key=lambda change: change.at)
            entry = narrow_link.Entry(store)
            await entry.start()
            seen = []
            for at in (OUTAGE[0] - 1.0, OUTAGE[1] + CONTACT_SECONDS):
                await asyncio.sleep(at - asyncio.get_running_loop().time())
                seen.append(set(entry.coordinator.operator.evacuating))
            await entry.stop()
            return seen

        self.assertEqual(
            [{'zone-1'}, {'zone-2'}],
            builders.run_simulated(list_evacuating()),
        )

    def test_load_of_an_outage_is_not_taken_for_the_load_after_it(
        self,
    ) -> None:
        # Regression: its age counted from its arrival.
        async def measure_age() -> float:
            store = make_store()
            (load,) = platform.decode_records(
                coordination.encode_load(coordination.LoadSummary(1)), 0
            )
            store.topics[coordination.SYSTEM_TOPIC] = [
                narrow_link.Written(OUTAGE[0] + 1.0, load.key, load.value)
            ]
            entry = narrow_link.Entry(store)
            await entry.start()
            await asyncio.sleep(OUTAGE[1] + CONTACT_SECONDS)
            now = asyncio.get_running_loop().time()
            await entry.stop()
            ledger = entry.coordinator.ledger
            self.assertIsNotNone(ledger.load)
            return now - ledger.load_written_after

        self.assertGreaterEqual(
            builders.run_simulated(measure_age()),
            OUTAGE[1] + CONTACT_SECONDS - (OUTAGE[0] + 1.0),
        )

    def test_entry_whose_view_is_old_denies_no_path_below_a_known_route(
        self,
    ) -> None:
        # A later version may have a route with a longer prefix.
        async def request() -> int:
            store = narrow_link.NarrowLinkStore(LINK_BYTES_PER_SECOND)
            store.outages = (OUTAGE,)
            store.topics[platform.OPERATOR_TOPIC] = [
                narrow_link.write_version(0.0, 1, ['/a/']),
                narrow_link.write_version(OUTAGE[0] + 1.0, 2, ['/a/b/']),
            ]
            entry = narrow_link.Entry(store)
            await entry.start()
            await asyncio.sleep(OUTAGE[1] - 1.0)
            status = await entry.request('GET', '/a/b/')
            await entry.stop()
            return status

        self.assertEqual(UNAVAILABLE, builders.run_simulated(request()))

    def test_entry_denies_nothing_that_a_neighbour_has_served_for_it(
        self,
    ) -> None:
        # Regression: a caller got 200 through a neighbour with a newer
        # version, and 404 afterwards.
        async def request() -> list[int]:
            store = narrow_link.NarrowLinkStore(LINK_BYTES_PER_SECOND)
            store.topics[platform.OPERATOR_TOPIC] = [
                narrow_link.write_version(0.0, 1, ['/a/']),
                narrow_link.write_version(2.0, 2, ['/a/', '/b/']),
            ]
            entry = narrow_link.Entry(store)
            await entry.start()
            statuses = []
            for at in (1.0, 3.0):
                await asyncio.sleep(at - asyncio.get_running_loop().time())
                status = await entry.relay_once(
                    platform.Response(OK, b'{}', configuration_version=2)
                )
                self.assertEqual(OK, status)
                statuses.append(await entry.request('GET', '/b/'))
            statuses.append(await entry.request('GET', '/c/'))
            self.assertEqual(2, await entry.find_named_version('/c/'))
            await entry.stop()
            return statuses

        self.assertEqual(
            [UNAVAILABLE, OK, NOT_FOUND], builders.run_simulated(request())
        )

    def test_job_whose_body_arrives_slowly_is_refused_for_a_removed_route(
        self,
    ) -> None:
        async def submit() -> int:
            store = narrow_link.NarrowLinkStore(LINK_BYTES_PER_SECOND)
            store.topics[platform.OPERATOR_TOPIC] = [
                narrow_link.write_version(0.0, 1, ['/removed/']),
                narrow_link.write_version(2.0, 2, ['/other/']),
            ]
            entry = narrow_link.Entry(store)
            await entry.start()
            await asyncio.sleep(1.0)
            status = await entry.request(
                'POST', f'/removed/{JOB}', SUBMISSION, body_seconds=3.0
            )
            await entry.stop()
            return status

        self.assertEqual(NOT_FOUND, builders.run_simulated(submit()))


if __name__ == '__main__':
    unittest.main()
