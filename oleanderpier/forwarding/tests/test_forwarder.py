"""Tests of forwarding against servers that fail in every way."""

import asyncio

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    Rig,
    answer,
    cut_stream,
    drive,
    format_events,
    hang,
    refuse,
    reset,
    stream,
)
from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

ONCE = {"kind": RequestKind.ONCE, "resumable": False, "target_s": 0.2}
SAFE = {"kind": RequestKind.IDEMPOTENT, "resumable": False, "target_s": 0.2}

# What may be wrong with an answer that brought nothing to the caller.
SPOILT = {
    "reset": reset,
    "no head": answer(size=10),
    "another request's": answer(identity="r-0"),
    "unsigned": answer(signed=False),
    "encoded": answer(headers=["Content-Encoding: gzip"]),
    "short": answer(body=b"part", size=10),
}


class OnceTest(TestCase):
    """A request that may not be repeated is sent on only where that is safe."""

    def test_spoilt_answers(self):
        """After any doubtful end it is sent nowhere else, and that is told."""
        for name, behave in SPOILT.items():
            rig = Rig([behave], [answer()])
            ended = drive(rig, timeout_s=0.6, max_attempts=2, **ONCE)
            self.assertEqual([1, 0], rig.count_visits(), name)
            told = describe_code(ended.code).fate
            self.assertEqual(Fate.MAY_HAVE_RUN, told, name)
            self.assertFalse(rig.caller.whole, name)

    def test_refused_by_server(self):
        """What a server has not run goes to another one, if the route allows."""
        rig = Rig([refuse()], [answer()])
        self.assertEqual(Code.DONE, drive(rig, max_attempts=2, **ONCE).code)
        rig = Rig([refuse()], [answer()])
        self.assertEqual(
            Code.NO_BACKEND_SERVER, drive(rig, max_attempts=1, **ONCE).code
        )
        self.assertEqual([1, 0], rig.count_visits())
        self.assertIsNotNone(rig.caller.failure.retry_after_s)

    def test_own_failure_is_passed_on(self):
        """A server's own failure counts as run, and comes as it is."""
        rig = Rig([answer(500, b"oops")], [answer()])
        drive(rig, max_attempts=2, **ONCE)
        self.assertEqual([1, 0], rig.count_visits())
        self.assertEqual((500, b"oops"), (rig.caller.status, rig.caller.data))

    def test_silence(self):
        """A silent server is waited for until the time is over."""
        rig = Rig([hang], [answer()])
        ended = drive(rig, timeout_s=0.8, max_attempts=2, **ONCE)
        self.assertEqual((Code.TARGET_MISSED, [1, 0]), (ended.code, rig.count_visits()))
        self.assertEqual(1, ended.attempts)

    def test_no_time_left(self):
        """With no time left it is refused at once, with the reason."""
        rig = Rig([answer()])
        ended = drive(rig, timeout_s=0.003, **ONCE)
        self.assertEqual(
            (Code.TARGET_UNREACHABLE, [0]), (ended.code, rig.count_visits())
        )
        self.assertIn("s left", ended.reason)

    def test_nobody_there(self):
        """Without a server it is refused at once, as not run."""
        ended = drive(Rig(), **ONCE)
        self.assertEqual(Code.NO_BACKEND_SERVER, ended.code)


class RepeatableTest(TestCase):
    """A request that may be repeated is sent once more after any failure."""

    def test_second_server(self):
        """The second server's answer is the caller's."""
        cases = {**SPOILT, "failed": answer(500), "silent": hang, "refused": refuse()}
        del cases["no head"]
        for name, behave in cases.items():
            rig = Rig([behave], [answer()])
            ended = drive(rig, max_attempts=2, **SAFE)
            self.assertEqual((Code.DONE, 200), (ended.code, rig.caller.status), name)
            self.assertEqual([1, 1], rig.count_visits(), name)

    def test_most_sends(self):
        """No more servers get it than the route allows."""
        rig = Rig([answer(500, b"a")], [answer(500, b"b")], [answer()])
        drive(rig, max_attempts=2, **SAFE)
        self.assertEqual([1, 1, 0], rig.count_visits())
        self.assertEqual((500, b"b"), (rig.caller.status, rig.caller.data))

    def test_budget(self):
        """Without a retry budget the first failure is the answer."""
        rig = Rig([answer(500, b"a")], [answer()], slack=0.0)
        drive(rig, max_attempts=2, **SAFE)
        self.assertEqual([1, 0], rig.count_visits())
        self.assertEqual(500, rig.caller.status)


