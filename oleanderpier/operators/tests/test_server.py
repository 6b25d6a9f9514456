"""Contract tests of the operators' interface.

``OPERATORS_URL`` in the environment lets them run against a daemon instead.
"""

import asyncio
import os

import msgspec
from aiohttp import ClientSession
from testtools import TestCase

from oleanderpier.cli.tests.stubs import StubFleet, StubHost
from oleanderpier.operators import (
    ConfigurationAnswer,
    EventsAnswer,
    ExplainAnswer,
    StatusAnswer,
    TargetsAnswer,
)
from oleanderpier.results import RefusalBody

# Path with query, HTTP status, schema of the answer.
CALLS = [
    ("/v1/status", 200, StatusAnswer),
    ("/v1/targets", 200, TargetsAnswer),
    ("/v1/configuration", 200, ConfigurationAnswer),
    ("/v1/events", 200, EventsAnswer),
    ("/v1/events?after=1&limit=0", 200, EventsAnswer),
    ("/v1/events?after=-1", 400, RefusalBody),
    ("/v1/events?after=soon", 400, RefusalBody),
    ("/v1/events?limit=1.5", 400, RefusalBody),
    ("/v1/explain", 400, RefusalBody),
    ("/v1/explain?chat=c1", 400, RefusalBody),
    ("/v1/explain?chat=&class=review", 400, RefusalBody),
]
CLASS_URL = "/v1/explain?chat=c1&class="


class ContractTest(TestCase):
    """Each call has its answer, and nothing can be changed."""

    def setUp(self):
        """Serve a stub, unless a daemon is to be asked."""
        super().setUp()
        self.url = os.environ.get("OPERATORS_URL")
        if self.url is None:
            self.host = StubHost("h1")
            fleet = StubFleet(self.host)
            fleet.__enter__()
            self.addCleanup(fleet.__exit__)
            self.url = f"http://127.0.0.1:{self.host.port}"

    def call(self, path, method="GET"):
        """Return the status and body of one call."""

        async def run():
            async with (
                ClientSession() as session,
                session.request(method, self.url + path) as answer,
            ):
                return answer.status, await answer.read()

        return asyncio.run(run())

    def read(self, path, schema):
        """Return the checked answer to a call that succeeds."""
        status, body = self.call(path)
        self.assertEqual(200, status, body)
        return msgspec.json.decode(body, type=schema)

    def test_answers(self):
        """Each answer matches its schema, refusals too."""
        for path, expected, schema in CALLS:
            with self.subTest(path=path):
                status, body = self.call(path)
                self.assertEqual(expected, status, body)
                msgspec.json.decode(body, type=schema)

    def test_explain(self):
        """Classes that are in force can be explained."""
        documents = self.read("/v1/configuration", ConfigurationAnswer)["documents"]
        classes = documents["configuration"]["classes"]
        self.assertNotEqual([], classes)
        for work_class in classes:
            answer = self.read(CLASS_URL + work_class["name"], ExplainAnswer)
            self.assertEqual("c1", answer["chat"])
        status, body = self.call(CLASS_URL + "no-such-class")
        self.assertEqual(404, status)
        refusal = msgspec.json.decode(body, type=RefusalBody)
        self.assertEqual("CLASS_UNKNOWN", refusal["name"])

    def test_events(self):
        """Sequences rise by one, and a reader gets just what is new."""
        if "OPERATORS_URL" not in os.environ:
            for number in range(5):
                self.host.ring.record("test:event", str(number))
        everything = self.read("/v1/events", EventsAnswer)
        sequences = [row["sequence"] for row in everything["events"]]
        first = everything["lost"] + 1
        self.assertEqual(list(range(first, everything["last"] + 1)), sequences)
        newest = self.read("/v1/events?limit=1", EventsAnswer)["events"]
        self.assertEqual(1, len(newest))
        self.assertGreaterEqual(newest[0]["sequence"], everything["last"])
        path = f"/v1/events?after={everything['last']}"
        fresh = self.read(path, EventsAnswer)
        self.assertEqual(0, fresh["lost"])
        self.assertGreater(fresh["horizon"], everything["horizon"])

    def test_metrics(self):
        """Metrics are text for Prometheus."""
        status, _ = self.call("/metrics")
        self.assertEqual(200, status)

    def test_read_only(self):
        """No method that changes something is taken."""
        for path, _, _ in CALLS[:4]:
            for method in ("POST", "PUT", "DELETE", "PATCH"):
                self.assertEqual(405, self.call(path, method)[0])
