"""Tests of requests to servers that leave, ask for time or refuse."""

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    USED_UP_S,
    ForwarderFixture,
    RecordingCaller,
    format_events,
    respond,
    respond_not_run,
    stream_events,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

WAIT_S = 2.0
ASK_FOR_TIME = respond_not_run(f"Wait: {WAIT_S}")


def forward_requests(fixture: ForwarderFixture, count: int, **changes) -> list:
    """Forward several requests in turn; return the callers."""
    callers = [RecordingCaller() for _ in range(count)]
    route = make_route(sticky=False, **changes)
    run_coroutine(fixture.forward_all(route, 5.0, callers))
    return callers


class WaitTest(TestCase):
    """A server that asks for time gets no requests."""

    def test_server_that_asks_for_time_gets_nothing_more(self):
        """Later requests go elsewhere, also those of other routes."""
        fixture = ForwarderFixture([ASK_FOR_TIME], [stream_events(3)])
        callers = forward_requests(fixture, 4, max_attempts=2)
        self.assertEqual([True] * 4, [caller.complete for caller in callers])
        self.assertEqual([1, 4], fixture.count_requests())

    def test_callers_are_refused_at_once_if_all_servers_ask_for_time(self):
        """They get the earliest end as the time to come back, not all the same."""
        fixture = ForwarderFixture([ASK_FOR_TIME], [ASK_FOR_TIME])
        callers = forward_requests(fixture, 5, max_attempts=5)
        self.assertEqual([1, 1], fixture.count_requests())
        returns_s = [caller.failure.retry_after_s for caller in callers]
        self.assertEqual(
            {Code.NO_BACKEND_SERVER}, {caller.failure.code for caller in callers}
        )
        self.assertTrue(min(returns_s) > WAIT_S - 0.5, returns_s)
        self.assertTrue(max(returns_s) <= 1.25 * 1.25 * WAIT_S, returns_s)
        self.assertEqual(5, len(set(returns_s)))

    def test_address_of_another_server_gets_nothing_more(self):
        """It is known that the server that was meant is not there."""
        misdirected = respond(421, b"", headers=["Not-Run: misdirected"])
        fixture = ForwarderFixture([misdirected], [stream_events(3)])
        forward_requests(fixture, 3, max_attempts=2)
        self.assertEqual([1, 3], fixture.count_requests())

    def test_misdirected_request_keeps_its_attempts(self):
        """After a crash, those of routes with one attempt were refused."""
        for kind in (RequestKind.STREAM, RequestKind.ONCE):
            behave = stream_events(3) if kind is RequestKind.STREAM else respond()
            misdirected = respond(421, b"", headers=["Not-Run: misdirected"])
            fixture = ForwarderFixture([misdirected], [behave])
            callers = forward_requests(
                fixture, 3, kind=kind, resumable=False, max_attempts=1
            )
            self.assertEqual([None] * 3, [caller.failure for caller in callers])
            self.assertEqual([1, 3], fixture.count_requests())

    def test_misdirected_request_uses_the_retry_budget(self):
        """It arrives at a second server, whichever service the first one is of."""
        misdirected = respond(421, b"", headers=["Not-Run: misdirected"])
        fixture = ForwarderFixture([misdirected], [stream_events(3)], slack=0.0)
        (caller,) = forward_requests(fixture, 1, max_attempts=1)
        self.assertEqual(Code.NO_BACKEND_SERVER, caller.failure.code)
        self.assertEqual([1, 0], fixture.count_requests())


class RefusalTest(TestCase):
    """A refused request is not sent to the same server again."""

    def test_refused_request_does_not_return_to_the_server(self):
        """Without another server it is refused, though attempts are left."""
        fixture = ForwarderFixture([respond_not_run()])
        (caller,) = forward_requests(
            fixture, 1, kind=RequestKind.ONCE, resumable=False, max_attempts=4
        )
        self.assertEqual(Code.NO_BACKEND_SERVER, caller.failure.code)
        self.assertEqual([1], fixture.count_requests())

    def test_other_requests_still_go_to_a_busy_server(self):
        """A refusal alone says nothing of later requests."""
        fixture = ForwarderFixture([respond_not_run(), stream_events(2)])
        callers = forward_requests(fixture, 2, max_attempts=1)
        self.assertEqual([False, True], [caller.complete for caller in callers])


class UsedUpLimitTest(TestCase):
    """A server whose limit is used up gets no request."""

    def test_other_server_gets_the_request(self):
        """Also one that may not run twice: the first server has not got it."""
        for kind in (RequestKind.STREAM, RequestKind.ONCE):
            behave = stream_events(3) if kind is RequestKind.STREAM else respond()
            fixture = ForwarderFixture([behave], [behave], used_up=("s0",))
            callers = forward_requests(fixture, 3, kind=kind, max_attempts=1)
            self.assertEqual([None] * 3, [caller.failure for caller in callers])
            self.assertEqual([0, 3], fixture.count_requests())

    def test_callers_are_refused_at_once_if_all_limits_are_used_up(self):
        """They get the time until a server takes the next request."""
        fixture = ForwarderFixture(
            [stream_events(3)], [stream_events(3)], used_up=("s0", "s1")
        )
        callers = forward_requests(fixture, 3, max_attempts=2)
        self.assertEqual([0, 0], fixture.count_requests())
        for caller in callers:
            self.assertEqual(Code.NO_BACKEND_SERVER, caller.failure.code)
            returns_s = caller.failure.retry_after_s
            self.assertTrue(USED_UP_S - 0.5 < returns_s <= 1.25 * USED_UP_S, returns_s)


class LeavingTest(TestCase):
    """A server that says that it leaves gets no requests."""

    def test_server_that_leaves_gets_nothing_more(self):
        """It may say so with any response; a stream that runs there is whole."""
        cases = {
            "stream": (stream_events(3, headers=["Leaving: 1"]), True),
            "failure": (respond(500, b"", headers=["Leaving: 1"]), False),
            "refusal": (respond_not_run("Leaving: 1"), False),
        }
        for name, (behave, is_whole) in cases.items():
            fixture = ForwarderFixture([behave], [stream_events(3)])
            callers = forward_requests(fixture, 3, max_attempts=1)
            self.assertEqual([1, 2], fixture.count_requests(), name)
            self.assertEqual(is_whole, callers[0].data == format_events(1, 3), name)

    def test_callers_are_refused_at_once_if_all_servers_leave(self):
        """No server that leaves is chosen as the last resort."""
        fixture = ForwarderFixture([stream_events(3, headers=["Leaving: 1"])])
        callers = forward_requests(fixture, 3, max_attempts=2)
        self.assertEqual([1], fixture.count_requests())
        self.assertEqual(
            [None, Code.NO_BACKEND_SERVER, Code.NO_BACKEND_SERVER],
            [caller.failure and caller.failure.code for caller in callers],
        )
