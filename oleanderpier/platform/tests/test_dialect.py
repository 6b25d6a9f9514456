"""Tests of the headers of requests and answers."""

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import make_call
from oleanderpier.platform.dialect import (
    OWN_HEADERS,
    ServerDialect,
    keep_headers,
    read_prompt,
)
from oleanderpier.routing import RequestKind, WorkspaceEntry
from oleanderpier.routing.tests.fakes import make_route, make_server

# Headers that a caller may send and a server must not get from it.
FORGED = (
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
    """What a server gets."""

    def format(self, **changes):
        """Return the headers of a request."""
        call = make_call(make_route(priority=2), 0.0)._replace(**changes)
        options = {"last_event_id": None, "copy_source": None}
        return ServerDialect().format_request(
            call, make_server("i-1"), 1.2345, **options
        )

    def test_forged_headers(self):
        """Headers that only this system may set do not go on."""
        sent = [(name, "forged") for name in FORGED] + [("Model-Name", "m")]
        kept = keep_headers(sent, OWN_HEADERS)
        self.assertEqual([("Model-Name", "m")], kept)

    def test_headers_of_the_connection(self):
        """What concerns one connection stays there, also what it names."""
        sent = [
            ("Host", "a.example"),
            ("Connection", "close, X-Own"),
            ("X-Own", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Request-Id", "r"),
        ]
        kept = keep_headers(sent, OWN_HEADERS)
        self.assertEqual([("Host", "a.example"), ("Request-Id", "r")], kept)

    def test_set_headers(self):
        """The one server, the time left, the workspace and the urgency are set."""
        headers = self.format(workspace=WorkspaceEntry("w", 7))
        self.assertEqual("i-1", headers["Expect-Instance"])
        self.assertEqual("1234", headers["Request-Deadline-Ms"])
        self.assertEqual("w", headers["Tenant-Name"])
        self.assertEqual("7", headers["Request-Urgency"])

    def test_without_workspace(self):
        """Without a workspace none is named, and the route's priority counts."""
        headers = self.format()
        self.assertNotIn("Tenant-Name", headers)
        self.assertEqual("2", headers["Request-Urgency"])

    def test_no_urgency_for_plain_services(self):
        """A request without a prompt carries no urgency."""
        route = make_route(sticky=False, kind=RequestKind.ONCE)
        self.assertNotIn("Request-Urgency", self.format(route=route))

    def test_prompt(self):
        """A prompt that can't be read has no parts."""
        self.assertEqual(2, len(read_prompt("5c1e:800, 91bd:410")))
        for text in (None, "", "5c1e", "5c1e:x", ":4", "a:1,,b:2"):
            self.assertEqual((), read_prompt(text), text)


class AnswerTest(TestCase):
    """What the head of an answer says."""

    def read(self, status: int, **headers: str):
        """Return the head of an answer."""
        pairs = {"Request-Id": "r-1", "Response-Signature": "s", **headers}
        raw = tuple(
            (name.replace("_", "-").encode(), value.encode())
            for name, value in pairs.items()
        )
        return ServerDialect().read_response_head(
            make_call(make_route(), 0.0), status, raw
        )

    def test_whole(self):
        """The signature goes on; the framing is this host's own."""
        head = self.read(200, Content_Length="4", Connection="close")
        self.assertTrue(head.valid and head.signed and not head.not_run)
        names = {name for name, _ in head.headers}
        self.assertEqual({"Request-Id", "Response-Signature"}, names)

    def test_not_run(self):
        """Only the server's own word, or another server's, says "not run"."""
        self.assertTrue(self.read(503, Not_Executed="1").not_run)
        self.assertTrue(self.read(421).not_run)
        for status in (408, 429, 503):
            head = self.read(status)
            self.assertEqual((False, False), (head.not_run, head.valid), status)

    def test_not_this_answer(self):
        """Another request's answer, and an encoded one, are not this answer."""
        self.assertFalse(self.read(200, Request_Id="r-2").valid)
        self.assertFalse(self.read(200, Content_Encoding="gzip").valid)
