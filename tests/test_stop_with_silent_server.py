"""Tests of a host, as a process, that is stopped while a server is silent."""

import asyncio
import signal

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet

EVENT_COUNT = 40
PAUSE_AFTER = 10
# Longer than a server may be silent before another one is tried.
PAUSE_S = 2.0
STREAM_COUNT = 6
LOOKUP_COUNT = 6
LOOKUP_WORK_S = 2.0
STOP_DELAY_S = 0.3


class StopWithSilentServerTest(TestCase):
    """A server's silence ends no response before the grace period does."""

    def test_stream_of_a_silent_server_is_not_given_up_for_a_full_one(self):
        """The host gets SIGTERM just before the server pauses in its streams."""

        async def send(fleet: PlatformFleet, silent: StandInServer) -> list[int]:
            silent.pause_after, silent.pause_s = PAUSE_AFTER, PAUSE_S
            return await asyncio.gather(
                *(
                    count_events(fleet, f"stream-{number}")
                    for number in range(STREAM_COUNT)
                )
            )

        self.assertEqual([EVENT_COUNT] * STREAM_COUNT, run_coroutine(stop(send)))

    def test_lookup_at_a_slow_server_is_not_given_up_for_a_full_one(self):
        """The host gets SIGTERM while the server works."""

        async def send(fleet: PlatformFleet, silent: StandInServer) -> list[int]:
            silent.work_s = LOOKUP_WORK_S
            responses = await asyncio.gather(
                *(
                    fleet.fetch(0, "/lookup/x", f"lookup-{number}")
                    for number in range(LOOKUP_COUNT)
                )
            )
            return [status for status, _ in responses]

        self.assertEqual([200] * LOOKUP_COUNT, run_coroutine(stop(send)))


async def stop(send) -> list[int]:
    """Stop a host of a fleet with a silent and a full server.

    Args:
        send: Sends requests to the host; returns what became of them.
    """
    async with PlatformFleet(1) as fleet:
        silent = await fleet.add_server(EVENT_COUNT)
        full = await fleet.add_server(EVENT_COUNT)
        full.is_full = True
        process = await fleet.start_host(0)
        await fleet.wait_until_ready(0)
        sending = asyncio.create_task(send(fleet, silent))
        await asyncio.sleep(STOP_DELAY_S)
        process.send_signal(signal.SIGTERM)
        results = await sending
        await process.wait()
    return results


async def count_events(fleet: PlatformFleet, identity: str) -> int:
    """Return the number of events of a whole stream.

    Raises:
        aiohttp.ClientPayloadError: The stream was broken off.
    """
    async with fleet.request(0, "/chat/x", identity) as response:
        return (await response.read()).count(b"data: ")
