"""Tests of requests that ask the owners of servers for permits."""

import asyncio
from collections.abc import Callable

from eliot import add_destinations, remove_destination
from testtools import TestCase

from oleanderpier.forwarding import PermitAnswer, PermitQuery, RequestOutcome
from oleanderpier.forwarding.admission import compute_return_s, costs_more_than_wait
from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    RecordingCaller,
    forward_request,
    never_respond,
    reset_connection,
    respond,
    respond_not_run,
    stream_events,
)
from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.routing import (
    Choice,
    PermitOutcome,
    RequestKind,
    ServerCost,
    ServerEntry,
)
from oleanderpier.routing.tests.fakes import make_route, make_server
from oleanderpier.utils import run_coroutine

IDEMPOTENT = {"kind": RequestKind.IDEMPOTENT, "resumable": False, "target_s": 0.4}
FULL, USED_UP = PermitOutcome.FULL, PermitOutcome.USED_UP
GRANTED, TOO_LONG = PermitOutcome.GRANTED, PermitOutcome.WAIT_TOO_LONG


class ScriptedQuery:
    """A query of a request, and its permit.

    Attributes:
        query: The query.
        releases: How many times the permit was returned, or the query withdrawn.
        prefill_ends: How many times the end of the prefill was reported.
    """

    def __init__(self, query: PermitQuery) -> None:
        self.query = query
        self.releases = 0
        self.prefill_ends = 0

    def release(self) -> None:
        """Count a release."""
        self.releases += 1

    def end_prefill(self) -> None:
        """Count the end of a prefill."""
        self.prefill_ends += 1


class ScriptedPermits:
    """Owners whose answers a test sets.

    Args:
        at_once: The outcome and ``wait_s`` of each server's queries that may not wait;
            other servers grant them.
        waiting: The same for those that may wait; None for no answer.

    Attributes:
        covered: Whether the service is under permits.
        cold: The servers whose requests per second are limited.
        sent: The queries.
    """

    def __init__(
        self,
        at_once: dict[str, tuple[PermitOutcome, float]] | None = None,
        waiting: dict[str, tuple[PermitOutcome, float] | None] | None = None,
    ) -> None:
        self.covered = True
        self.cold: set[str] = set()
        self.sent: list[ScriptedQuery] = []
        self._at_once = at_once or {}
        self._waiting = waiting or {}

    def covers(self, service: str) -> bool:
        """Return whether the service is under permits."""
        return self.covered

    def has_rate(self, server: ServerEntry) -> bool:
        """Return whether a server is cold."""
        return server.identity in self.cold

    def request(
        self, query: PermitQuery, notify: Callable[[PermitAnswer], None]
    ) -> ScriptedQuery:
        """Answer a query by the script."""
        sent = ScriptedQuery(query)
        self.sent.append(sent)
        script = self._waiting if query.max_wait_s else self._at_once
        answer = script.get(query.server.identity, (GRANTED, 0.0))
        if answer is not None:
            notify(PermitAnswer(*answer, in_flight=3, age_s=0.004))
        return sent

    def list_asked(self) -> list[tuple[str, bool, bool]]:
        """Return each query's server, whether it may wait, and is a repeat."""
        queries = [sent.query for sent in self.sent]
        return [(q.server.identity, q.max_wait_s > 0, q.is_repeat) for q in queries]


def make_fixture(permits: ScriptedPermits, *scripts, **options) -> ForwarderFixture:
    """Return a forwarder with scripted servers and owners."""
    fixture = ForwarderFixture(*scripts, **options)
    fixture.permits = permits
    return fixture


def forward_with_log(
    fixture: ForwarderFixture, **changes
) -> tuple[RequestOutcome, list[dict]]:
    """Forward a request, and return the lines of the log on permits too."""
    lines = []
    add_destinations(lines.append)
    # The first destination gets the messages of before as well.
    lines.clear()
    try:
        outcome = forward_request(fixture, **changes)
    finally:
        remove_destination(lines.append)
    kinds = ("permits:decision", "permits:refused")
    return outcome, [line for line in lines if line["message_type"] in kinds]


