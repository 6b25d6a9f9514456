"""Contract tests of a plain service, and tests of its stand-in's faults.

The contract tests also run against another service, whose base URL is given in
``SERVICE_URL``; they inject no faults.
"""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from testtools import TestCase

from standins.service import Service, make_service_app

KEY = "01890a5d-ac96-774b-bcce-b302099a8057"


@contextlib.asynccontextmanager
async def open_service(**options) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client session for the service under test."""
    async with contextlib.AsyncExitStack() as stack:
        url = os.environ.get("SERVICE_URL")
        if url is None:
            app = make_service_app(Service("service", **options))
            runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        yield await stack.enter_async_context(aiohttp.ClientSession(url))


async def call(
    session: aiohttp.ClientSession, operation: str, key: str = ""
) -> tuple[int, dict]:
    """Call an operation; return status 0 if no response arrives."""
    headers = {"Idempotency-Key": key} if key else {}
    try:
        async with (
            asyncio.timeout(0.5),
            session.post(
                f"/v1/calls/{operation}", json={"amount": 3}, headers=headers
            ) as response,
        ):
            return response.status, await response.json()
    except (TimeoutError, aiohttp.ClientError):
        return 0, {}


async def read(session: aiohttp.ClientSession, path: str) -> dict:
    """Return the JSON response to a GET."""
    async with session.get(path) as response:
        return await response.json()


class ServiceContractTest(TestCase):
    """The interface of a plain service in docs/INTERFACES.md."""

    def test_calls_with_and_without_key(self):
        """Calls with and without a key return status 200 and a JSON object."""

        async def run() -> list:
            async with open_service() as session:
                repeatable = await call(session, "balance-lookup")
                return [repeatable, await call(session, "payout-post", KEY)]

        for status, body in asyncio.run(run()):
            self.assertEqual((200, dict), (status, type(body)))

    def test_malformed_body_refused(self):
        """A body that is not valid JSON is refused with status 400."""

        async def run() -> int:
            async with open_service() as session:
                path = "/v1/calls/balance-lookup"
                async with session.post(path, data=b"{") as response:
                    return response.status

        self.assertEqual(400, asyncio.run(run()))


class ServiceFaultTest(TestCase):
    """Executions are counted whether or not the response arrives."""

    def test_executions_counted_under_faults(self):
        """Each fault gives its status and its number of executions."""
        rows = [
            ({}, 200, {KEY: 1}),
            ({"late_s": 0.05}, 200, {KEY: 1}),
            ({"lose_answer": True}, 0, {KEY: 1}),
            ({"silent": True}, 0, {KEY: 1}),
            ({"refuse": True}, 503, {}),
            ({"refuse": True, "times": 0}, 200, {KEY: 1}),
        ]

        async def run(faults: dict) -> tuple:
            async with open_service() as session:
                async with session.post("/faults", json=faults):
                    pass
                status, _ = await call(session, "payout-post", KEY)
                return status, await read(session, "/executions")

        for faults, status, executions in rows:
            self.assertEqual((status, executions), asyncio.run(run(faults)), faults)

    def test_repeated_key(self):
        """A repeated key is executed again, unless the service checks keys."""

        async def run(checks_keys: bool) -> dict:
            async with open_service(checks_keys=checks_keys) as session:
                first = await call(session, "certificate-issue", KEY)
                second = await call(session, "certificate-issue", KEY)
                self.assertEqual(first, second)
                return await read(session, "/executions")

        self.assertEqual({KEY: 2}, asyncio.run(run(False)))
        self.assertEqual({KEY: 1}, asyncio.run(run(True)))
