"""Tests of the commands that explain requests from logs."""

import json

from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli import run


def make_line(time: float, process: str, event: str, **fields) -> str:
    """Return one log line as JSON text."""
    return json.dumps({"time": time, "process": process, "event": event, **fields})


END_FIELDS = {"code": 204, "name": "ANSWER_LOST", "status": 502, "sends": 1}
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
            **END_FIELDS,
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
            **END_FIELDS,
        ),
        "not a log line",
        '{"half": ',
        "[]",
    ]
)


def run_command(*words: str, text: str = LOGS):
    """Run a command with logs on standard input."""
    return CliRunner().invoke(run, words, input=text)


class TraceTest(TestCase):
    """A trace has a request's lines and its host's records of its servers."""

    def test_steps_are_ordered_and_filtered(self):
        """Steps are ordered by time, and only of the request's host and servers."""
        trace = json.loads(run_command("trace", "r1", "--json").output)
        events = [(step["time"], step["event"]) for step in trace["steps"]]
        self.assertEqual(
            [
                (9.0, "health:server_backs_off"),
                (10.0, "forward:send"),
                (10.2, "request:end"),
            ],
            events,
        )
        self.assertEqual("204 ANSWER_LOST, status 502: no answer", trace["cause"])

    def test_table_ends_with_the_cause(self):
        """The last line of the text output states the cause."""
        output = run_command("trace", "r1").output.splitlines()
        self.assertEqual("cause: 204 ANSWER_LOST, status 502: no answer", output[-1])

    def test_quarantine_that_refused_a_request_is_shown(self):
        """However old it is; those of other parts and hosts are not."""
        reason = "prompt part bad has crashed servers"
        end = {"code": 117, "name": "PROMPT_QUARANTINED", "status": 503}
        text = "\n".join(
            [
                make_line(1.0, "h1", "poison:quarantine", part="bad", term_s=60.0),
                make_line(1.0, "h2", "poison:quarantine", part="bad", term_s=60.0),
                make_line(1.0, "h1", "poison:quarantine", part="has-not", term_s=60.0),
                make_line(50.0, "h1", "request:end", request="r", reason=reason, **end),
                make_line(51.0, "h1", "poison:quarantine", part="bad", term_s=60.0),
            ]
        )
        trace = json.loads(run_command("trace", "r", "--json", text=text).output)
        self.assertEqual([1.0, 50.0], [step["time"] for step in trace["steps"]])

    def test_unknown_request_exits_with_status_1(self):
        """An id that no line names gives exit status 1."""
        self.assertEqual(1, run_command("trace", "r9").exit_code)

    def test_summary_counts_requests_by_cause(self):
        """Requests are counted by cause, with the id of an example."""
        rows = json.loads(run_command("summary", "--json").output)
        self.assertEqual(
            [(204, "no answer", 2, "r1")],
            [(r["code"], r["cause"], r["requests"], r["example"]) for r in rows],
        )
