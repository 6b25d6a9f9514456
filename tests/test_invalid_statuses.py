"""Tests of hosts, as processes, whose servers send a status that HTTP does not have."""

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet
from standins.raw_callers import RawCaller, RawRequest
from standins.raw_listeners import serve_raw_connections
from tests.test_errors_after_broken_streams import EVENTS, IDENTITY, SIGNED

STATUSES = (b"000", b"099", b"600", b"999")
# What the caller gets, and how often the request is sent.
EXPECTED = {
    "/chat/": (200, EVENTS, 2),
    "/lookup/": (200, EVENTS, 2),
    "/payout/": (502, None, 1),
}


class InvalidStatusTest(TestCase):
    """Guards against such a response that reaches the caller as an answer."""

    def test_response_counts_as_lost(self):
        """It is retried if the request may be repeated, otherwise 502 is returned."""
        run_coroutine(self._check())

    async def _check(self) -> None:
        sent: dict[bytes, int] = {}

        async def serve(reader, writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            identity = IDENTITY.search(head)[1]
            sent[identity] = sent.get(identity, 0) + 1
            status = identity.partition(b"-")[0] if sent[identity] == 1 else b"200"
            writer.write(
                b"HTTP/1.1 " + status + b" X\r\nRequest-Id: " + identity + b"\r\n"
                + SIGNED + b"Content-Type: text/event-stream\r\n"
                + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
            )  # fmt: skip
            await writer.drain()
            await reader.read()

        async with (
            serve_raw_connections(serve) as first,
            serve_raw_connections(serve) as second,
            PlatformFleet(1) as fleet,
        ):
            for port in (first, second):
                fleet.register_address(f"i-{port}", f"127.0.0.1:{port}")
            # Eight retries of one host are within the budget.
            fleet.settings[0]["Bounds"]["RetrySlack"] = 400
            await fleet.start_all()
            address = fleet.settings[0]["Listen"]["Front"]
            found = {}
            for status in STATUSES:
                for path in EXPECTED:
                    identity = f"{status.decode()}-{path[1:4]}"
                    caller = await RawCaller.connect(address)
                    # Another path for each status: one that breaks several responses
                    # would be taken for a request that crashes servers.
                    request = RawRequest(path + status.decode(), identity)
                    response = await caller.exchange(request)
                    caller.close()
                    body = response.body if response.status == 200 else None
                    attempts = sent[identity.encode()]
                    found[status, path] = (response.status, body, attempts)
        expected = {
            (status, path): EXPECTED[path] for status in STATUSES for path in EXPECTED
        }
        self.assertEqual(expected, found)
