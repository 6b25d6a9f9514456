"""Tests of the bound on the bytes of all responses."""

import asyncio

from testtools import TestCase

from oleanderpier.forwarding.buffers import ResponseBuffer, ResponseBuffers
from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    RecordingCaller,
    respond,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine


class ResponseBuffersTest(TestCase):
    """The largest response of the server with the most bytes is ended."""

    def setUp(self) -> None:
        """Make empty buffers."""
        super().setUp()
        self.ended: list[str] = []
        self.buffers = ResponseBuffers(max_bytes=100)

    def open(self, server: str, name: str) -> ResponseBuffer:
        """Return a buffer that records its end."""
        return self.buffers.open(server, lambda: self.ended.append(name))

    def test_large_response_of_another_server_remains(self):
        """Many small ones of one server are more than it."""
        sound = self.open("s1", "sound")
        sound.resize(40)
        for number in range(8):
            self.open("s2", f"endless {number}").resize(10 + number)
        self.assertNotIn("sound", self.ended)
        self.assertEqual(40, sound.size)
        self.assertLessEqual(self.buffers.total_bytes, 100)

    def test_closed_responses_count_no_more(self):
        """However often they are closed."""
        first = self.open("s1", "first")
        first.resize(90)
        first.close()
        first.close()
        self.open("s1", "second").resize(90)
        self.assertEqual(([], 90), (self.ended, self.buffers.total_bytes))

    def test_only_response_is_ended_if_it_is_too_large(self):
        """It is ended once, and counts no more."""
        only = self.open("s1", "only")
        only.resize(101)
        self.assertEqual((["only"], 0), (self.ended, self.buffers.total_bytes))

    def test_whole_response_remains(self):
        """It counts, and the next one is ended in its place."""
        whole = self.open("s1", "whole")
        whole.resize(90)
        whole.complete()
        self.open("s2", "next").resize(20)
        self.assertEqual((["next"], 90), (self.ended, self.buffers.total_bytes))

    def test_responses_that_state_their_length_wait_for_room(self):
        """In the order in which they came; one that is given up is left out."""

        async def run() -> list[str]:
            reserved: list[str] = []

            async def reserve(name: str, size: int) -> ResponseBuffer:
                buffer = self.open("s1", name)
                await buffer.reserve(size)
                reserved.append(name)
                return buffer

            first = await reserve("first", 60)
            tasks = [
                asyncio.create_task(reserve(name, size))
                for name, size in (("second", 50), ("left", 30), ("third", 50))
            ]
            await asyncio.sleep(0)
            self.assertEqual(["first"], reserved)
            tasks[1].cancel()
            await asyncio.sleep(0)
            first.close()
            await asyncio.gather(*tasks, return_exceptions=True)
            return reserved

        self.assertEqual(["first", "second", "third"], run_coroutine(run()))
        self.assertEqual(([], 100), (self.ended, self.buffers.total_bytes))


class LargeResponsesTest(TestCase):
    """Large responses of sound servers arrive whole, however many come at once."""

    def test_large_responses_at_once_are_delivered(self):
        """Guards against ending a sound response for others that could wait."""
        body = b"x" * (15 << 20)
        fixture = ForwarderFixture([respond(body=body, delay_s=0.1)])
        fixture.at_once = True
        callers = [RecordingCaller() for _ in range(6)]
        route = make_route(kind=RequestKind.ONCE, sticky=False)
        outcomes = run_coroutine(fixture.forward_all(route, 20.0, callers))
        self.assertEqual([Code.DONE] * 6, [each.code for each in outcomes])
