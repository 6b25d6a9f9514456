"""Contract tests of the operators' interface.

They run against a fake host, or against the daemon at the URL in the environment
variable ``OPERATORS_URL`` if it is set.
"""

import asyncio
import os

import msgspec
from aiohttp import ClientSession
from testtools import TestCase

from oleanderpier.cli.tests.fakes import FakeFleet, FakeHost
from oleanderpier.operators import (
    ConfigurationResponse,
    EventsResponse,
    ExplainResponse,
    StatusResponse,
    TargetsResponse,
)
from oleanderpier.results import RefusalBody

# Path with query string, expected HTTP status, schema of the response.
REQUESTS = [
    ("/v1/status", 200, StatusResponse),
    ("/v1/targets", 200, TargetsResponse),
    ("/v1/configuration", 200, ConfigurationResponse),
    ("/v1/events", 200, EventsResponse),
    ("/v1/events?after=1&limit=0", 200, EventsResponse),
    ("/v1/events?after=-1", 400, RefusalBody),
    ("/v1/events?after=soon", 400, RefusalBody),
    ("/v1/events?limit=1.5", 400, RefusalBody),
    ("/v1/explain", 400, RefusalBody),
    ("/v1/explain?chat=c1", 400, RefusalBody),
    ("/v1/explain?chat=&class=review", 400, RefusalBody),
]
EXPLAIN_PATH = "/v1/explain?chat=c1&class="


class ContractTest(TestCase):
    """Each path has its response, and no method changes anything."""

    def setUp(self):
        """Serve a fake host unless the URL of a daemon is given."""
        super().setUp()
        self.url = os.environ.get("OPERATORS_URL")
        if self.url is None:
            self.host = FakeHost("h1")
            fleet = FakeFleet(self.host)
            fleet.__enter__()
            self.addCleanup(fleet.__exit__)
            self.url = f"http://127.0.0.1:{self.host.port}"

    def request(self, path, method="GET"):
        """Return the status and the body of one HTTP request."""

        async def run():
            async with (
                ClientSession() as session,
                session.request(method, self.url + path) as response,
            ):
                return response.status, await response.read()

        return asyncio.run(run())

    def fetch(self, path, schema):
        """Return the decoded response to a GET request that has to succeed."""
        status, body = self.request(path)
        self.assertEqual(200, status, body)
        return msgspec.json.decode(body, type=schema)

    def test_responses_match_their_schemas(self):
        """Status and schema are as expected, also for malformed query strings."""
        for path, expected, schema in REQUESTS:
            with self.subTest(path=path):
                status, body = self.request(path)
                self.assertEqual(expected, status, body)
                msgspec.json.decode(body, type=schema)

    def test_explain_answers_for_each_class_in_force(self):
        """Each class in force can be explained; an unknown class gives 404."""
        documents = self.fetch("/v1/configuration", ConfigurationResponse)["documents"]
        classes = documents["configuration"]["classes"]
        self.assertNotEqual([], classes)
        for work_class in classes:
            response = self.fetch(EXPLAIN_PATH + work_class["name"], ExplainResponse)
            self.assertEqual("c1", response["chat"])
        status, body = self.request(EXPLAIN_PATH + "no-such-class")
        self.assertEqual(404, status)
        refusal = msgspec.json.decode(body, type=RefusalBody)
        self.assertEqual("CLASS_UNKNOWN", refusal["name"])

    def test_events_after_a_sequence_number(self):
        """Sequence numbers have no gaps, and ``after`` excludes what was read."""
        if "OPERATORS_URL" not in os.environ:
            for number in range(5):
                self.host.ring.record("test:event", str(number))
        all_events = self.fetch("/v1/events", EventsResponse)
        sequences = [row["sequence"] for row in all_events["events"]]
        first = all_events["lost"] + 1
        self.assertEqual(list(range(first, all_events["last"] + 1)), sequences)
        newest = self.fetch("/v1/events?limit=1", EventsResponse)["events"]
        self.assertEqual(1, len(newest))
        self.assertGreaterEqual(newest[0]["sequence"], all_events["last"])
        path = f"/v1/events?after={all_events['last']}"
        later = self.fetch(path, EventsResponse)
        self.assertEqual(0, later["lost"])
        self.assertGreater(later["horizon"], all_events["horizon"])

    def test_metrics_are_served(self):
        """The metrics endpoint responds with status 200."""
        status, _ = self.request("/metrics")
        self.assertEqual(200, status)

    def test_methods_other_than_get_are_refused(self):
        """POST, PUT, DELETE and PATCH give status 405."""
        for path, _, _ in REQUESTS[:4]:
            for method in ("POST", "PUT", "DELETE", "PATCH"):
                self.assertEqual(405, self.request(path, method)[0])
