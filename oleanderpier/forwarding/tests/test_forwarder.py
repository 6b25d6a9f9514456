"""Tests of forwarding to servers that fail in different ways."""

import asyncio
from unittest import mock

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    cut_stream,
    format_events,
    forward_request,
    never_respond,
    reset_connection,
    respond,
    respond_not_run,
    stream_events,
)
from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

ONCE = {"kind": RequestKind.ONCE, "resumable": False, "target_s": 0.2}
IDEMPOTENT = {"kind": RequestKind.IDEMPOTENT, "resumable": False, "target_s": 0.2}

# No other server is tried before the response.
PATIENT = {**IDEMPOTENT, "target_s": 2.0}

SLOW_RESPONSE_S = 1.0
# Responses that are lost or invalid before the caller has received any of them.
INVALID_RESPONSES = {
    "reset": reset_connection,
    "no head": respond(size=10),
    "another request's": respond(identity="r-0"),
    "unsigned": respond(signed=False),
    "encoded": respond(headers=["Content-Encoding: gzip"]),
    "short": respond(body=b"part", size=10),
    **{f"status {status}": respond(status) for status in ("000", "099", "600", "999")},
}


class OnceTest(TestCase):
    """A request that is not repeatable is retried only if it has not run."""

    def test_invalid_response_is_not_retried(self):
        """After an invalid response it may have run, which the code says."""
        for name, behave in INVALID_RESPONSES.items():
            fixture = ForwarderFixture([behave], [respond()])
            outcome = forward_request(fixture, timeout_s=0.6, max_attempts=2, **ONCE)
            self.assertEqual([1, 0], fixture.count_requests(), name)
            fate = describe_code(outcome.code).fate
            self.assertEqual(Fate.MAY_HAVE_RUN, fate, name)
            self.assertFalse(fixture.caller.complete, name)

    def test_refused_request_is_retried(self):
        """A request that a server has not run is retried if the route allows it."""
        fixture = ForwarderFixture([respond_not_run()], [respond()])
        self.assertEqual(
            Code.DONE, forward_request(fixture, max_attempts=2, **ONCE).code
        )
        fixture = ForwarderFixture([respond_not_run()], [respond()])
        self.assertEqual(
            Code.NO_BACKEND_SERVER,
            forward_request(fixture, max_attempts=1, **ONCE).code,
        )
        self.assertEqual([1, 0], fixture.count_requests())
        self.assertIsNotNone(fixture.caller.failure.retry_after_s)

    def test_failure_response_is_passed_on(self):
        """A server's failure response means a run, and is passed on unchanged."""
        fixture = ForwarderFixture([respond(500, b"oops")], [respond()])
        forward_request(fixture, max_attempts=2, **ONCE)
        self.assertEqual([1, 0], fixture.count_requests())
        self.assertEqual((500, b"oops"), (fixture.caller.status, fixture.caller.data))

    def test_silent_server_is_awaited(self):
        """A silent server is waited for until the deadline."""
        fixture = ForwarderFixture([never_respond], [respond()])
        outcome = forward_request(fixture, timeout_s=0.8, max_attempts=2, **ONCE)
        self.assertEqual(
            (Code.TARGET_MISSED, [1, 0]), (outcome.code, fixture.count_requests())
        )
        self.assertEqual(1, outcome.attempts)

    def test_no_time_left_is_refused(self):
        """A request without time left is refused at once, with the reason."""
        fixture = ForwarderFixture([respond()])
        outcome = forward_request(fixture, timeout_s=0.003, **ONCE)
        self.assertEqual(
            (Code.TARGET_UNREACHABLE, [0]), (outcome.code, fixture.count_requests())
        )
        self.assertIn("s left", outcome.reason)

    def test_no_server_is_refused(self):
        """A request is refused at once as not run if there is no server."""
        outcome = forward_request(ForwarderFixture(), **ONCE)
        self.assertEqual(Code.NO_BACKEND_SERVER, outcome.code)


