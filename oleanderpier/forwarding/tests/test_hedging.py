"""Tests of requests whose server is silent while others refuse, fail or are slow."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.forwarding.records import RequestOutcome
from oleanderpier.forwarding.tests.fakes import (
    Behaviour,
    ForwarderFixture,
    ReceivedRequest,
    cut_stream,
    format_events,
    forward_request,
    never_respond,
    reset_connection,
    respond,
    respond_not_run,
    stream_events,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

LAST = 6
# Longer than a server may be silent before another one is tried.
PAUSE_S = 1.6
TIMEOUT_S = 6.0
TARGETS = {"target_s": 0.3, "gap_target_s": 0.1}
IDEMPOTENT = {"kind": RequestKind.IDEMPOTENT, "resumable": False, "target_s": 0.1}
RANDOM_CASES = 40
MAX_RANDOM_PAUSE_S = 1.2


def stream_with_pauses(pauses: dict[int, float], end: str = "end") -> Behaviour:
    """Return a behaviour that streams events, with pauses before some of them.

    Args:
        pauses: The pause before each event, in seconds, by its number; before the head
            for event 0.
        end: ``end`` for a whole stream, ``reset`` for one that is cut after event 4.
    """

    async def behave(request: ReceivedRequest) -> None:
        first = int(request.get_header("after") or 0) + 1
        await asyncio.sleep(pauses.get(0, 0.0))
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, LAST + 1):
            await asyncio.sleep(pauses.get(number, 0.0))
            event = format_events(number, number)
            await request.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            if end == "reset" and number == 4:
                request.reset()
                return
        await request.send(b"0\r\n\r\n")

    return behave


async def respond_with_pause(request: ReceivedRequest) -> None:
    """Send the head and a part of the body, and the rest after a pause."""
    head = f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
    await request.send(head.encode() + b"Content-Length: 4\r\n\r\nda")
    await asyncio.sleep(PAUSE_S)
    await request.send(b"ta")


# Servers that do not take a request over.
OTHER_SERVERS = {
    "full": respond_not_run(),
    "reset": reset_connection,
    "never responds": never_respond,
    "head only": stream_with_pauses({1: 60.0}),
    "cut before an event": cut_stream(0),
    "failure": respond(500, b"oops"),
}


def forward_at_once(
    fixtures: dict[str, ForwarderFixture], **changes
) -> dict[str, RequestOutcome]:
    """Forward a request of each fixture, and return the outcomes by its name."""

    async def run() -> list[RequestOutcome]:
        route = make_route(sticky=False, **changes)
        return await asyncio.gather(
            *(fixture.forward(route, TIMEOUT_S) for fixture in fixtures.values())
        )

    return dict(zip(fixtures, run_coroutine(run()), strict=True))


class SilentServerTest(TestCase):
    """A silent server's response is given up only for one that makes progress."""

    def check_stream(self, fixture: ForwarderFixture, name: str, **changes) -> None:
        """Check that the caller receives all events once."""
        outcome = forward_request(fixture, **TARGETS, **changes)
        self.check_events(fixture, outcome, name)

    def check_events(self, fixture: ForwarderFixture, outcome, name: str) -> None:
        """Check that the caller has received all events once."""
        self.assertEqual(Code.DONE, outcome.code, name)
        self.assertEqual(format_events(1, LAST), fixture.caller.data, name)
        self.assertTrue(fixture.caller.complete, name)

    def test_stream_is_not_given_up_for_a_server_that_fails(self):
        """Whether it is silent before its head, its first or a later event."""
        fixtures = {
            f"{name}, {before}": ForwarderFixture(
                [stream_with_pauses({before: PAUSE_S})], [behave]
            )
            for name, behave in OTHER_SERVERS.items()
            for before in (0, 1, 4)
        }
        outcomes = forward_at_once(fixtures, max_attempts=2, **TARGETS)
        for name, fixture in fixtures.items():
            self.check_events(fixture, outcomes[name], name)
            self.assertEqual([1, 1], fixture.count_requests(), name)

    def test_stream_is_not_given_up_for_a_server_out_of_reach(self):
        """Its address refuses connections."""
        fixture = ForwarderFixture([stream_with_pauses({4: PAUSE_S})], [respond()])
        fixture.unreachable = (1,)
        self.check_stream(fixture, "out of reach", max_attempts=2)

    def test_response_is_not_given_up_for_a_server_that_fails(self):
        """An idempotent request, also if its body has begun."""
        silent_servers = {
            "head": respond(delay_s=PAUSE_S, body=b"data"),
            "body": respond_with_pause,
        }
        fixtures = {
            f"{name}, {part}": ForwarderFixture([silent], [OTHER_SERVERS[name]])
            for name in ("full", "reset", "never responds", "failure")
            for part, silent in silent_servers.items()
        }
        outcomes = forward_at_once(fixtures, max_attempts=2, **IDEMPOTENT)
        for name, fixture in fixtures.items():
            self.assertEqual(Code.DONE, outcomes[name].code, name)
            received = (fixture.caller.status, fixture.caller.data)
            self.assertEqual((200, b"data"), received, name)
            self.assertEqual([1, 1], fixture.count_requests(), name)

    def test_failure_is_delivered_if_the_silent_server_never_responds(self):
        """The response that another server has sent is not replaced by a refusal."""
        fixture = ForwarderFixture([never_respond], [respond(500, b"oops")])
        forward_request(fixture, timeout_s=1.0, max_attempts=2, **IDEMPOTENT)
        self.assertEqual((500, b"oops"), (fixture.caller.status, fixture.caller.data))

    def test_stalled_stream_is_not_given_up_for_a_full_server(self):
        """It sends comments for a while, then events again."""

        async def stall(request: ReceivedRequest) -> None:
            await request.send(
                f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\n"
                "Signed: yes\r\nConnection: close\r\n\r\n".encode()
                + format_events(1, 3)
            )
            for _ in range(20):
                await asyncio.sleep(0.1)
                await request.send(b":\n\n")
            await request.send(format_events(4, LAST))
            request.writer.close()

        fixture = ForwarderFixture([stall], [respond_not_run()])
        outcome = forward_request(fixture, max_attempts=2, **TARGETS)
        self.assertEqual((Code.DONE, [1, 1]), (outcome.code, fixture.count_requests()))
        events = fixture.caller.data.replace(b":\n\n", b"")
        self.assertEqual(format_events(1, LAST), events)

    def test_third_server_is_tried_while_two_are_silent(self):
        """The attempts that the route allows are used."""
        fixture = ForwarderFixture(
            [cut_stream(3, then=never_respond)], [never_respond], [stream_events(LAST)]
        )
        self.check_stream(fixture, "third", max_attempts=3)
        self.assertEqual([1, 1, 1], fixture.count_requests())

    def test_request_that_runs_once_stays_at_its_server(self):
        """It is sent to no other one."""
        silent = respond(delay_s=PAUSE_S)
        fixture = ForwarderFixture([silent], [respond()])
        once = {**IDEMPOTENT, "kind": RequestKind.ONCE}
        outcome = forward_request(fixture, max_attempts=2, **once)
        self.assertEqual((Code.DONE, [1, 0]), (outcome.code, fixture.count_requests()))


