"""Tests of what an entry says while its view of the store is old."""

import asyncio
import unittest

from chivespoke.intake.tests import builders
from chivespoke.intake.tests import narrow_link
from chivespoke import platform

NOT_FOUND = 404
# Time after which an acknowledged change is in force.
APPLY_SECONDS = 2.0
# Time without a fault after which this holds for a process.
CONTACT_SECONDS = 3.0
OUTAGE = (4.6, 16.7)
DAY_SECONDS = 24.0
REQUEST_INTERVAL_SECONDS = 0.05
VERSION_BYTES = 50_000
LINK_BYTES_PER_SECOND = 550_000


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


if __name__ == '__main__':
    unittest.main()
