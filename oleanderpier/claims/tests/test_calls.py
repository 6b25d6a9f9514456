"""Tests of ``run_call``: a call is claimed, sent once and settled."""

import asyncio
import random
import time

from expression import Error, Ok
from testtools import TestCase

from oleanderpier.claims import BackendResponse, finish_calls, run_call
from oleanderpier.claims.tests.fleet import Fleet
from oleanderpier.claims.tests.schedules import WARM_UP_S
from oleanderpier.results import Code, Failure, MaybeSent, NotSent
from oleanderpier.utils import make_key

REFUSED = Failure(Code.NO_BACKEND_SERVER, "connection refused", 1.0)
RESPONSE_LOST = Failure(Code.ANSWER_LOST, "the response was cut", 1.0)


class CallsTest(TestCase):
    """Results that callers get, and how often the request is sent."""

    def setUp(self):
        """Make a fleet of one host, which decides claims at once."""
        super().setUp()
        self.fleet = Fleet(1, hosts=1)
        self.fleet.timers.advance(WARM_UP_S)
        self.claims = self.fleet.processes["host-0"].node.claims
        self.key = make_key(self.fleet.timers.wall(), random.Random(1))
        self.send_count = 0

    def run_call(self, result, delay_s=0.0, timeout_s=1.0, calls=2):
        """Run the call some times; return its results.

        Args:
            result: What the send returns, or raises if it is an exception.
            delay_s: Duration of the send, in seconds.
            timeout_s: Time limit of each call, in seconds.
            calls: Number of calls with the same key, one after the other.
        """

        async def send(left_s):
            self.send_count += 1
            await asyncio.sleep(delay_s)
            if isinstance(result, Exception):
                raise result
            return result

        async def run():
            results = [
                await run_call(self.claims, self.key, send, timeout_s)
                for _ in range(calls)
            ]
            await asyncio.sleep(delay_s)
            return results

        return asyncio.run(run())

    def test_codes_by_result_of_send(self):
        """The codes of the first call and of a repeated one, by result of the send."""
        table = [
            (Ok(BackendResponse(b"paid")), Code.DONE, Code.DONE),
            (Error(NotSent(REFUSED)), Code.NO_BACKEND_SERVER, Code.KEY_VOID),
            (Error(MaybeSent(RESPONSE_LOST)), Code.ANSWER_LOST, Code.ANSWER_LOST),
            (OSError("reset"), Code.ANSWER_LOST, Code.ANSWER_LOST),
        ]
        for result, first, again in table:
            self.send_count = 0
            self.key = self.fleet.make_key()
            results = self.run_call(result)
            codes = [
                r.merge().code for r in (x.map_error(lambda e: e) for x in results)
            ]
            self.assertEqual(([first, again], 1), (codes, self.send_count))

    def test_late_response_can_be_looked_up(self):
        """A response after the time limit is kept for a later look-up."""
        results = self.run_call(Ok(BackendResponse(b"paid")), 0.1, 0.02, calls=1)
        self.assertEqual(Code.TARGET_MISSED, results[0].error.code)
        found = self.fleet.look_up("host-0", self.key)
        self.assertEqual((Code.DONE, b"paid"), tuple(found[0]))

    def test_key_voided_without_time_left(self):
        """If no time is left after the claim, the key is voided and nothing sent."""
        claim = self.claims.claim
        self.claims.claim = lambda *args: (time.sleep(0.02), claim(*args))
        results = self.run_call(Ok(BackendResponse(b"paid")), timeout_s=0.01, calls=1)
        self.assertEqual(Code.TARGET_UNREACHABLE, results[0].error.code)
        self.assertEqual(
            Code.KEY_VOID, self.run_call(Ok(BackendResponse(b"")))[0].ok.code
        )
        self.assertEqual(0, self.send_count)

    def test_send_continues_after_caller_left(self):
        """A send continues when its caller leaves, and is not repeated."""
        started, responded = asyncio.Event(), asyncio.Event()

        async def send(left_s):
            self.send_count += 1
            started.set()
            await responded.wait()
            return Ok(BackendResponse(b"paid"))

        async def run():
            call = asyncio.ensure_future(run_call(self.claims, self.key, send, 1.0))
            await started.wait()
            call.cancel()
            self.assertEqual(1, await finish_calls(0.0))
            responded.set()
            self.assertEqual(0, await finish_calls(1.0))
            return await run_call(self.claims, self.key, send, 1.0)

        self.assertEqual((Code.DONE, b"paid"), tuple(asyncio.run(run()).ok))
        self.assertEqual(1, self.send_count)
