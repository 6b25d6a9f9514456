"""Tests of the wire format of requests and responses."""

import math

from eliot import add_destinations, remove_destination
from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import make_call
from oleanderpier.platform.dialect import (
    RESERVED_HEADERS,
    ServerDialect,
    filter_headers,
    read_prompt,
)
from oleanderpier.routing import (
    LoadStatement,
    Refusal,
    RequestKind,
    WorkspaceEntry,
)
from oleanderpier.routing.tests.fakes import make_route, make_server

# Headers that a caller may send but that must not be forwarded to a server.
FORGED_HEADERS = (
    "Kv-Hold",
    "Pin-Ms",
    "Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Request-Urgency",
    "Expect-Version",
    "Expect-Instance",
    "Tenant-Name",
    "Credential",
)


class RequestTest(TestCase):
    """The headers that a server gets."""

    def format(self, **changes):
        """Return the headers of a request with some fields changed."""
        call = make_call(make_route(priority=2), 0.0)._replace(**changes)
        options = {"last_event_id": None, "copy_source": None}
        return ServerDialect().format_request(
            call, make_server("i-1"), 1.2345, **options
        )

    def test_forged_headers_are_dropped(self):
        """Headers that only the router may set are not forwarded."""
        sent = [(name, "forged") for name in FORGED_HEADERS] + [("Model-Name", "m")]
        kept = filter_headers(sent, RESERVED_HEADERS)
        self.assertEqual([("Model-Name", "m")], kept)

    def test_hop_by_hop_headers_are_dropped(self):
        """Hop-by-hop headers and those that ``Connection`` names are not forwarded."""
        sent = [
            ("Host", "a.example"),
            ("Connection", "close, X-Own"),
            ("X-Own", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Request-Id", "r"),
        ]
        kept = filter_headers(sent, RESERVED_HEADERS)
        self.assertEqual([("Host", "a.example"), ("Request-Id", "r")], kept)

    def test_router_headers_are_set(self):
        """The server's id, the time left, the workspace and the urgency are set."""
        headers = self.format(workspace=WorkspaceEntry("w", 7))
        self.assertEqual("i-1", headers["Expect-Instance"])
        self.assertEqual("1234", headers["Request-Deadline-Ms"])
        self.assertEqual("w", headers["Tenant-Name"])
        self.assertEqual("7", headers["Request-Urgency"])

    def test_route_priority_applies_without_workspace(self):
        """Without a workspace none is named and the route's priority applies."""
        headers = self.format()
        self.assertNotIn("Tenant-Name", headers)
        self.assertEqual("2", headers["Request-Urgency"])

    def test_no_urgency_for_route_without_prompts(self):
        """A request of a route that is not sticky has no urgency."""
        route = make_route(sticky=False, kind=RequestKind.ONCE)
        self.assertNotIn("Request-Urgency", self.format(route=route))

    def test_malformed_prompt_has_no_parts(self):
        """A prompt header is parsed as a whole or not at all."""
        self.assertEqual(2, len(read_prompt("5c1e:800, 91bd:410")))
        for text in (
            None,
            "",
            "5c1e",
            "5c1e:x",
            ":4",
            "a:1,,b:2",
            "a:\u00b2",
            "a:" + "9" * 5000,
            "caf\udce9:4,b:1",
        ):
            self.assertEqual((), read_prompt(text), text)


class ResponseTest(TestCase):
    """Parsing the heads of servers' responses."""

    def read(self, status: int, **headers: str):
        """Return the parsed head of a response."""
        pairs = {"Request-Id": "r-1", "Response-Signature": "s", **headers}
        raw = tuple(
            (name.replace("_", "-").encode(), value.encode())
            for name, value in pairs.items()
        )
        return ServerDialect().read_response_head(
            make_call(make_route(), 0.0), status, raw
        )

    def test_signature_is_forwarded_without_framing(self):
        """The signature is forwarded; framing headers are not."""
        head = self.read(200, Content_Length="4", Connection="close")
        self.assertTrue(head.valid and head.signed and not head.not_run)
        names = {name for name, _ in head.headers}
        self.assertEqual({"Request-Id", "Response-Signature"}, names)

    def test_only_header_or_misdirection_proves_not_run(self):
        """Other statuses such as 503 prove neither a result nor that none exists."""
        self.assertTrue(self.read(503, Not_Executed="1").not_run)
        self.assertTrue(self.read(421).not_run)
        for status in (408, 429, 503):
            head = self.read(status)
            self.assertEqual((False, False), (head.not_run, head.valid), status)

    def test_refusal_of_another_request_proves_nothing(self):
        """It names an earlier request, or none."""
        for identity in ("r-0", ""):
            for status in (421, 429, 503):
                head = self.read(status, Request_Id=identity, Not_Executed="1")
                found = (head.not_run, head.valid, head.refusal)
                self.assertEqual((False, False, None), found, (identity, status))

    def test_server_that_leaves(self):
        """Only the known value counts, and only in a response to the request."""
        self.assertTrue(self.read(200, Server_Leaving="1").says_leaving)
        self.assertTrue(self.read(503, Server_Leaving=" 1").says_leaving)
        for value in ("0", "", "yes"):
            self.assertFalse(self.read(200, Server_Leaving=value).says_leaving, value)
        other = self.read(200, Server_Leaving="1", Request_Id="r-2")
        self.assertFalse(other.says_leaving)

    def test_server_that_asks_for_time(self):
        """A wait counts with the statuses that turn a request away."""
        for status in (429, 503):
            self.assertEqual(1.5, self.read(status, Retry_After="1.5").wait_s)
        self.assertIsNone(self.read(200, Retry_After="1.5").wait_s)
        self.assertIsNone(self.read(503).wait_s)
        self.assertIsNone(self.read(503, Retry_After="2", Request_Id="r-2").wait_s)
        dates = {
            "Retry_After": "Sun, 06 Nov 1994 08:49:37 GMT",
            "Date": "Sun, 06 Nov 1994 08:49:34 GMT",
        }
        self.assertEqual(3.0, self.read(503, **dates).wait_s)

    def test_server_that_names_a_limit(self):
        """A response of the server tells whether there is a limit, of any status."""
        for status in (200, 500, 503):
            self.assertEqual(2.5, self.read(status, Server_Limit="2.5").limit_per_s)
        self.assertEqual(0.0, self.read(200, Server_Limit="0").limit_per_s)
        self.assertEqual(math.inf, self.read(200).limit_per_s)

    def test_response_that_does_not_tell_of_a_limit(self):
        """A value that can't be read, another request's id or another server."""
        for value in ("few", "-1", "nan", ""):
            self.assertIsNone(self.read(200, Server_Limit=value).limit_per_s, value)
        for limit in ({}, {"Server_Limit": "2.5"}):
            self.assertIsNone(self.read(200, Request_Id="r-2", **limit).limit_per_s)
            self.assertIsNone(self.read(421, **limit).limit_per_s)

    def test_server_that_tells_its_slots(self):
        """A value that can't be read tells nothing."""
        self.assertEqual(64, self.read(200, Server_Load="3,0,64").slots)
        self.assertEqual(64, self.read(503, Server_Load=" 3, 0, 64 ").slots)
        for value in (
            "",
            "3,0",
            "3,0,x",
            "3,0,-1",
            "3,0,0",
            "3,0,64,x",
            "3,0,64,-1",
            "3,0,64,100,1",
            "3,0," + "9" * 5000,
        ):
            self.assertIsNone(self.read(200, Server_Load=value).slots, value)
        self.assertIsNone(self.read(421, Server_Load="3,0,64").slots)

    def test_server_that_states_its_speed(self):
        """The fourth figure is accepted, and nothing is logged of it.

        It was taken for a malformed header, and a line was logged of each response.
        """
        lines = []
        add_destinations(lines.append)
        self.addCleanup(remove_destination, lines.append)
        load = self.read(200, Server_Load="3,1,64,250").load
        self.assertEqual(LoadStatement(3, 1, 64, 2.5), load)
        self.assertNotIn(
            "server:load_unusual", [line["message_type"] for line in lines]
        )
        self.assertEqual(64, self.read(200, Server_Load="3,0,64,100").slots)
        without_speed = self.read(200, Server_Load="3,0,64").load
        self.assertEqual(LoadStatement(3, 0, 64, None), without_speed)
        unusable = self.read(200, Server_Load="3,0,64,0").load
        self.assertIsNone(unusable.slow_factor)

    def test_reason_of_a_refusal(self):
        """A response that may have run the request has none."""
        cases = {
            421: Refusal.MISDIRECTED,
            429: Refusal.RATE_LIMITED,
            503: Refusal.BUSY,
            400: Refusal.OTHER,
        }
        for status, refusal in cases.items():
            self.assertEqual(refusal, self.read(status, Not_Executed="1").refusal)
        self.assertIsNone(self.read(503).refusal)

    def test_foreign_or_encoded_response_is_rejected(self):
        """A response with another request's id or an encoding is not accepted."""
        self.assertFalse(self.read(200, Request_Id="r-2").valid)
        self.assertFalse(self.read(200, Content_Encoding="gzip").valid)

    def test_status_that_http_does_not_have(self):
        """The response is no result, and proves nothing either."""
        for status in (0, 99, 101, 199, 600, 999):
            head = self.read(status, Not_Executed="1")
            found = (head.valid, head.not_run, head.refusal)
            self.assertEqual((False, False, None), found, status)
        for status in (200, 404, 599):
            self.assertTrue(self.read(status).valid, status)
