"""Contract tests of the platform interface, run against the stand-in."""

import asyncio

from aiohttp import ClientError
from aiohttp.test_utils import TestClient, TestServer
from testtools import TestCase

from standins.platform import Platform, make_platform_app

OLD = {"version": 1, "hosts": []}
NEW = {"version": 2, "hosts": []}
OTHER = {"version": 9, "hosts": []}
URL = "/v1/values/hosts"


class PlatformTest(TestCase):
    """Reads, watches, faults and call counts."""

    def run_with(self, scenario, **options):
        """Run a scenario with a client of a platform that has published OLD."""

        async def run():
            server = TestServer(make_platform_app(Platform(**options)))
            async with TestClient(server) as client:
                await client.put("/values/hosts", json=OLD)
                await scenario(client)

        asyncio.run(run())

    async def read(self, client, caller="h1", **query):
        """Read or watch a value; return the status and the version."""
        headers = {"User-Agent": caller}
        async with client.get(URL, params=query, headers=headers) as response:
            value = await response.json() if response.status == 200 else {}
            return response.status, value.get("version")

    def test_read_and_watch(self):
        """A watch ends with a new version, or with status 304 after ``wait_s``."""

        async def scenario(client):
            self.assertEqual((200, 1), await self.read(client))
            self.assertEqual((304, None), await self.read(client, after=1, wait_s=0.01))
            watch = asyncio.create_task(self.read(client, after=1, wait_s=60))
            await self.wait_for_watch(client)
            await client.put("/values/hosts", json=NEW)
            self.assertEqual((200, 2), await watch)
            missing = await client.get("/v1/values/configuration")
            self.assertEqual(404, missing.status)
            malformed = await client.get(URL, params={"wait_s": "soon"})
            self.assertEqual(400, malformed.status)
            written = await client.put(URL, json=NEW)
            self.assertEqual(405, written.status)

        self.run_with(scenario)

    def test_calls_over_rate_refused(self):
        """Calls over the rate limit are refused with status 429 and counted."""

        async def scenario(client):
            statuses = [(await self.read(client))[0] for _ in range(4)]
            self.assertEqual([200, 200, 429, 429], statuses)
            calls = await (await client.get("/calls")).json()
            self.assertEqual(4, calls["calls"])
            self.assertEqual(2, calls["refused"])
            self.assertEqual({"h1": 4}, calls["by_caller"])

        self.run_with(scenario, calls_per_s=2.0)

    def test_no_response_while_down(self):
        """While it is down, connections are closed, including a waiting watch's."""

        async def scenario(client):
            watch = asyncio.create_task(self.read(client, after=1, wait_s=60))
            await self.wait_for_watch(client)
            await client.post("/faults", json={"down": True})
            with self.assertRaises(ClientError):
                await watch
            with self.assertRaises(ClientError):
                await self.read(client)
            await client.post("/faults", json={})
            self.assertEqual((200, 1), await self.read(client))

        self.run_with(scenario)

    def test_stale_and_late(self):
        """A stale platform returns the previous version; a late one responds."""

        async def scenario(client):
            await client.post("/faults", json={"stale": True, "late_s": 0.01})
            await client.put("/values/hosts", json=NEW)
            self.assertEqual((200, 1), await self.read(client))
            await client.post("/faults", json={})
            self.assertEqual((200, 2), await self.read(client))

        self.run_with(scenario)

    def test_value_differs_by_caller(self):
        """Named callers, or else every second one, receive another value."""

        async def scenario(client):
            override = {"values": {"hosts": OTHER}}
            await client.post("/faults", json={"differs": override})
            seen = [await self.read(client, caller) for caller in ("h1", "h2", "h1")]
            self.assertEqual([(200, 9), (200, 1), (200, 9)], seen)
            named = {"differs": {**override, "callers": ["h2"]}}
            await client.post("/faults", json=named)
            seen = [await self.read(client, caller) for caller in ("h1", "h2")]
            self.assertEqual([(200, 1), (200, 9)], seen)
            misspelt = await client.post("/faults", json={"stail": True})
            self.assertEqual(400, misspelt.status)

        self.run_with(scenario)

    async def wait_for_watch(self, client):
        """Wait until a watch is pending at the platform."""
        while (await (await client.get("/calls")).json())["waiting"] == 0:
            await asyncio.sleep(0.01)
