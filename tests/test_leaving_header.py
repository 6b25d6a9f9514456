"""Tests of hosts, as processes, with a server that says that it leaves."""

import asyncio

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

# Within this time every host knows what a server has said to one of them.
GOSSIP_S = 1.0
REQUEST_COUNT = 20


class LeavingHeaderTest(TestCase):
    """The statement holds in each host, whatever the store shows."""

    def test_server_that_leaves_gets_requests_from_no_host(self):
        """Neither a registration that is older nor an outage brings it back."""
        run_coroutine(self._check())

    async def send_requests(self, fleet: PlatformFleet, host: int, name: str) -> None:
        """Send lookups to a host; all have to be served."""
        for number in range(REQUEST_COUNT):
            status, _ = await fleet.fetch(host, "/lookup/x", f"{name}-{number}")
            self.assertEqual(200, status)

    async def _check(self) -> None:
        async with PlatformFleet(3) as fleet:
            leaving, _ = await fleet.add_server(), await fleet.add_server()
            fleet.register_server(leaving, born=7)
            await fleet.start_host(0)
            await fleet.start_host(1)
            for host in range(2):
                await fleet.wait_until_ready(host)
            leaving.response_headers["Server-Leaving"] = "1"
            await self.send_requests(fleet, 0, "first")
            self.assertEqual(1, len(leaving.request_ids))
            await asyncio.sleep(GOSSIP_S)
            await self.send_requests(fleet, 1, "other")
            fleet.register_server(leaving, "ready", born=7)
            fleet.store.refuses_calls = True
            await asyncio.sleep(GOSSIP_S)
            await self.send_requests(fleet, 0, "outage")
            fleet.store.refuses_calls = False
            # A host that starts later has read only the store.
            await fleet.start_host(2)
            await fleet.wait_until_ready(2)
            await asyncio.sleep(GOSSIP_S)
            await self.send_requests(fleet, 2, "newcomer")
            self.assertEqual(1, len(leaving.request_ids))
            del leaving.response_headers["Server-Leaving"]
            fleet.register_server(leaving, "ready", born=8)
            await asyncio.sleep(GOSSIP_S)
            await self.send_requests(fleet, 0, "restarted")
            self.assertGreater(len(leaving.request_ids), 1)