class RepeatableTest(TestCase):
    """A repeatable request is retried after any failure."""

    def test_slow_server_is_awaited_if_there_is_no_other(self):
        """It is silent for longer than a server may be if there is another one."""
        fixture = ForwarderFixture([respond(delay_s=SLOW_RESPONSE_S)])
        outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual((Code.DONE, [1]), (outcome.code, fixture.count_requests()))

    def test_second_server_responds(self):
        """The caller receives the response of the second server."""
        cases = {
            **INVALID_RESPONSES,
            "failed": respond(500),
            "silent": never_respond,
            "refused": respond_not_run(),
        }
        del cases["no head"]
        for name, behave in cases.items():
            fixture = ForwarderFixture([behave], [respond()])
            outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
            self.assertEqual(
                (Code.DONE, 200), (outcome.code, fixture.caller.status), name
            )
            self.assertEqual([1, 1], fixture.count_requests(), name)

    def test_max_attempts_is_kept(self):
        """A request is sent to no more servers than the route allows."""
        fixture = ForwarderFixture(
            [respond(500, b"a")], [respond(500, b"b")], [respond()]
        )
        forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual([1, 1, 0], fixture.count_requests())
        self.assertEqual((500, b"b"), (fixture.caller.status, fixture.caller.data))

    def test_exhausted_retry_budget(self):
        """Without a retry budget the caller receives the first failure."""
        fixture = ForwarderFixture([respond(500, b"a")], [respond()], slack=0.0)
        forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual([1, 0], fixture.count_requests())
        self.assertEqual(500, fixture.caller.status)

    def test_response_that_is_ready_is_delivered_with_no_time_left(self):
        """The failure of the first server is not replaced by a refusal."""
        module = "oleanderpier.forwarding.request_forwarding"
        with mock.patch(f"{module}.MIN_TIME_LEFT_S", 1.0):
            fixture = ForwarderFixture([respond(500, b"a", delay_s=0.8)], [respond()])
            forward_request(fixture, timeout_s=1.5, max_attempts=2, **PATIENT)
        self.assertEqual([1, 0], fixture.count_requests())
        self.assertEqual((500, b"a"), (fixture.caller.status, fixture.caller.data))

    def test_silent_server_is_awaited_without_a_retry_budget(self):
        """It goes on later than another server would be tried."""
        fixture = ForwarderFixture(
            [respond(delay_s=SLOW_RESPONSE_S)], [respond()], slack=0.0
        )
        outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual((Code.DONE, [1, 0]), (outcome.code, fixture.count_requests()))


class StreamTest(TestCase):
    """A stream is complete and in order, or does not look complete."""

    def test_cut_stream_resumes_at_another_server(self):
        """A cut stream is resumed after its last complete event."""
        cuts = {
            "between events": cut_stream(3),
            "in an event": cut_stream(3, b"id: 4\nda"),
            "before any": cut_stream(0),
            "then silent": cut_stream(3, then=never_respond),
        }
        for name, behave in cuts.items():
            fixture = ForwarderFixture([behave], [stream_events(6)])
            outcome = forward_request(
                fixture, max_attempts=2, target_s=0.3, gap_target_s=0.1
            )
            self.assertEqual(Code.DONE, outcome.code, name)
            self.assertEqual(format_events(1, 6), fixture.caller.data, name)
            self.assertTrue(fixture.caller.complete, name)
            self.assertEqual([1, 1], fixture.count_requests(), name)

    def test_cut_stream_is_aborted(self):
        """A stream that can't be resumed is aborted, not ended as complete."""
        for changes in ({"resumable": False, "max_attempts": 2}, {"max_attempts": 1}):
            fixture = ForwarderFixture([cut_stream(3)], [stream_events(6)])
            outcome = forward_request(fixture, **changes)
            self.assertEqual(Code.STREAM_CUT, outcome.code)
            self.assertEqual(
                (True, False), (fixture.caller.aborted, fixture.caller.complete)
            )
            self.assertEqual([1, 0], fixture.count_requests())

    def test_second_response_is_no_stream(self):
        """A stream that has started is aborted if the second response is none."""
        fixture = ForwarderFixture([cut_stream(3)], [respond(404, b"none")])
        outcome = forward_request(fixture, max_attempts=2)
        self.assertEqual(Code.STREAM_CUT, outcome.code)
        self.assertEqual(
            (True, False), (fixture.caller.aborted, fixture.caller.complete)
        )

    def test_first_connection_is_closed(self):
        """The first server's connection is closed when the next one is tried."""
        fixture = ForwarderFixture(
            [cut_stream(2, then=never_respond)], [stream_events(4)]
        )
        forward_request(fixture, max_attempts=2, target_s=0.3, gap_target_s=0.1)
        self.assertTrue(fixture.servers[0].requests[0].closed.is_set())

    def test_slow_stream_is_not_silent(self):
        """A server that sends events slowly does not count as silent."""
        fixture = ForwarderFixture([stream_events(4, pause_s=0.3)], [stream_events(4)])
        forward_request(fixture, max_attempts=2, target_s=0.3, gap_target_s=0.1)
        self.assertEqual([1, 0], fixture.count_requests())

    def test_stream_is_aborted_at_deadline(self):
        """A stream that lasts too long is aborted at its deadline."""
        fixture = ForwarderFixture([stream_events(50, pause_s=0.1)])
        outcome = forward_request(fixture, timeout_s=0.5)
        self.assertEqual(
            (Code.STREAM_CUT, True), (outcome.code, fixture.caller.aborted)
        )


class CallerLeavesTest(TestCase):
    """When the caller disconnects, the work at the server ends."""

    def test_server_connection_is_closed(self):
        """The server's connection is closed within 0.4 s."""
        fixture = ForwarderFixture([never_respond])

        async def leave() -> bool:
            task = asyncio.create_task(fixture.forward(make_route(sticky=False), 5.0))
            while not fixture.servers[0].requests:
                await asyncio.sleep(0.01)
            task.cancel()
            request = fixture.servers[0].requests[0]
            async with asyncio.timeout(0.4):
                await request.closed.wait()
            await asyncio.gather(task, return_exceptions=True)
            return not fixture.in_flight

        self.assertTrue(run_coroutine(leave()))
