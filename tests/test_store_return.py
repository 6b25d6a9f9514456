"""Tests of hosts, as processes, before a store that returns from an old copy."""

import asyncio

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

# Bounds that the users set: what the copy lacks is written again within
# REWRITE_S, and what is still missing then is gone. A change applies in APPLY_S.
REWRITE_S = 2.0
APPLY_S = 2.0
# How long the store is away.
AWAY_S = 0.5
# How long a slow store takes for a snapshot.
SNAPSHOT_S = 0.7
# The shortest pause of a watcher after a change.
BATCH_S = 0.2
# Revisions that are given out again while the store is not read.
REUSED_REVISION_COUNT = 30


class StoreReturnTest(TestCase):
    """After a return of the store the hosts follow its new era."""

    async def return_store(self, fleet: PlatformFleet) -> None:
        """Let the store return from its copy after a moment away."""
        fleet.store.refuses_calls = True
        await asyncio.sleep(AWAY_S)
        fleet.store.return_from_copy()
        fleet.store.refuses_calls = False

    async def count_responses(self, fleet: PlatformFleet, host: int, key: str) -> dict:
        """Return how many of some lookups at a host got each status."""
        counts: dict[int, int] = {}
        for number in range(12):
            request_id = f"{key}-{host}-{number}"
            status, _ = await fleet.fetch(host, "/lookup/x", request_id, Credential=key)
            counts[status] = counts.get(status, 0) + 1
        return counts

    def test_lost_server_is_dropped(self):
        """A server that only the lost seconds had gets nothing after the return."""
        run_coroutine(self._check_lost_server())

    async def _check_lost_server(self):
        async with PlatformFleet(3) as fleet:
            await fleet.add_server()
            await fleet.start_all()
            fleet.store.save_copy()
            lost = await fleet.add_server()
            await asyncio.sleep(APPLY_S)
            await self.return_store(fleet)
            await asyncio.sleep(REWRITE_S + APPLY_S)
            before = len(lost.request_ids)
            for host in range(3):
                counts = await self.count_responses(fleet, host, "key-1")
                self.assertEqual({200: 12}, counts)
            self.assertEqual(before, len(lost.request_ids))

    def test_working_server_is_not_dropped(self):
        """A server that the copy lacks serves until it is written again."""
        run_coroutine(self._check_working_server())

    async def _check_working_server(self):
        async with PlatformFleet(2) as fleet:
            await fleet.start_host(0)
            await fleet.start_host(1)
            fleet.store.save_copy()
            server = await fleet.add_server()
            for host in range(2):
                await fleet.wait_until_ready(host)
            await asyncio.sleep(APPLY_S)
            await self.return_store(fleet)
            statuses = set()
            for number in range(16):
                if number == 12:
                    fleet.register_server(server)
                status, _ = await fleet.fetch(number % 2, "/lookup/x", f"r{number}")
                statuses.add(status)
                await asyncio.sleep(0.1)
            await asyncio.sleep(REWRITE_S + APPLY_S)
            for host in range(2):
                counts = await self.count_responses(fleet, host, "key-1")
                self.assertEqual({200: 12}, counts)
            self.assertEqual({200}, statuses)

    def test_server_that_left_is_not_chosen_again(self):
        """A server that left in the lost seconds stays out, though the copy has it."""
        run_coroutine(self._check_left_server())

    async def _check_left_server(self):
        async with PlatformFleet(2) as fleet:
            leaving, removed, _ = [await fleet.add_server() for _ in range(3)]
            await fleet.start_all()
            fleet.store.save_copy()
            fleet.register_server(leaving, "draining")
            fleet.register_server(removed, "draining")
            fleet.store.put(f"servers/{removed.instance_id}", None)
            await asyncio.sleep(APPLY_S)
            before = len(leaving.request_ids) + len(removed.request_ids)
            await self.return_store(fleet)
            await asyncio.sleep(APPLY_S / 2)
            for host in range(2):
                await self.count_responses(fleet, host, "key-1")
            after = len(leaving.request_ids) + len(removed.request_ids)
            self.assertEqual(before, after)

    def test_configuration_does_not_step_back(self):
        """A revoked key stays revoked, also at a host that starts after the return."""
        run_coroutine(self._check_configuration())

    async def _check_configuration(self):
        async with PlatformFleet(3) as fleet:
            await fleet.add_server()
            await fleet.start_host(0)
            await fleet.start_host(1)
            await fleet.wait_until_ready(0)
            await fleet.wait_until_ready(1)
            fleet.store.save_copy()
            fleet.publish_configuration(2, api_keys=("key-2",))
            await asyncio.sleep(APPLY_S)
            await self.return_store(fleet)
            await fleet.start_host(2)
            await fleet.wait_until_ready(2)
            await asyncio.sleep(1.0)
            for host in range(3):
                counts = await self.count_responses(fleet, host, "key-1")
                self.assertEqual({401: 12}, counts, f"host {host}")
                counts = await self.count_responses(fleet, host, "key-2")
                self.assertEqual({200: 12}, counts, f"host {host}")

    def test_change_at_reused_revision_is_seen(self):
        """A watch whose position was given out again misses nothing."""
        run_coroutine(self._check_reused_revision())

    async def _check_reused_revision(self):
        async with PlatformFleet(3) as fleet:
            await fleet.add_server()
            await fleet.start_all()
            fleet.store.save_copy()
            for _ in range(REUSED_REVISION_COUNT // 2):
                fleet.store.put("other/key", {})
            fleet.publish_configuration(2)
            await asyncio.sleep(APPLY_S)
            fleet.store.refuses_calls = True
            await asyncio.sleep(AWAY_S)
            fleet.store.return_from_copy()
            fleet.publish_configuration(3, api_keys=("key-3",))
            for _ in range(REUSED_REVISION_COUNT):
                fleet.store.put("other/key", {})
            fleet.store.refuses_calls = False
            await asyncio.sleep(APPLY_S)
            for host in range(3):
                counts = await self.count_responses(fleet, host, "key-3")
                self.assertEqual({200: 12}, counts, f"host {host}")

    def test_only_watchers_read_snapshots(self):
        """The hosts that do not watch get the new era from their peers."""
        run_coroutine(self._check_snapshot_count(1.0))

    def test_lost_position_does_not_make_other_hosts_watch(self):
        """The watchers get 410 from a slow store, as they do not wait for a change."""
        run_coroutine(self._check_snapshot_count(BATCH_S / 2, SNAPSHOT_S))

    async def _check_snapshot_count(self, known_s: float, snapshot_s: float = 0.0):
        """Count snapshots after a return.

        Args:
            known_s: How long before it the last change was made.
            snapshot_s: How long each snapshot takes.
        """
        async with PlatformFleet(6) as fleet:
            await fleet.add_server()
            await fleet.start_all()
            await asyncio.sleep(APPLY_S)
            fleet.store.save_copy()
            lost = await fleet.add_server()
            await asyncio.sleep(known_s)
            before = fleet.store.snapshot_count
            fleet.store.snapshot_delay_s = snapshot_s
            fleet.store.return_from_copy()
            await asyncio.sleep(REWRITE_S + APPLY_S)
            # Two hosts watch two key spaces each.
            self.assertLessEqual(fleet.store.snapshot_count - before, 2 * 2)
            sent = len(lost.request_ids)
            for host in range(6):
                await self.count_responses(fleet, host, "key-1")
            self.assertEqual(sent, len(lost.request_ids))
