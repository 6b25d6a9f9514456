"""Tests that each check reports its violation and accepts what is allowed."""

import math

from testtools import TestCase

from soak.checks import CHAT_EVENT_COUNT, find_violations
from soak.limits import NamedLimit
from soak.observations import (
    CallerRequest,
    Execution,
    InjectedFault,
    Observations,
    Removal,
    Statement,
)
from soak.schedule import FaultKind

FAULTS_ENDED_S = 20.0
COMPLETE_EVENTS = "".join(
    f"id: {n}\ndata: t{n}\n\n" for n in range(1, CHAT_EVENT_COUNT + 1)
)
SERVED_REQUEST = CallerRequest(
    "r1", "payout", "k", 0, 33.0, 33.1, 200, "s1 ran r1", True
)
EXECUTION = Execution("r1", "s1", 33.05)


def find_violated_guarantees(**changes) -> list[str]:
    """Return the guarantees violated by a valid run with some fields replaced."""
    valid = Observations(
        [SERVED_REQUEST], [EXECUTION], [], [], [], [(0, 0, 5.0)], FAULTS_ENDED_S
    )
    return [
        violation.guarantee for violation in find_violations(valid._replace(**changes))
    ]


class ChecksTest(TestCase):
    """Each check against observations that violate its guarantee."""

    def test_valid_run(self):
        """A valid run has no violations."""
        self.assertEqual([], find_violated_guarantees())

    def test_requests_that_crash_servers(self):
        """Three may arrive after the bound, and more at hosts that started anew."""
        for guarantee, name, tolerated in (
            ("crashing_prompt", "crashing", 5),
            ("crashing_request", "repeated", 3),
        ):
            at_s = [*(float(number + 1) for number in range(tolerated)), 8.5]
            crashes = [Execution(f"{name}-90-0", "s1", each) for each in at_s]
            late_s = tolerated + 3.1
            late = [
                Execution(f"{name}-{number}-0", "s1", late_s + 0.1 * number)
                for number in range(4)
            ]
            killed = InjectedFault(FaultKind.HOST_KILLED, late_s - 2, late_s - 1, 0)
            for arrivals, faults, expected in (
                (late, [], [guarantee]),
                (late[:3], [], []),
                ([each._replace(at_s=late_s - 0.2) for each in late], [], []),
                (late, [killed], []),
                (late, [killed._replace(host=1)], [guarantee]),
            ):
                found = find_violated_guarantees(
                    arrivals=arrivals, crashes=crashes, faults=faults
                )
                self.assertEqual(expected, found)
            few = crashes[: tolerated - 1]
            self.assertEqual([], find_violated_guarantees(arrivals=late, crashes=few))

    def test_requests_over_the_limit_of_a_server(self):
        """Eight in four seconds are allowed, and more of hosts that started anew."""
        limit = NamedLimit("s1", 1.0, 20.0)
        first = Execution("r0", "s1", 1.5)
        late = [Execution("r1", "s1", 5.0 + 0.4 * number) for number in range(9)]
        killed = InjectedFault(FaultKind.HOST_KILLED, 4.0, 9.0, 0)
        silent = InjectedFault(FaultKind.SERVER_SILENT, 3.0, 3.5, -1)
        for arrivals, faults, expected in (
            ([first, *late], [], ["server_limit"]),
            ([first, *late[:8]], [], []),
            ([first, *(each._replace(at_s=4.4) for each in late)], [], []),
            ([first, *late], [killed], []),
            ([first, *late], [killed._replace(host=1)], ["server_limit"]),
            ([first, *late], [silent], []),
        ):
            found = find_violated_guarantees(
                arrivals=arrivals, limits=[limit], faults=faults
            )
            self.assertEqual(expected, found)

    def test_payout_executed_twice(self):
        """A payout that two servers executed violates at-most-once."""
        self.assertEqual(
            ["at_most_once"],
            find_violated_guarantees(
                executions=[EXECUTION, EXECUTION._replace(server="s2")]
            ),
        )

    def test_executed_request_refused_as_not_run(self):
        """Status 503 for an executed request is a violation; status 502 is not."""
        refused = SERVED_REQUEST._replace(sent_s=5.0, ended_s=5.1, status=503)
        self.assertEqual(
            ["not_run"], find_violated_guarantees(requests=[refused, SERVED_REQUEST])
        )
        lost = refused._replace(status=502)
        self.assertEqual([], find_violated_guarantees(requests=[lost, SERVED_REQUEST]))

    def test_corrupted_responses(self):
        """Another request's response, and streams with a gap or a repeated event."""
        other = SERVED_REQUEST._replace(body="s1 ran r2")
        self.assertEqual(["whole_answer"], find_violated_guarantees(requests=[other]))
        chat = SERVED_REQUEST._replace(kind="chat", body=COMPLETE_EVENTS)
        self.assertEqual([], find_violated_guarantees(requests=[chat]))
        for old, new in (("id: 3\n", "id: 2\n"), ("id: 3\ndata: t3\n\n", "")):
            corrupted = chat._replace(body=COMPLETE_EVENTS.replace(old, new))
            self.assertEqual(
                ["whole_answer"], find_violated_guarantees(requests=[corrupted])
            )

    def test_leaving_server_executes_request(self):
        """An execution after the bound is a violation unless the store had failed."""
        leaving_servers = [Removal("s1", 30.0)]
        self.assertEqual(
            ["drained_server"],
            find_violated_guarantees(leaving_servers=leaving_servers),
        )
        store_refuses = InjectedFault(FaultKind.STORE_REFUSES, 28.0, 31.0, -1)
        self.assertEqual(
            [],
            find_violated_guarantees(
                leaving_servers=leaving_servers, faults=[store_refuses]
            ),
        )

    def test_request_to_a_server_that_said_that_it_leaves(self):
        """One from the host that heard it is a violation, unless it has restarted."""
        requests = [
            SERVED_REQUEST._replace(request_id=name, host=host)
            for name, host in (("r1", 0), ("r2", 0), ("r3", 1))
        ]
        requests = [r._replace(body=f"s1 ran {r.request_id}") for r in requests]
        arrivals = [Execution("r2", "s1", 33.0)]
        run = {"requests": requests, "arrivals": arrivals}
        heard = Statement("r1", "s1", 30.0, 0.0)
        self.assertEqual(
            ["leaving_statement"], find_violated_guarantees(statements=[heard], **run)
        )
        other = heard._replace(request_id="r3")
        self.assertEqual([], find_violated_guarantees(statements=[other], **run))
        restarted = InjectedFault(FaultKind.HOST_KILLED, 31.0, 31.5, 0)
        self.assertEqual(
            [], find_violated_guarantees(statements=[heard], faults=[restarted], **run)
        )

    def test_requests_to_a_server_that_asked_for_time(self):
        """More than two of one host after half a second are a violation."""
        names = ["r1", "r2", "r3", "r4"]
        requests = [
            SERVED_REQUEST._replace(request_id=name, body=f"s1 ran {name}")
            for name in names
        ]
        asked = [Statement("r1", "s1", 30.0, 2.0)]
        for count, expected in ((2, []), (3, ["asked_time"])):
            arrivals = [Execution(n, "s1", 31.0) for n in names[1 : count + 1]]
            self.assertEqual(
                expected,
                find_violated_guarantees(
                    requests=requests, arrivals=arrivals, statements=asked
                ),
            )

    def test_revoked_key_admitted(self):
        """A credential that is admitted after the bound is a violation."""
        self.assertEqual(
            ["revoked_key"], find_violated_guarantees(revoked_keys=[Removal("k", 30.0)])
        )
        self.assertEqual(
            [], find_violated_guarantees(revoked_keys=[Removal("k", 32.0)])
        )

    def test_request_cut_by_shutdown(self):
        """A request cut by a graceful shutdown; one cut by a kill is no violation."""
        cut = SERVED_REQUEST._replace(
            sent_s=9.0, ended_s=10.1, status=0, complete=False
        )
        terminated = InjectedFault(FaultKind.HOST_TERMINATED, 10.0, 11.0, 0)
        requests = [cut, SERVED_REQUEST]
        self.assertEqual(
            ["graceful_shutdown"],
            find_violated_guarantees(requests=requests, faults=[terminated]),
        )
        killed = InjectedFault(FaultKind.ALL_KILLED, 8.0, 11.0, -1)
        self.assertEqual(
            [], find_violated_guarantees(requests=requests, faults=[terminated, killed])
        )

    def test_request_cut_without_an_answer(self):
        """One that was read is a violation; one that crosses a close is not."""
        unread = SERVED_REQUEST._replace(
            request_id="r2",
            sent_s=9.0,
            written_s=9.1,
            ended_s=9.25,
            status=0,
            body="",
            complete=False,
        )
        late = unread._replace(ended_s=9.35)
        reached = [Execution("r2", "s1", 9.2)]
        killed = InjectedFault(FaultKind.HOST_KILLED, 5.0, 6.5, 0)
        paused = killed._replace(kind=FaultKind.HOST_PAUSED)
        silent = InjectedFault(FaultKind.SERVER_SILENT, 5.0, 6.5, -1, "s1")
        leaves = silent._replace(kind=FaultKind.SERVER_LEAVES)
        crashes = silent._replace(kind=FaultKind.PROMPT_CRASHES_SERVERS, server="")
        for request, arrivals, faults, expected in (
            (unread, [], [], []),
            (unread, reached, [], ["answered"]),
            (unread._replace(written_s=math.inf), reached, [], ["answered"]),
            (late, [], [], ["answered"]),
            (late._replace(status=502, complete=True), reached, [], []),
            (late._replace(written_s=math.inf), [], [], []),
            (late, [], [killed], []),
            (late, [], [killed._replace(host=1)], ["answered"]),
            (late, reached, [killed], []),
            (late, [], [paused], ["answered"]),
            (late._replace(was_reset=True), [], [], ["answered"]),
            (late._replace(was_reset=True), [], [paused], []),
            (late._replace(was_reset=True), reached, [paused], ["answered"]),
            (late, reached, [killed._replace(kind=FaultKind.HOST_SLOW)], ["answered"]),
            (late, [], [killed._replace(ended_s=5.9)], ["answered"]),
            (late, [], [silent], ["answered"]),
            (late, reached, [silent], []),
            (late, reached, [silent._replace(server="s2")], ["answered"]),
            (late, reached, [crashes], []),
            (late, reached, [leaves], ["answered"]),
        ):
            found = find_violated_guarantees(
                requests=[request, SERVED_REQUEST], arrivals=arrivals, faults=faults
            )
            self.assertEqual(expected, found, (request, arrivals, faults))

    def test_stream_cut_at_the_end_of_the_grace(self):
        """One that has begun may end in the last sixth, unless it was sent late."""
        stopped = InjectedFault(FaultKind.HOST_TERMINATED, 2.0, 11.0, 0)
        stream = SERVED_REQUEST._replace(
            kind="chat", sent_s=4.9, ended_s=9.6, body="id: 1\n", complete=False
        )
        for request, expected in (
            (stream, []),
            (stream._replace(status=0), ["answered"]),
            (stream._replace(ended_s=8.6), ["answered"]),
            (stream._replace(sent_s=5.1), ["answered"]),
            (stream._replace(host=1), ["answered"]),
            (stream._replace(sent_s=1.5, ended_s=9.5, host=1), []),
        ):
            found = find_violated_guarantees(
                requests=[request, SERVED_REQUEST],
                arrivals=[Execution("r1", "s1", 5.2)],
                faults=[stopped],
            )
            self.assertEqual(expected, found, request)

    def test_response_after_timeout(self):
        """A final response after the route's time-out is a violation."""
        late = SERVED_REQUEST._replace(sent_s=5.0, ended_s=16.0, status=504)
        self.assertEqual(
            ["final_answer"], find_violated_guarantees(requests=[late, SERVED_REQUEST])
        )

    def test_no_recovery(self):
        """A failure after the recovery time, or no request at all, is a violation."""
        failed = SERVED_REQUEST._replace(status=503, request_id="r2")
        self.assertEqual(
            ["recovery"], find_violated_guarantees(requests=[SERVED_REQUEST, failed])
        )
        self.assertEqual(["recovery"], find_violated_guarantees(requests=[]))

    def test_unexpected_exit(self):
        """A non-zero exit status is a violation unless a fault killed the process."""
        self.assertEqual(["exit"], find_violated_guarantees(exits=[(0, 1, 5.0)]))
        killed = InjectedFault(FaultKind.HOST_KILLED, 4.9, 6.0, 0)
        self.assertEqual(
            [], find_violated_guarantees(exits=[(0, -9, 5.0)], faults=[killed])
        )
