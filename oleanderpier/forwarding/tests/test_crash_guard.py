"""Tests of requests that crash servers, with servers on loopback."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.connections import refuses_connections
from oleanderpier.forwarding import CrashGuard, RequestKeys
from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    ReceivedRequest,
    RecordingCaller,
    cut_stream,
    make_call,
    reset_connection,
    respond,
    stream_events,
)
from oleanderpier.results import Code
from oleanderpier.routing import AttemptOutcome, CrashCauses, ServerHealth
from oleanderpier.routing.crashes import SIMULTANEOUS_S
from oleanderpier.routing.poison import QUARANTINE_CRASHES
from oleanderpier.routing.tests.fakes import make_route, make_server
from oleanderpier.utils import LoopTimers, Timers, run_coroutine


class CrashGuardTest(TestCase):
    """A request that has crashed servers, or whose prompt has, is refused at once."""

    def forward(self, fixture: ForwarderFixture, count: int, **changes) -> list:
        """Return the outcomes of requests with one prompt, sent in turn."""
        route = make_route(sticky=False, **changes)
        callers = [RecordingCaller() for _ in range(count)]
        return run_coroutine(fixture.forward_all(route, 5.0, callers))

    def make_crashing(self, *behaviours) -> ForwarderFixture:
        """Return servers that stop listening, then behave in a way, in turn."""
        fixture = ForwarderFixture(*([] for _ in behaviours))
        for server, behave in zip(fixture.servers, behaviours, strict=True):
            server._script.append(self._make_crash(server, behave))
        return fixture

    def _make_crash(self, server, behave):
        async def crash(request: ReceivedRequest) -> None:
            await asyncio.sleep(2 * SIMULTANEOUS_S)
            server._listener.close()
            await behave(request)

        return crash

    def test_request_that_crashed_servers_is_refused(self):
        """After three servers the fourth one gets no request."""
        fixture = self.make_crashing(*[reset_connection] * 4)
        outcomes = self.forward(fixture, 4, max_attempts=1)
        self.assertEqual([1, 1, 1, 0], fixture.count_requests())
        self.assertEqual(Code.REQUEST_QUARANTINED, outcomes[-1].code)
        self.assertEqual((503, 0), (outcomes[-1].status, outcomes[-1].attempts))

    def test_prompt_part_that_crashed_servers_is_refused(self):
        """The requests share nothing but it."""
        fixture = self.make_crashing(*[reset_connection] * 4)
        fixture.differ_in_path = True
        outcomes = self.forward(fixture, 4, max_attempts=1)
        self.assertEqual([1, 1, 1, 0], fixture.count_requests())
        self.assertEqual(Code.PROMPT_QUARANTINED, outcomes[-1].code)

    def test_other_requests_are_sent_after_the_crashes(self):
        """They share neither prompt parts nor path with those that crashed servers."""
        fixture = self.make_crashing(*[reset_connection] * 3)
        fixture.servers += ForwarderFixture([stream_events(3)]).servers
        fixture.differ_in_path = fixture.differ_in_prompt = True
        outcomes = self.forward(fixture, 6, max_attempts=1)
        self.assertEqual([Code.DONE] * 3, [each.code for each in outcomes[3:]])

    def test_crash_inside_the_first_event_counts(self):
        """So does one after the head."""
        fixture = self.make_crashing(
            cut_stream(0), cut_stream(0, b"id: 1"), *[cut_stream(0)] * 2
        )
        self.forward(fixture, 4, max_attempts=1)
        self.assertEqual([1, 1, 1, 0], fixture.count_requests())

    def test_request_is_not_sent_again_after_two_crashes(self):
        """The first request is, after one."""
        fixture = self.make_crashing(*[reset_connection] * 4)
        self.forward(fixture, 2, max_attempts=4)
        self.assertEqual([1, 1, 1, 0], fixture.count_requests())

    def test_request_that_reached_no_server_is_sent_again_after_two_crashes(self):
        """It may be the cause of neither crash."""
        fixture = self.make_crashing(*[reset_connection] * 2)
        fixture.servers += ForwarderFixture([], [stream_events(3)]).servers
        fixture.unreachable = (2,)
        outcomes = self.forward(fixture, 3, max_attempts=1)
        self.assertEqual([1, 1, 0, 1], fixture.count_requests())
        self.assertEqual(Code.DONE, outcomes[-1].code)

    def test_request_that_is_held_back_meanwhile_is_not_sent_on(self):
        """It has reached no server yet, so that it has not run."""
        fixture = ForwarderFixture([], [stream_events(3)])
        fixture.unreachable = (0,)
        fixture.held_back = True
        (outcome,) = self.forward(fixture, 1)
        self.assertEqual([0, 0], fixture.count_requests())
        self.assertEqual(Code.REQUEST_QUARANTINED, outcome.code)

    def test_error_response_does_not_clear_a_prompt(self):
        """A server may send it without a look at the prompt."""
        fixture = self.make_crashing(*[reset_connection] * 4)
        for server in fixture.servers:
            server._script.insert(0, respond(404, b"none"))
        # Each server answers once, and crashes on its second request.
        self.forward(fixture, 9, max_attempts=1)
        self.assertEqual(3, sum(count == 2 for count in fixture.count_requests()))

    def test_broken_responses_of_servers_that_live_do_not_count(self):
        """They still listen."""
        fixture = ForwarderFixture([reset_connection], slack=1000.0)
        outcomes = self.forward(fixture, 6, max_attempts=1)
        self.assertEqual({Code.ANSWER_LOST}, {each.code for each in outcomes})

    def test_sound_request_is_answered_after_a_crash(self):
        """It was in flight when the server crashed, and is sent to another one."""
        fixture = self.make_crashing(reset_connection)
        fixture.servers += ForwarderFixture([stream_events(3)]).servers
        (outcome,) = self.forward(fixture, 1)
        self.assertEqual(Code.DONE, outcome.code)


class SimultaneousCrashesTest(TestCase):
    """Servers of one failure domain end one after the other within 0.1 s."""

    def crash_servers(self, requests: list[RequestKeys]) -> list[str]:
        """Return what is quarantined after a server ended under each request."""
        causes = CrashCauses()

        async def send_all() -> None:
            timers = LoopTimers()

            async def find_crashed(address: str, timers: Timers) -> bool:
                return True

            guard = CrashGuard(
                causes, ServerHealth(timers), timers, check_server=find_crashed
            )
            attempt = SimpleNamespace(first_event_at_s=None)
            for number, keys in enumerate(requests):
                guard.begin_attempt(keys)
                await asyncio.sleep(SIMULTANEOUS_S / 10)
                server = make_server(f"s{number}")
                await guard.record_attempt(keys, server, attempt, AttemptOutcome.LOST)

        run_coroutine(send_all())
        return [quarantine.key for quarantine in causes.list_quarantines()]

    def test_request_that_many_send_is_not_blamed_for_them(self):
        """Another one of the same path, caller and body was in progress at each."""
        requests = [make_keys() for _ in range(2 * QUARANTINE_CRASHES)]
        self.assertEqual([], self.crash_servers(requests))

    def test_request_that_was_at_each_of_them_is_blamed(self):
        """It was sent again after each crash."""
        keys = make_keys()
        self.assertEqual([keys.whole], self.crash_servers([keys] * QUARANTINE_CRASHES))


def make_keys() -> RequestKeys:
    """Return the keys of a request, the same ones for each."""
    return RequestKeys(make_call(make_route(sticky=False), 0.0))


class ListeningTest(TestCase):
    """Only a refused connection shows that nothing listens."""

    def test_addresses(self):
        """A server that listens, one that has stopped, and an invalid address."""

        async def check() -> list[bool]:
            listener = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
            port = listener.sockets[0].getsockname()[1]
            timers = LoopTimers()
            listening = await refuses_connections(f"127.0.0.1:{port}", timers)
            listener.close()
            await listener.wait_closed()
            return [
                listening,
                await refuses_connections(f"127.0.0.1:{port}", timers),
                await refuses_connections("nowhere", timers),
            ]

        self.assertEqual([False, True, False], run_coroutine(check()))
