"""Responses that move to another engine while they stream."""

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
POLL_INTERVAL_S = 0.001


async def run_moves(offsets: list[int], engine_count: int) -> tuple:
    """Move a response as soon as it reaches each of some offsets.

    Each move is requested twice: the second request has to be ignored.

    Returns:
        The verdict, the result, the release count of each permit, the number
        of requests started at each engine, and of those still running.
    """
    async with serve_engines(engine_count) as engines:
        servers = [server for _, server in engines]
        async with serve_relay(servers, tokens=TOKENS) as harness:
            task = asyncio.create_task(read_response(harness.url))
            for offset in offsets:
                while not task.done() and not has_reached_offset(harness.relay, offset):
                    await asyncio.sleep(POLL_INTERVAL_S)
                harness.relay.move_response(REQUEST)
                harness.relay.move_response(REQUEST)
            _, data, hung = await task
        running = sum(engine.slots.running for engine, _ in engines)
        start_counts = [engine.counts["started"] for engine, _ in engines]
    release_counts = [permit.release_count for permit in harness.placement.permits]
    verdict = check_response(data, TOKENS, hung)
    return verdict, harness.results[0], release_counts, start_counts, running


def has_reached_offset(relay, offset: int) -> bool:
    """Return whether the response has forwarded so many events."""
    response = relay.active_responses.get(REQUEST)
    return response is not None and response._sequence.next_offset >= offset


class MoveTest(TestCase):
    """Moves lose no event, duplicate none and leak no permit."""

    def test_single_move_keeps_response_complete(self):
        """The response comes from two engines; both permits are returned."""
        for offset in (1, 7, 20, 40):
            verdict, result, release_counts, start_counts, running = asyncio.run(
                run_moves([offset], 2)
            )
            self.assertEqual("whole", verdict, offset)
            self.assertEqual(
                (2, [1, 1], 0), (result.attempt_count, start_counts, running)
            )
            self.assertEqual([1, 1], release_counts)

    def test_repeated_moves_keep_response_complete(self):
        """Successive moves between two engines keep the response complete."""
        verdict, result, release_counts, _, running = asyncio.run(
            run_moves([5, 15, 25, 35], 2)
        )
        self.assertEqual("whole", verdict)
        self.assertEqual({1}, set(release_counts))
        self.assertEqual(0, running)
        self.assertEqual(5, result.attempt_count)

    def test_stream_stays_without_another_engine(self):
        """Without another engine the stream stays where it is."""
        verdict, result, release_counts, start_counts, _ = asyncio.run(
            run_moves([5], 1)
        )
        self.assertEqual("whole", verdict)
        self.assertEqual(
            (1, [1], [1]), (result.attempt_count, start_counts, release_counts)
        )

    def test_move_at_last_event_leaks_no_permit(self):
        """A move requested just before the end leaks no permit."""
        verdict, _, release_counts, _, running = asyncio.run(run_moves([TOKENS - 1], 2))
        self.assertEqual("whole", verdict)
        self.assertEqual({1}, set(release_counts))
        self.assertEqual(0, running)