class AdmissionTest(TestCase):
    """A request is sent with a permit, tries other servers, waits or is refused."""

    def check_released(self, permits: ScriptedPermits, case: str = "") -> None:
        """Check that no owner is left with a permit or a query of the request."""
        for sent in permits.sent:
            self.assertGreaterEqual(sent.releases, 1, (case, sent.query))

    def test_service_without_permits_does_not_ask(self):
        """Nothing changes where permits are off."""
        permits = ScriptedPermits()
        permits.covered = False
        fixture = make_fixture(permits, [respond()])
        outcome, lines = forward_with_log(fixture, **IDEMPOTENT)
        self.assertEqual((Code.DONE, [], []), (outcome.code, permits.sent, lines))

    def test_rate_of_cold_server_of_a_service_without_permits(self):
        """Its owner is asked nevertheless: a cold server crashes above its rate."""
        permits = ScriptedPermits({"s0": (USED_UP, 0.3)})
        permits.covered = False
        permits.cold.add("s0")
        fixture = make_fixture(permits, [respond()], [respond()])
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual([0, 1], fixture.count_requests())

    def test_permit_of_first_server(self):
        """One query, no line in the log, and the permit is returned at the end."""
        permits = ScriptedPermits()
        fixture = make_fixture(permits, [respond()], [respond()])
        outcome, lines = forward_with_log(fixture, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual([("s0", False, False)], permits.list_asked())
        self.assertEqual([], lines)
        self.check_released(permits)

    def test_full_servers_are_passed_over(self):
        """The third server has room; no attempt and no retry is used up."""
        permits = ScriptedPermits(
            {"s0": (FULL, 0.2), "s1": (PermitOutcome.PREFILLING, 0.1)}
        )
        fixture = make_fixture(
            permits, [respond()], [respond()], [respond()], slack=0.0
        )
        outcome, lines = forward_with_log(fixture, max_attempts=1, **IDEMPOTENT)
        self.assertEqual((Code.DONE, 1), (outcome.code, outcome.attempts))
        self.assertEqual([0, 0, 1], fixture.count_requests())
        self.assertEqual(
            [("s0", "FULL", 0.2), ("s1", "PREFILLING", 0.1)],
            [(line["server"], line["decision"], line["wait_s"]) for line in lines],
        )
        self.check_released(permits)

    def test_waits_at_server_with_shortest_wait(self):
        """Four servers are asked at most, then the best of them with a wait."""
        waits_s = {"s0": 0.4, "s1": 0.3, "s2": 0.1, "s3": 0.2}
        permits = ScriptedPermits({name: (FULL, waits_s[name]) for name in waits_s})
        fixture = make_fixture(permits, *[[respond()] for _ in range(6)])
        outcome = forward_request(fixture, max_attempts=1, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual(
            [(name, False, False) for name in waits_s] + [("s2", True, False)],
            permits.list_asked(),
        )
        self.assertEqual([0, 0, 1, 0, 0, 0], fixture.count_requests())
        # Half of the 5 s that are left at the start.
        self.assertAlmostEqual(2.5, permits.sent[-1].query.max_wait_s, delta=0.2)
        self.check_released(permits)

    def test_wait_is_at_most_the_time_left(self):
        """Half of the time is left for the work and the way back."""
        permits = ScriptedPermits({"s0": (FULL, 0.1)})
        fixture = make_fixture(permits, [respond()])
        forward_request(fixture, timeout_s=0.3, **IDEMPOTENT)
        self.assertLessEqual(permits.sent[-1].query.max_wait_s, 0.15)

    def test_refusal_is_not_run(self):
        """The code says that it was not run, and when to come back."""
        permits = ScriptedPermits({"s0": (FULL, 1.0)}, {"s0": (TOO_LONG, 2.0)})
        fixture = make_fixture(permits, [respond()])
        outcome, lines = forward_with_log(fixture, priority=9, **IDEMPOTENT)
        self.assertEqual((Code.SERVERS_FULL, 503), (outcome.code, outcome.status))
        self.assertEqual(Fate.NOT_RUN, describe_code(outcome.code).fate)
        self.assertEqual([0], fixture.count_requests())
        self.assertTrue(2.0 <= fixture.caller.failure.retry_after_s <= 2.5)
        self.assertEqual(
            ["permits:decision", "permits:decision", "permits:refused"],
            [line["message_type"] for line in lines],
        )
        fields = {"request", "server", "decision", "wait_s", "in_flight", "age_s"}
        self.assertTrue(fields <= lines[-1].keys())
        self.check_released(permits)

    def test_no_wait_for_rate(self):
        """If all servers are cold and their rates used up, it is refused at once."""
        permits = ScriptedPermits({"s0": (USED_UP, 0.1), "s1": (USED_UP, 0.1)})
        permits.cold = {"s0", "s1"}
        fixture = make_fixture(permits, [respond()], [respond()])
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(Code.SERVERS_FULL, outcome.code)
        self.assertEqual([False, False], [asked[1] for asked in permits.list_asked()])

    def test_server_that_is_not_cold_is_asked_last(self):
        """Cold servers have no load, so that they are chosen before the others."""
        names = [f"s{number}" for number in range(6)]
        permits = ScriptedPermits(dict.fromkeys(names, (USED_UP, 0.1)))
        permits.cold = set(names)
        fixture = make_fixture(permits, *[[respond()] for _ in range(7)])
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual(("s6", True, False), permits.list_asked()[-1])
        self.assertEqual(5, len(permits.sent))

    def test_limit_that_the_server_names(self):
        """A permit of a server whose own limit is used up is returned."""
        permits = ScriptedPermits()
        fixture = make_fixture(permits, [respond()], [respond()], used_up=("s0",))
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual([0, 1], fixture.count_requests())
        self.check_released(permits)

    def test_no_owner(self):
        """Without an owner the request is sent without a permit."""
        permits = ScriptedPermits({"s0": (PermitOutcome.NOT_OWNER, 0.0)})
        outcome = forward_request(make_fixture(permits, [respond()]), **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)

    def test_retry_asks_as_repeat(self):
        """It waits half as long, and not at the server that failed."""
        permits = ScriptedPermits({"s1": (FULL, 0.1)}, {})
        fixture = make_fixture(permits, [reset_connection], [respond()])
        outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual(
            [("s0", False, False), ("s1", False, True), ("s1", True, True)],
            permits.list_asked(),
        )
        # A quarter of the 5 s that are left at the start.
        self.assertAlmostEqual(1.25, permits.sent[-1].query.max_wait_s, delta=0.1)
        self.check_released(permits)

    def test_retry_without_room(self):
        """What may have run is not refused as if it had not; the budget is kept."""
        permits = ScriptedPermits({"s1": (FULL, 1.0)}, {"s1": (TOO_LONG, 1.0)})
        fixture = make_fixture(permits, [reset_connection], [respond()], slack=20.0)
        outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual(Code.ANSWER_LOST, outcome.code)
        budget = fixture.forwarder.budget
        used = [budget.try_acquire("engine") for _ in range(30)].count(True)
        fresh = ForwarderFixture([respond()], [respond()], slack=20.0)
        forward_request(fresh, **IDEMPOTENT)
        budget = fresh.forwarder.budget
        unused = [budget.try_acquire("engine") for _ in range(30)].count(True)
        self.assertEqual(unused, used)
        self.check_released(permits)

    def test_end_of_prefill(self):
        """It is reported once, with the first event."""
        permits = ScriptedPermits()
        forward_request(make_fixture(permits, [stream_events(5)]))
        self.assertEqual([1], [sent.prefill_ends for sent in permits.sent])

    def test_permit_is_returned_however_the_attempt_ends(self):
        """An owner that kept it would count a request that no longer runs."""
        behaviours = {
            "answer": respond(),
            "failure": respond(500),
            "refusal": respond_not_run(),
            "reset": reset_connection,
            "deadline": never_respond,
        }
        for name, behave in behaviours.items():
            permits = ScriptedPermits()
            fixture = make_fixture(permits, [behave], [respond()])
            forward_request(fixture, timeout_s=0.7, max_attempts=1, **IDEMPOTENT)
            self.check_released(permits, name)
        permits = ScriptedPermits()
        fixture = make_fixture(permits, [respond()])
        fixture.unreachable = (0,)
        forward_request(fixture, **IDEMPOTENT)
        self.check_released(permits, "unreachable")

    def test_hedge(self):
        """It asks as a repeat and does not wait; the loser's permit is returned."""
        permits = ScriptedPermits()
        fixture = make_fixture(permits, [never_respond], [respond()])
        outcome = forward_request(
            fixture, max_attempts=2, **{**IDEMPOTENT, "target_s": 0.1}
        )
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual(
            [("s0", False, False), ("s1", False, True)], permits.list_asked()
        )
        self.check_released(permits)

    def test_server_is_evacuated_during_the_wait(self):
        """It gets nothing although its owner grants the permit."""
        permits = ScriptedPermits({"s0": (FULL, 0.1)})
        fixture = make_fixture(permits, [respond()])
        answer = permits.request

        def evacuate_in_wait(query, notify):
            if query.max_wait_s:
                fixture.evacuations.update("duluth", True)
            return answer(query, notify)

        permits.request = evacuate_in_wait
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(
            (Code.NO_BACKEND_SERVER, [0]), (outcome.code, fixture.count_requests())
        )
        self.check_released(permits)

    def test_hedge_without_room(self):
        """It does not wait: the first attempt may end meanwhile."""
        permits = ScriptedPermits({"s1": (FULL, 0.1)})
        fixture = make_fixture(permits, [respond(delay_s=0.6)], [respond()])
        outcome, lines = forward_with_log(
            fixture, max_attempts=2, **{**IDEMPOTENT, "target_s": 0.1}
        )
        self.assertEqual((Code.DONE, [1, 0]), (outcome.code, fixture.count_requests()))
        self.assertIn(("s1", False, True), permits.list_asked())
        self.assertNotIn(("s1", True, True), permits.list_asked())
        kinds = {line["message_type"] for line in lines}
        self.assertEqual({"permits:decision"}, kinds)

    def test_deadline_passes_during_the_wait(self):
        """The query is withdrawn, and the request was not run."""
        permits = ScriptedPermits({"s0": (FULL, 0.1)}, {"s0": None})
        fixture = make_fixture(permits, [respond()])
        outcome = forward_request(fixture, timeout_s=0.2, **IDEMPOTENT)
        self.assertEqual(Fate.NOT_RUN, describe_code(outcome.code).fate)
        self.check_released(permits)

    def interrupt(self, permits: ScriptedPermits, interrupt) -> RequestOutcome | None:
        """Forward a request that waits for a permit, and interrupt it meanwhile.

        Args:
            permits: The owners.
            interrupt: Called with the fixture and the task of the request.
        """
        fixture = make_fixture(permits, [respond()])
        route = make_route(sticky=False, **IDEMPOTENT)

        async def run():
            forwarding = fixture.forward_all(route, 5.0, [RecordingCaller()])
            task = asyncio.create_task(forwarding)
            while len(permits.sent) < 2:
                await asyncio.sleep(0.01)
            interrupt(fixture, task)
            return await asyncio.gather(task, return_exceptions=True)

        (result,) = run_coroutine(run())
        return None if isinstance(result, BaseException) else result[0]

    def test_caller_leaves_during_the_wait(self):
        """The query is withdrawn."""
        permits = ScriptedPermits({"s0": (FULL, 0.1)}, {"s0": None})
        outcome = self.interrupt(permits, lambda fixture, task: task.cancel())
        self.assertIsNone(outcome)
        self.check_released(permits)

    def test_host_stops_during_the_wait(self):
        """The query is withdrawn, and the caller goes to another host."""
        permits = ScriptedPermits({"s0": (FULL, 0.1)}, {"s0": None})
        outcome = self.interrupt(
            permits, lambda fixture, task: fixture.forwarder.limits.end()
        )
        self.assertEqual(Code.HOST_LEAVING, outcome.code)
        self.check_released(permits)


def make_choice(missing_ms: float) -> Choice:
    """Return the choice of a server without load that lacks a part of the prompt."""
    server = make_server("s1")
    cost = ServerCost(
        server, 0.0, 16.0, True, False, not missing_ms, 1.0, 0.0, 20.0, missing_ms
    )
    return Choice(server, "cached", 0, None, cost=cost)


class WaitTest(TestCase):
    """A short wait where the prompt is cached is better than to read it again."""

    def check(self, missing_ms: float, outcome: PermitOutcome, wait_s: float) -> bool:
        """Compare a server that lacks the prompt with the wait at one that has it."""
        asked = [(make_choice(0.0), PermitAnswer(outcome, wait_s, 3, 0.0))]
        return costs_more_than_wait(make_choice(missing_ms), asked)

    def test_long_prompt_waits_for_the_prefill_of_another(self):
        """It would be read again elsewhere, beside the requests there."""
        self.assertTrue(self.check(94.0, PermitOutcome.PREFILLING, 0.05))

    def test_short_prompt_goes_elsewhere(self):
        """It would wait for the prefill of a long one."""
        self.assertFalse(self.check(8.0, PermitOutcome.PREFILLING, 0.05))

    def test_long_wait_is_not_taken(self):
        """A hot prompt whose servers are full spreads to others."""
        self.assertFalse(self.check(94.0, FULL, 0.3))

    def test_rate_that_is_used_up_is_no_wait(self):
        """Requests do not wait for a cold server while others are not cold."""
        self.assertFalse(self.check(94.0, USED_UP, 0.05))


class ReturnTest(TestCase):
    """When callers of refused requests should come back."""

    def test_urgent_requests_return_first(self):
        """The more urgent a request is, the earlier, for any random part."""
        times_s = [compute_return_s(1.0, urgency, 0.5) for urgency in range(10)]
        self.assertEqual(sorted(times_s), times_s)
        self.assertTrue(all(1.0 <= time_s <= 1.25 for time_s in times_s))
