"""Tests of streams that send bytes but no events."""

import asyncio
import itertools

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    Behaviour,
    ForwarderFixture,
    ReceivedRequest,
    format_events,
    forward_request,
    stream_events,
)
from oleanderpier.results import Code

TRICKLE_INTERVAL_S = 0.1
# The limits for this target are those of the longest targets that are shorter.
GAP_TARGET_S = 0.1


def trickle(last: int, data: bytes) -> Behaviour:
    """Return a behaviour that streams some events, then one byte now and then.

    Args:
        last: The id of the last event.
        data: The bytes, which are repeated without end.
    """

    async def behave(request: ReceivedRequest) -> None:
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Connection: close\r\n\r\n".encode()
            + format_events(1, last)
        )
        for byte in itertools.cycle(data):
            await request.send(bytes([byte]))
            await asyncio.sleep(TRICKLE_INTERVAL_S)

    return behave


class StalledStreamTest(TestCase):
    """Only events show that a stream goes on."""

    def test_stream_that_sends_bytes_but_no_event_resumes_elsewhere(self):
        """Neither comments nor an event without end hold it back."""
        for data in (b":", b":\n\n", b"event: x"):
            for last in (0, 3):
                fixture = ForwarderFixture([trickle(last, data)], [stream_events(6)])
                outcome = forward_request(
                    fixture, target_s=0.3, gap_target_s=GAP_TARGET_S
                )
                self.assertEqual(Code.DONE, outcome.code, (data, last))
                received = fixture.caller.data
                events = b"".join(
                    event + b"\n\n"
                    for event in received.split(b"\n\n")
                    if event and event != b":"
                )
                self.assertEqual(format_events(1, 6), events, (data, last))

    def test_slow_event_is_awaited(self):
        """A sound stream whose event takes a second in pieces is not cut."""

        async def send_slowly(request: ReceivedRequest) -> None:
            event = format_events(1, 1)
            await request.send(
                f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
                f"Content-Length: {2 * len(event)}\r\n\r\n".encode()
            )
            for byte in 2 * event:
                await request.send(bytes([byte]))
                await asyncio.sleep(1.0 / len(event))

        fixture = ForwarderFixture([send_slowly], [stream_events(6)])
        outcome = forward_request(fixture, target_s=0.3, gap_target_s=GAP_TARGET_S)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual([1, 0], fixture.count_requests())
        self.assertEqual(2 * format_events(1, 1), fixture.caller.data)
