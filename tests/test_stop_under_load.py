"""Tests of a host, as a process, that is stopped while callers send requests."""

import asyncio
import signal

import aiohttp
from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

CALLER_COUNT = 40
CALM_S = 0.5


class StopUnderLoadTest(TestCase):
    """Callers use their open connections until the process is gone."""

    def test_no_request_that_reached_a_server_is_cut(self):
        """A request is answered, or the connection ends before it was passed on."""
        for work_s in (0.0, 0.1, 0.4):
            cut = run_coroutine(self._find_cut_requests(work_s))
            self.assertEqual([], cut, work_s)

    async def _find_cut_requests(self, work_s: float) -> list[str]:
        """Return the ids of requests that reached the server and have no response."""
        async with PlatformFleet(1) as fleet:
            server = await fleet.add_server()
            server.work_s = work_s
            process = await fleet.start_host(0)
            await fleet.wait_until_ready(0)
            unanswered: list[str] = []
            callers = [
                asyncio.create_task(self._send_until_refused(fleet, number, unanswered))
                for number in range(CALLER_COUNT)
            ]
            await asyncio.sleep(CALM_S)
            process.send_signal(signal.SIGTERM)
            await asyncio.gather(*callers)
            self.assertEqual(0, await process.wait())
            arrived = {identity for identity, _ in server.arrivals}
            self.assertGreater(len(arrived), CALLER_COUNT)
        return [identity for identity in unanswered if identity in arrived]

    async def _send_until_refused(
        self, fleet: PlatformFleet, caller: int, unanswered: list[str]
    ) -> None:
        """Send requests until the host listens no more."""
        number = 0
        while True:
            number += 1
            identity = f"{caller}-{number}"
            try:
                await fleet.fetch(0, "/lookup/x", identity)
            except aiohttp.ClientConnectorError:
                return
            except (aiohttp.ClientError, OSError):
                unanswered.append(identity)
            await asyncio.sleep(0.002 * (caller % 5))