class ProgressTest(TestCase):
    """The first attempt with progress remains, and the others end at once."""

    def test_silent_server_that_goes_on_is_not_replaced(self):
        """The other one has the request, but no event yet."""
        slow = stream_with_pauses({4: 3.0})
        fixture = ForwarderFixture([stream_with_pauses({4: 1.2})], [slow])
        outcome = forward_request(fixture, max_attempts=2, **TARGETS)
        self.assertEqual((Code.DONE, "s0"), (outcome.code, outcome.server))
        self.assertEqual(format_events(1, LAST), fixture.caller.data)
        self.assertEqual([1, 1], fixture.count_requests())
        self.assertTrue(fixture.servers[1].requests[0].closed.is_set())

    def test_comments_of_the_server_that_takes_over_arrive_in_front(self):
        """Nothing of the body is lost while the other server may still go on."""
        comment = b": hello\n\n"

        async def begin_slowly(request: ReceivedRequest) -> None:
            await request.send(
                f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\n"
                "Signed: yes\r\nConnection: close\r\n\r\n".encode()
                + comment
            )
            await asyncio.sleep(0.3)
            await request.send(format_events(1, LAST))
            request.writer.close()

        fixture = ForwarderFixture([never_respond], [begin_slowly])
        forward_request(fixture, max_attempts=2, **TARGETS)
        self.assertEqual(comment + format_events(1, LAST), fixture.caller.data)

    def test_random_pauses_lose_and_repeat_no_event(self):
        """Each server may pause anywhere, or be cut."""
        rng = random.Random(48)

        def make_server() -> Behaviour:
            pauses = {
                rng.randrange(LAST + 1): rng.uniform(0.0, MAX_RANDOM_PAUSE_S)
                for _ in range(3)
            }
            return stream_with_pauses(pauses, rng.choice(("end", "reset")))

        fixtures = {
            str(case): ForwarderFixture(*([make_server()] for _ in range(4)))
            for case in range(RANDOM_CASES)
        }
        forward_at_once(fixtures, max_attempts=4, **TARGETS)
        for case, fixture in fixtures.items():
            data = fixture.caller.data
            self.assertTrue(format_events(1, LAST).startswith(data), case)
            if fixture.caller.complete:
                self.assertEqual(format_events(1, LAST), data, case)
