"""Tests of hosts, as processes, with servers that take a limited rate of requests."""

import asyncio
import bisect
from collections.abc import Callable, Coroutine

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import LIMIT_HEADER, StandInServer
from standins.platform_fleet import PlatformFleet, stop_gracefully
from tests.fleet_callers import Result, send_request

HOST_COUNT = 3
SERVER_COUNT = 4
LIMIT_PER_S = 3.0
# The users' bound: from CONTACT_S after a server first named its limit, it gets in any
# WINDOW_S no more than LIMIT_FACTOR times what that allows, and LIMIT_EXTRA.
CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LENGTH_S = 12.0
INTERVAL_S = 0.025
# A refusal is sent at once.
MAX_REFUSAL_S = 0.5
# Part of what the servers take that is sent while callers are refused.
MIN_USED_RATIO = 0.9


class ServerLimitTest(TestCase):
    """The limit of a server holds for all hosts together."""

    def test_servers_get_no_more_than_the_limit_that_they_name(self):
        """Half of them name one and the others serve the rest, also in a restart."""
        run_coroutine(self._check_rest_is_served())

    def test_limits_are_used_up_before_callers_are_refused(self):
        """All servers name a limit, and all callers are at one host."""
        run_coroutine(self._check_limits_are_used())

    def check_limit(self, server: StandInServer) -> None:
        """Check the users' bound on a server's arrivals; see ``CONTACT_S``."""
        times_s = [at for _, at in server.arrivals]
        from_s = times_s[0] + CONTACT_S
        times_s = [at for at in times_s if at >= from_s]
        most = max(
            bisect.bisect_left(times_s, start_s + WINDOW_S) - index
            for index, start_s in enumerate(times_s)
        )
        allowed = LIMIT_FACTOR * WINDOW_S * LIMIT_PER_S + LIMIT_EXTRA
        self.assertLessEqual(most, allowed, server.instance_id)

    async def _check_rest_is_served(self) -> None:
        async with PlatformFleet(HOST_COUNT) as fleet:
            servers = [await fleet.add_server() for _ in range(SERVER_COUNT)]
            limited = servers[: SERVER_COUNT // 2]
            for server in limited:
                server.response_headers[LIMIT_HEADER] = str(LIMIT_PER_S)
            await fleet.start_all()
            stopped = asyncio.create_task(_restart_host(fleet))
            results = await send_requests(fleet, lambda number: 1 + number % 2)
            await stopped
        for server in limited:
            self.check_limit(server)
        self.assertEqual({200}, {result.status for result in results})

    async def _check_limits_are_used(self) -> None:
        async with PlatformFleet(HOST_COUNT) as fleet:
            servers = [await fleet.add_server() for _ in range(SERVER_COUNT)]
            for server in servers:
                server.response_headers[LIMIT_HEADER] = str(LIMIT_PER_S)
            await fleet.start_all()
            results = await send_requests(fleet, lambda number: 0)
        for server in servers:
            self.check_limit(server)
        settled_s = results[0].sent_s + CONTACT_S
        settled = [result for result in results if result.sent_s >= settled_s]
        refused = [result for result in settled if result.status != 200]
        self.assertEqual({503}, {result.status for result in refused})
        self.assertTrue(all(float(result.retry_after) > 0 for result in refused))
        self.assertLess(max(result.took_s for result in refused), MAX_REFUSAL_S)
        taken = SERVER_COUNT * LIMIT_PER_S * (LENGTH_S - CONTACT_S)
        served = len(settled) - len(refused)
        self.assertGreaterEqual(served, MIN_USED_RATIO * taken)


async def _restart_host(fleet: PlatformFleet) -> None:
    """Stop the host that gets no requests, and start it again."""
    await asyncio.sleep(LENGTH_S / 2)
    await stop_gracefully(fleet.processes[0])
    await fleet.start_host(0)


async def send_requests(
    fleet: PlatformFleet, pick_host: Callable[[int], int]
) -> list[Result]:
    """Send lookups and chats for some seconds.

    Args:
        fleet: The hosts.
        pick_host: Returns the host for the number of a request.
    """
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + LENGTH_S
    tasks = []
    while loop.time() < ends_s:
        number = len(tasks)
        tasks.append(asyncio.create_task(_send(fleet, pick_host(number), number)))
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*tasks))


def _send(
    fleet: PlatformFleet, host: int, number: int
) -> Coroutine[None, None, Result]:
    """Return the sending of a chat or of a lookup."""
    is_chat = number % 3 == 0
    path = "/chat/x" if is_chat else "/lookup/x"
    prompt = {"Prompt-Prefix": f"shared:900,own{number}:9"} if is_chat else {}
    return send_request(fleet, (host,), path, f"r-{number}", **prompt)
