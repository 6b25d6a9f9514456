"""Tests of a stop while callers go on to use connections that are open."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet
from tests.byte_callers import NO_ANSWER, ByteCaller

CALLER_COUNT = 20
WORK_S = 0.2
# Time from SIGTERM until a host without requests in progress may end its drain.
DRAIN_S = 1.8
# The process is held up from before that moment until after it.
HOLD_UP_BEFORE_S = 0.3
HOLD_UP_AFTER_S = 0.6
BODY_START_S = 0.5
BODY_DELAY_S = 6.2
BODY_STEP_S = 0.04
SLOW_CALLER_COUNT = 2
READ_DELAY_S = 3.0
# Requests are sent at this interval until the process is killed.
SEND_INTERVAL_S = 0.4
SLOW_WORK_S = 2.5
LONG_WORK_S = 30.0
LARGE_RESPONSE_BYTES = 15 << 20


class StopOnOpenConnectionsTest(TestCase):
    """Each request that a stopping host has read is answered or refused."""

    def test_request_read_after_the_drain_is_answered(self):
        """The host finds nothing in progress, then reads a request per connection."""
        answers = run_coroutine(_stop(_send_while_held_up))
        self.assertEqual({(200, True): CALLER_COUNT}, answers)

    def test_request_in_progress_at_the_end_of_the_grace_is_answered(self):
        """The server needs longer than the grace period and the route's time limit."""
        answers = run_coroutine(_stop(_send_long_requests))
        self.assertEqual({(502, True): CALLER_COUNT}, answers)

    def test_body_that_comes_as_the_grace_ends_is_refused(self):
        """Some bodies come after the requests in progress were told to end."""
        answers = run_coroutine(_stop(_send_late_bodies))
        self.assertLessEqual(set(answers), {(503, False), (408, False)})

    def test_body_that_never_comes_is_refused(self):
        """The host is still reading the body when the grace period ends."""
        answers = run_coroutine(_stop(_send_no_bodies))
        self.assertEqual({(408, False): CALLER_COUNT}, answers)

    def test_request_behind_another_one_is_answered(self):
        """Both were read before the stop; the first response ends during it."""
        answers = run_coroutine(_stop(_send_in_pairs))
        self.assertEqual({(200, True): CALLER_COUNT}, answers)

    def test_request_that_comes_late_in_the_grace_is_not_cut(self):
        """The server ends in time, or after the deadlines and the grace period."""
        for work_s, statuses in ((SLOW_WORK_S, {200}), (LONG_WORK_S, {502, 504})):

            async def send(fleet, server, callers, work_s=work_s) -> list[int]:
                server.work_s = work_s
                return await _send_through_the_grace(fleet, callers)

            answers = run_coroutine(_stop(send))
            reached = {status for status, arrived in answers if arrived}
            self.assertEqual(statuses, reached, work_s)
            refused = {status for status, arrived in answers if not arrived}
            self.assertIn(503, refused, work_s)
            self.assertLessEqual(refused, {503, NO_ANSWER}, work_s)

    def test_answer_that_is_read_slowly_is_delivered(self):
        """The response is larger than what the sockets hold."""
        answers = run_coroutine(_stop(_read_large_responses))
        self.assertEqual({(200, True): SLOW_CALLER_COUNT}, answers)


async def _stop(
    send: Callable[[PlatformFleet, StandInServer, list[ByteCaller]], Awaitable[list]],
) -> Counter:
    """Stop a host that has idle connections.

    Args:
        send: Sends SIGTERM and requests; returns their answers.

    Returns:
        The number of requests by status and by whether they reached the server.
    """
    async with PlatformFleet(1) as fleet:
        server = await fleet.add_server()
        process = await fleet.start_host(0)
        await fleet.wait_until_ready(0)
        address = fleet.settings[0]["Listen"]["Front"]
        callers = [await ByteCaller.connect(address) for _ in range(CALLER_COUNT)]
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
        return counts


async def _send_while_held_up(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Let the end of the drain and the requests fall into one turn of the loop."""
    process = fleet.processes[0]
    server.work_s = WORK_S
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(DRAIN_S - HOLD_UP_BEFORE_S)
    process.send_signal(signal.SIGSTOP)
    answers = [
        asyncio.create_task(caller.send("/lookup/x", f"r-{number}"))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(HOLD_UP_BEFORE_S + HOLD_UP_AFTER_S)
    process.send_signal(signal.SIGCONT)
    return await asyncio.gather(*answers)


async def _send_long_requests(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Send requests that are in progress when the grace period ends."""
    server.work_s = 30.0
    fleet.processes[0].send_signal(signal.SIGTERM)
    return await asyncio.gather(
        *(
            caller.send("/payout/x", f"r-{number}", 20_000)
            for number, caller in enumerate(callers)
        )
    )


async def _send_through_the_grace(
    fleet: PlatformFleet, callers: list[ByteCaller]
) -> list[int]:
    """Send a request on each connection in turn, until the end of the grace period."""
    fleet.processes[0].send_signal(signal.SIGTERM)

    async def send(number: int, caller: ByteCaller) -> int:
        await asyncio.sleep(number * SEND_INTERVAL_S)
        path = "/payout/x" if number % 2 else "/lookup/x"
        return await caller.send(path, f"r-{number}", 5000)

    return await asyncio.gather(
        *(send(number, caller) for number, caller in enumerate(callers))
    )


async def _read_large_responses(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Read large responses only when no request is in progress any more."""
    server.padding_bytes = LARGE_RESPONSE_BYTES
    fleet.processes[0].send_signal(signal.SIGTERM)
    return await asyncio.gather(
        *(
            caller.send("/lookup/x", f"r-{number}", read_delay_s=READ_DELAY_S)
            for number, caller in enumerate(callers[:SLOW_CALLER_COUNT])
        )
    )


async def _send_late_bodies(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Send each body at another moment around the end of the drain."""
    delays_s = [BODY_DELAY_S + number * BODY_STEP_S for number in range(len(callers))]
    return await _send_bodies(fleet, server, callers, delays_s)


async def _send_no_bodies(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Send the heads of requests only."""
    return await _send_bodies(fleet, server, callers, [None] * len(callers))


async def _send_bodies(
    fleet: PlatformFleet,
    server: StandInServer,
    callers: list[ByteCaller],
    delays_s: list[float | None],
) -> list[int]:
    server.work_s = 30.0
    fleet.processes[0].send_signal(signal.SIGTERM)
    await asyncio.sleep(BODY_START_S)
    return await asyncio.gather(
        *(
            caller.send("/payout/x", f"r-{number}", 20_000, body_delay_s=delay_s)
            for number, (caller, delay_s) in enumerate(
                zip(callers, delays_s, strict=True)
            )
        )
    )


async def _send_in_pairs(
    fleet: PlatformFleet, server: StandInServer, callers: list[ByteCaller]
) -> list[int]:
    """Send two requests at once on each of half of the connections."""
    server.work_s = WORK_S
    pairs = [
        asyncio.create_task(
            caller.send_two("/payout/x", (f"r-{2 * number}", f"r-{2 * number + 1}"))
        )
        for number, caller in enumerate(callers[: CALLER_COUNT // 2])
    ]
    await asyncio.sleep(WORK_S / 2)
    fleet.processes[0].send_signal(signal.SIGTERM)
    return [answer for pair in await asyncio.gather(*pairs) for answer in pair]
