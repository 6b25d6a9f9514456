"""Tests of telling a request's story from logs."""

import json

from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli import run


def make_line(time: float, process: str, event: str, **fields) -> str:
    """Return one log line."""
    return json.dumps({"time": time, "process": process, "event": event, **fields})


END = {"code": 204, "name": "ANSWER_LOST", "status": 502, "sends": 1}
LOGS = "\n".join(
    [
        make_line(9.0, "h1", "health:server_backs_off", identity="i-1", backoff_s=0.5),
        make_line(9.0, "h2", "health:server_backs_off", identity="i-1", backoff_s=0.5),
        make_line(9.5, "h1", "health:server_backs_off", identity="i-2", backoff_s=0.5),
        "12.3 h1 "
        + make_line(
            10.2,
            "h1",
            "request:end",
            request="r1",
            server="i-1",
            reason="no answer",
            **END,
        ),
        make_line(
            10.0, "h1", "forward:send", request="r1", server="i-1", ending="lost"
        ),
        make_line(
            10.1,
            "h1",
            "request:end",
            request="r2",
            server="i-1",
            reason="no answer",
            **END,
        ),
        "not a log line",
        '{"half": ',
        "[]",
    ]
)


def call(*words: str, text: str = LOGS):
    """Run a command over the logs."""
    return CliRunner().invoke(run, words, input=text)


class TraceTest(TestCase):
    """A request's lines, and what its host believed of its servers."""

    def test_story(self):
        """Lines are in order, of its host and its servers only."""
        told = json.loads(call("trace", "r1", "--json").output)
        events = [(step["time"], step["event"]) for step in told["steps"]]
        self.assertEqual(
            [
                (9.0, "health:server_backs_off"),
                (10.0, "forward:send"),
                (10.2, "request:end"),
            ],
            events,
        )
        self.assertEqual("204 ANSWER_LOST, status 502: no answer", told["cause"])

    def test_for_people(self):
        """The table ends with the cause."""
        output = call("trace", "r1").output.splitlines()
        self.assertEqual("cause: 204 ANSWER_LOST, status 502: no answer", output[-1])

    def test_not_found(self):
        """An id that no line names is told by the exit status."""
        self.assertEqual(1, call("trace", "r9").exit_code)

    def test_summary(self):
        """Requests are counted by cause, with one to look at."""
        rows = json.loads(call("summary", "--json").output)
        self.assertEqual(
            [(204, "no answer", 2, "r1")],
            [(r["code"], r["cause"], r["requests"], r["example"]) for r in rows],
        )
