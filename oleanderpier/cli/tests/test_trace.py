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

    def test_decisions_are_explained(self):
        """What moved, delayed or refused a request is said in words, in order."""
        inputs = {"request": "r", "server": "i-1", "in_flight": 7, "age_s": 0.25}
        text = "\n".join(
            make_line(time, "h1", event, wait_s=wait_s, **inputs, **fields)
            for time, event, wait_s, fields in (
                (4.0, "permits:refused", 0.6, {"decision": "WAIT_TOO_LONG"}),
                (2.0, "permits:decision", 0.1, {"decision": "FULL"}),
                (2.5, "permits:decision", 0.0, {"decision": "GRANTED"}),
                (2.6, "permits:decision", 0.3, {"decision": "GRANTED"}),
                (1.0, "routing:evacuated", 0.0, {"decision": "moved", "domain": "d"}),
                (3.0, "routing:cold", 4.0, {"decision": "held_back"}),
                (5.0, "routing:evacuated", 0.9, {"decision": "refused", "domain": "d"}),
            )
        )
        trace = json.loads(run_command("trace", "r", "--json", text=text).output)
        self.assertEqual(
            [
                "moved from i-1, since its failure domain d is evacuated",
                "got no permit for i-1: as many requests run there as it can run; "
                "room is expected in 0.1 s",
                "got a permit for i-1 at once",
                "got a permit for i-1 after 0.3 s",
                "held back from i-1, which is cold for 4.0 s more",
                "refused, since no server has room for it; room in 0.6 s",
                "refused, since only the evacuation of d leaves it no server; "
                "to come back in 0.9 s",
            ],
            [
                decision.removesuffix(" (7 in flight there, as known 0.25 s before)")
                for decision in trace["decisions"]
            ],
        )
        output = run_command("trace", "r", text=text).output
        self.assertIn("decision: moved from i-1", output)

    def test_long_prompts_are_explained(self):
        """A request is moved because of them, or because a server is slow."""
        text = "\n".join(
            make_line(
                time,
                "h1",
                "routing:prefill",
                request="r",
                server="i-1",
                to="i-2",
                decision="moved",
                reason=reason,
                remaining_s=0.2,
                slow_factor=2.5,
                age_s=0.01,
            )
            for time, reason in ((1.0, "prefill"), (2.0, "slow"))
        )
        trace = json.loads(run_command("trace", "r", "--json", text=text).output)
        self.assertEqual(
            [
                "moved from i-1 to i-2, since long prompts are read there for 0.2 s "
                "more (as known 0.01 s before)",
                "moved from i-1 to i-2, since work takes 2.5 times as long as usual "
                "there (as known 0.01 s before)",
            ],
            trace["decisions"],
        )

    def test_summary_counts_decisions(self):
        """A request counts once for each kind of decision on its host."""
        end = {"code": 0, "name": "DONE", "status": 200}
        lines = []
        for host, request in (("h1", "r1"), ("h2", "r1"), ("h1", "r2")):
            for decision, wait_s in (("FULL", 0.1), ("FULL", 0.1), ("GRANTED", 0.0)):
                lines.append(
                    make_line(
                        1.0,
                        host,
                        "permits:decision",
                        request=request,
                        decision=decision,
                        wait_s=wait_s,
                    )
                )
            lines.append(make_line(2.0, host, "request:end", request=request, **end))
        text = "\n".join(
            [
                *lines,
                make_line(
                    3.0, "h1", "routing:cold", request="r3", decision="held_back"
                ),
            ]
        )
        (row,) = json.loads(run_command("summary", "--json", text=text).output)
        self.assertEqual({"permits:decision full": 3}, row["decisions"])
        output = run_command("summary", text=text).output
        self.assertIn("permits:decision full 3", output)

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