class StreamTest(TestCase):
    """A stream is whole and in order, or does not look whole."""

    def test_goes_on_elsewhere(self):
        """A cut stream goes on after the last whole event."""
        cuts = {
            "between events": cut_stream(3),
            "in an event": cut_stream(3, b"id: 4\nda"),
            "before any": cut_stream(0),
            "then silent": cut_stream(3, then=hang),
        }
        for name, behave in cuts.items():
            rig = Rig([behave], [stream(6)])
            ended = drive(rig, max_attempts=2, target_s=0.3, gap_target_s=0.1)
            self.assertEqual(Code.DONE, ended.code, name)
            self.assertEqual(format_events(1, 6), rig.caller.data, name)
            self.assertTrue(rig.caller.whole, name)
            self.assertEqual([1, 1], rig.count_visits(), name)

    def test_cut_for_good(self):
        """A stream that can't go on is broken off, not ended."""
        for changes in ({"resumable": False, "max_attempts": 2}, {"max_attempts": 1}):
            rig = Rig([cut_stream(3)], [stream(6)])
            ended = drive(rig, **changes)
            self.assertEqual(Code.STREAM_CUT, ended.code)
            self.assertEqual((True, False), (rig.caller.aborted, rig.caller.whole))
            self.assertEqual([1, 0], rig.count_visits())

    def test_second_server_answers_otherwise(self):
        """A begun stream does not end as whole with an answer that is none."""
        rig = Rig([cut_stream(3)], [answer(404, b"none")])
        ended = drive(rig, max_attempts=2)
        self.assertEqual(Code.STREAM_CUT, ended.code)
        self.assertEqual((True, False), (rig.caller.aborted, rig.caller.whole))

    def test_one_after_the_other(self):
        """The first server's connection is closed before the next is asked."""
        rig = Rig([cut_stream(2, then=hang)], [stream(4)])
        drive(rig, max_attempts=2, target_s=0.3, gap_target_s=0.1)
        self.assertTrue(rig.servers[0].visits[0].closed.is_set())

    def test_slow_stream_is_left_alone(self):
        """A server that is heard now and then is not taken for silent."""
        rig = Rig([stream(4, pause_s=0.3)], [stream(4)])
        drive(rig, max_attempts=2, target_s=0.3, gap_target_s=0.1)
        self.assertEqual([1, 0], rig.count_visits())

    def test_time_is_over(self):
        """A stream that lasts too long is broken off at its time."""
        rig = Rig([stream(50, pause_s=0.1)])
        ended = drive(rig, timeout_s=0.5)
        self.assertEqual((Code.STREAM_CUT, True), (ended.code, rig.caller.aborted))


class CallerLeavesTest(TestCase):
    """When the caller leaves, the work at the server ends."""

    def test_connection_is_closed(self):
        """The server's connection is closed well within half a second."""
        rig = Rig([hang])

        async def leave() -> bool:
            task = asyncio.create_task(rig.forward(make_route(sticky=False), 5.0))
            while not rig.servers[0].visits:
                await asyncio.sleep(0.01)
            task.cancel()
            visit = rig.servers[0].visits[0]
            async with asyncio.timeout(0.4):
                await visit.closed.wait()
            await asyncio.gather(task, return_exceptions=True)
            return not rig.in_flight

        self.assertTrue(run_coroutine(leave()))
