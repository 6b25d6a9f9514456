"""Answers that go on at another engine while they stream."""

import asyncio

from testtools import TestCase

from oleanderpier.relay.tests.harness import (
    REQUEST,
    read_response,
    serve_engines,
    serve_relay,
)
from oleanderpier.relay.tests.response_checks import check_response

TOKENS = 60
POLL_S = 0.001


async def run_moves(offsets: list[int], engines: int) -> tuple:
    """Move an answer once it has reached each offset.

    Returns:
        The verdict, the outcome, releases of each permit, requests started at
        each engine, and work left running.
    """
    async with serve_engines(engines) as found:
        servers = [server for _, server in found]
        async with serve_relay(servers, tokens=TOKENS) as bench:
            task = asyncio.create_task(read_response(bench.url))
            for offset in offsets:
                while not task.done() and not has_reached(bench.relay, offset):
                    await asyncio.sleep(POLL_S)
                bench.relay.move_response(REQUEST)
                bench.relay.move_response(REQUEST)
            _, data, hung = await task
        running = sum(engine.slots.running for engine, _ in found)
        started = [engine.counts["started"] for engine, _ in found]
    released = [permit.released for permit in bench.placement.permits]
    verdict = check_response(data, TOKENS, hung)
    return verdict, bench.results[0], released, started, running


def has_reached(relay, offset: int) -> bool:
    """Return whether the answer has forwarded so many events."""
    answer = relay.active_responses.get(REQUEST)
    return answer is not None and answer._sequence.next_offset >= offset


class MoveTest(TestCase):
    """A move loses, doubles and leaks nothing, whenever it comes."""

    def test_moved_once(self):
        """The answer is whole, from two engines; both permits are returned."""
        for offset in (1, 7, 20, 40):
            verdict, outcome, released, started, running = asyncio.run(
                run_moves([offset], 2)
            )
            self.assertEqual("whole", verdict, offset)
            self.assertEqual((2, [1, 1], 0), (outcome.attempts, started, running))
            self.assertEqual([1, 1], released)

    def test_moved_to_and_fro(self):
        """Several moves one after the other keep the answer whole."""
        verdict, outcome, released, _, running = asyncio.run(
            run_moves([5, 15, 25, 35], 2)
        )
        self.assertEqual("whole", verdict)
        self.assertEqual({1}, set(released))
        self.assertEqual(0, running)
        self.assertEqual(5, outcome.attempts)

    def test_nowhere_to_go(self):
        """Without another engine the stream goes on where it is."""
        verdict, outcome, released, started, _ = asyncio.run(run_moves([5], 1))
        self.assertEqual("whole", verdict)
        self.assertEqual((1, [1], [1]), (outcome.attempts, started, released))

    def test_moved_at_the_end(self):
        """A move that comes with the last events leaks no permit."""
        verdict, _, released, _, running = asyncio.run(run_moves([TOKENS - 1], 2))
        self.assertEqual("whole", verdict)
        self.assertEqual({1}, set(released))
        self.assertEqual(0, running)
