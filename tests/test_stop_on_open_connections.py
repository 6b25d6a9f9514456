"""Tests of a stop while callers go on to use connections that are open."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet
from standins.raw_callers import NO_ANSWER, RawCaller

CALLER_COUNT = 20
WORK_S = 0.2
# Time from SIGTERM until a host without requests in progress may end its drain.
DRAIN_S = 1.8
# The process is held up for this long on either side of that moment.
HOLD_UP_S = 0.1
SLOW_CALLER_COUNT = 2
READ_DELAY_S = 3.0
LARGE_RESPONSE_BYTES = 15 << 20


class StopOnOpenConnectionsTest(TestCase):
    """Each request that a stopping host has read is answered or refused."""

    def test_request_read_after_the_drain_is_answered(self):
        """The host finds nothing in progress, then reads a request per connection."""
        answers, arrived = run_coroutine(_stop(_send_while_held_up))
        self.assertEqual(0, answers[NO_ANSWER, True], answers)
        self.assertEqual(CALLER_COUNT, answers.total())
        self.assertEqual(answers[200, True], arrived)

    def test_request_in_progress_at_the_end_of_the_grace_is_answered(self):
        """The server needs longer than the grace period and the route's time limit."""
        answers, _ = run_coroutine(_stop(_send_long_requests))
        self.assertEqual({(502, True): CALLER_COUNT}, answers)

    def test_answer_that_is_read_slowly_is_delivered(self):
        """The response is larger than what the sockets hold."""
        answers, _ = run_coroutine(_stop(_read_large_responses))
        self.assertEqual({(200, True): SLOW_CALLER_COUNT}, answers)


async def _stop(
    send: Callable[[PlatformFleet, StandInServer, list[RawCaller]], Awaitable[list]],
) -> tuple[Counter, int]:
    """Stop a host that has idle connections.

    Args:
        send: Sends SIGTERM and requests; returns their answers.

    Returns:
        The number of requests by status and by whether they reached the server, and
        how many reached it.
    """
    async with PlatformFleet(1) as fleet:
        server = await fleet.add_server()
        process = await fleet.start_host(0)
        await fleet.wait_until_ready(0)
        address = fleet.settings[0]["Listen"]["Front"]
        callers = [await RawCaller.connect(address) for _ in range(CALLER_COUNT)]
        for number, caller in enumerate(callers):
            await caller.send("/lookup/x", f"warm-{number}")
        server.arrivals.clear()
        answers = await send(fleet, server, callers)
        await process.wait()
        arrived = {identity for identity, _ in server.arrivals}
        counts = Counter(
            (answer, f"r-{number}" in arrived) for number, answer in enumerate(answers)
        )
        for caller in callers:
            caller.close()
        return counts, len(arrived)


async def _send_while_held_up(
    fleet: PlatformFleet, server: StandInServer, callers: list[RawCaller]
) -> list[int]:
    """Let the end of the drain and the requests fall into one turn of the loop."""
    process = fleet.processes[0]
    server.work_s = WORK_S
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(DRAIN_S - HOLD_UP_S)
    process.send_signal(signal.SIGSTOP)
    answers = [
        asyncio.create_task(caller.send("/lookup/x", f"r-{number}"))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(2 * HOLD_UP_S)
    process.send_signal(signal.SIGCONT)
    return await asyncio.gather(*answers)


async def _send_long_requests(
    fleet: PlatformFleet, server: StandInServer, callers: list[RawCaller]
) -> list[int]:
    """Send requests that are in progress when the grace period ends."""
    server.work_s = 30.0
    fleet.processes[0].send_signal(signal.SIGTERM)
    return await asyncio.gather(
        *(
            caller.send("/payout/x", f"r-{number}")
            for number, caller in enumerate(callers)
        )
    )


async def _read_large_responses(
    fleet: PlatformFleet, server: StandInServer, callers: list[RawCaller]
) -> list[int]:
    """Read large responses only when no request is in progress any more."""
    server.padding_bytes = LARGE_RESPONSE_BYTES
    fleet.processes[0].send_signal(signal.SIGTERM)
    return await asyncio.gather(
        *(
            caller.send("/lookup/x", f"r-{number}", READ_DELAY_S)
            for number, caller in enumerate(callers[:SLOW_CALLER_COUNT])
        )
    )
