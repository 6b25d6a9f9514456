"""Tests of hosts, as processes: after a broken stream a server sends an error."""

import asyncio
import re

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet
from standins.raw_callers import RawCaller, RawRequest
from standins.raw_listeners import serve_raw_connections

IDENTITY = re.compile(rb"\r\nrequest-id: ([^\r]+)", re.IGNORECASE)
RESUMES = b"\r\nlast-event-id: "
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
SIGNED = b"Response-Signature: s\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
ERROR = b"internal error"
# What the next server sends, after its status: headers and body.
ERRORS = {
    "error": (b"500 Error", SIGNED, ERROR),
    "unsigned_error": (b"500 Error", b"", ERROR),
    "error_as_stream": (b"502 Bad", SIGNED + EVENT_STREAM, b"data: " + ERROR + b"\n\n"),
    "refusal": (b"503 Busy", b"Not-Executed: 1\r\n", ERROR),
    "misdirected": (b"421 Other", b"", ERROR),
    "client_error": (b"404 None", SIGNED, ERROR),
    "document": (b"200 OK", SIGNED + b"Content-Type: application/json\r\n", ERROR),
    "unsigned_stream": (b"200 OK", EVENT_STREAM, b"id: 3\ndata: x\n\n"),
    "empty": (b"204 None", SIGNED, b""),
}


class BrokenStreamTest(TestCase):
    """The caller gets the events so far, and the stream does not look complete."""

    def test_error_of_the_next_server_is_not_in_the_stream(self):
        """Neither its body nor its head, whatever its status and type."""
        for name, error in ERRORS.items():
            response, requests = run_coroutine(self._send(error))
            self.assertEqual((200, False), (response.status, response.complete), name)
            self.assertEqual(EVENTS, response.body, name)
            self.assertEqual([False, True], requests[:2], name)

    async def _send(self, error: tuple[bytes, bytes, bytes]):
        """Return what the caller got, and which requests asked for the rest."""
        requests: list[bool] = []

        async def serve(reader, writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            requests.append(RESUMES in head.lower())
            identity = b"Request-Id: " + IDENTITY.search(head)[1] + b"\r\n"
            if requests[-1]:
                status, headers, body = error
                writer.write(
                    b"HTTP/1.1 " + status + b"\r\n" + identity + headers
                    + b"Content-Length: %d\r\n\r\n" % len(body) + body
                )  # fmt: skip
                await writer.drain()
                await reader.read()
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\n" + identity + SIGNED + EVENT_STREAM
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n"
            )  # fmt: skip
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        async with (
            serve_raw_connections(serve) as first,
            serve_raw_connections(serve) as second,
            PlatformFleet(1) as fleet,
        ):
            for port in (first, second):
                fleet.register_address(f"i-{port}", f"127.0.0.1:{port}")
            await fleet.start_all()
            caller = await RawCaller.connect(fleet.settings[0]["Listen"]["Front"])
            response = await caller.exchange(RawRequest("/chat/x", "r1", b"body"))
            caller.close()
        return response, requests
