"""Forwards a request to backend servers, with retries, until it has an outcome."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from eliot import log_message

from oleanderpier.connections import Framing
from oleanderpier.forwarding.attempts import Attempt, BufferedResponse, ServerActivity
from oleanderpier.forwarding.crash_guard import CrashGuard
from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.forwarding.records import (
    Call,
    Caller,
    Dialect,
    RequestOutcome,
    ResponseHead,
)
from oleanderpier.forwarding.request_keys import RequestKeys
from oleanderpier.results import Code, Failure, Fate, describe_code
from oleanderpier.routing import (
    AttemptOutcome,
    AttemptState,
    Choice,
    Chooser,
    RetryBudget,
    ServerEntry,
    ServerHealth,
    ServerQuery,
    decide_retry,
    pick_service,
    spread_return_s,
)
from oleanderpier.utils import EndableLimits, Timers

__all__ = ["Forwarder", "ResponseCounts"]

# Servers tried for one request, including unreachable ones.
MAX_SERVERS_TRIED = 5
# Choices for one request among servers whose limits may have no room for it.
MAX_LIMITED_CHOICES = 24
# With less time left a request is not sent, since no response could arrive in time.
MIN_TIME_LEFT_S = 0.005
# Delay that a refusal asks the caller to wait: long enough for a server in backoff
# to be tried again, short against the latency targets.
RETRY_AFTER_S = 0.25
# Upper bound of the parts of a prompt in a line of the log.
MAX_LOGGED_PARTS = 16
# Outcome in the log of an attempt that was cancelled.
INTERRUPTED = "interrupted"
# Outcomes after which the log has the key of the request as a whole.
_BROKEN_ENDINGS = frozenset(
    {AttemptOutcome.LOST.value, AttemptOutcome.CUT.value, INTERRUPTED}
)


class ResponseCounts(NamedTuple):
    """How many responses servers sent since the counts were last reset.

    Attributes:
        responses: All responses, by server id.
        failures: Those that report a failure of the server, by server id.
    """

    responses: dict[str, int]
    failures: dict[str, int]


class Forwarder:
    """Forwards callers' requests; holds what all requests of a host share.

    Args:
        session: The HTTP client.
        dialect: The wire format of the backend servers.
        chooser: Chooses servers.
        health: Failures and backoff of the servers.
        budget: The retry budget.
        server_activity: When each server last sent something.
        timers: The timer service.
        record_statements: Records what the head of a server's response says.
        guard: Keeps requests that crash servers away from them.
        rng: The source of randomness.
        on_attempt_end: Called after each attempt, with its outcome, what ended the
            response (None without a response) and its duration in seconds; not
            called for an attempt that was cancelled.
        request_send: Asks whether a request may be sent to a server that may name a
            limit; called with the server and a callback for the decision.

    Attributes:
        response_counts: Responses since the counts were last reset.
        limits: The time limits of the requests in progress; ended when this host stops.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        chooser: Chooser,
        health: ServerHealth,
        budget: RetryBudget,
        server_activity: ServerActivity,
        timers: Timers,
        record_statements: Callable[[ServerEntry, ResponseHead], None],
        guard: CrashGuard,
        rng: random.Random,
        on_attempt_end: Callable[
            [AttemptOutcome, Framing | None, float], None
        ] = lambda outcome, framing, took_s: None,
        request_send: Callable[
            [ServerEntry, Callable[[bool], None]], None
        ] = lambda server, notify: notify(True),
    ) -> None:
        self.on_attempt_end = on_attempt_end
        self._request_send = request_send
        self.record_statements = record_statements
        self.guard = guard
        self.rng = rng
        self.session = session
        self.dialect = dialect
        self.chooser = chooser
        self.health = health
        self.budget = budget
        self.server_activity = server_activity
        self.timers = timers
        self.response_counts = ResponseCounts({}, {})
        self.limits = EndableLimits()

    async def forward(self, call: Call, caller: Caller) -> RequestOutcome:
        """Forward a request until the caller has a response or a refusal.

        Args:
            call: The request.
            caller: Receives the response, or the refusal.

        Returns:
            The outcome, for logs and metrics.
        """
        return await _RequestForwarding(self, call, caller).run()

    def find_refusal(self, keys: RequestKeys) -> Failure | None:
        """Return the failure to refuse a request with at once, None to forward it."""
        if self.limits.ended:
            return Failure(Code.HOST_LEAVING, "this host stops", 0.0)
        return self.guard.find_refusal(keys)

    async def may_send(self, server: ServerEntry) -> bool:
        """Return whether a server's limit has room for a request now."""
        decision = asyncio.get_running_loop().create_future()

        def notify(may_send: bool) -> None:
            if not decision.done():
                decision.set_result(may_send)

        self._request_send(server, notify)
        return await decision

    def record_response(self, identity: str, failed: bool) -> None:
        """Record a server's response, in its health and for this host's reports."""
        self.health.record_response(identity, failed)
        responses, failures = self.response_counts
        responses[identity] = responses.get(identity, 0) + 1
        failures[identity] = failures.get(identity, 0) + failed

    def pop_response_counts(self) -> ResponseCounts:
        """Return the responses counted since the last call, and reset the counts."""
        counts, self.response_counts = self.response_counts, ResponseCounts({}, {})
        return counts


class _RequestForwarding:
    """Forwards one request."""

    def __init__(self, forwarder: Forwarder, call: Call, caller: Caller) -> None:
        self._forwarder = forwarder
        self._call = call
        self._keys = RequestKeys(call)
        self._caller = _TrackedCaller(caller, forwarder.timers)
        self._splitter = EventSplitter()
        prefixes = call.shared_prefixes
        self._service = pick_service(
            call.route.shares, prefixes[-1].key if prefixes else call.identity
        )
        self._query = ServerQuery(self._service, prefixes)
        self._tried: set[str] = set()
        self._refused_by: set[str] = set()
        self._retry_after_s = RETRY_AFTER_S
        self._attempts = 0
        self._may_have_run = False
        self._response: BufferedResponse | None = None
        self._server = ""
        self._reason = ""

    async def run(self) -> RequestOutcome:
        """Try servers until the request has an outcome or its deadline passes."""
        forwarder = self._forwarder
        forwarder.budget.record_request(self._service)
        refusal = forwarder.find_refusal(self._keys)
        if refusal is not None:
            return await self._refuse_with(refusal)
        time_left_s = self._call.deadline_s - forwarder.timers.now()
        try:
            async with forwarder.limits.limit(max(0.0, time_left_s)):
                return await self._try_servers()
        except TimeoutError:
            if forwarder.limits.ended:
                self._reason = f"this host stops; {self._reason}"
                return await self._refuse(self._get_end_code())
            if self._server:
                forwarder.health.record_broken_response(self._server)
            self._reason = f"out of time; {self._reason}"
            return await self._refuse(self._get_timeout_code())

    async def _try_servers(self) -> RequestOutcome:
        forwarder, call = self._forwarder, self._call
        for _ in range(MAX_SERVERS_TRIED):
            choice = await self._choose_server()
            if choice is None:
                self._explain_no_server()
                break
            time_left_s = call.deadline_s - forwarder.timers.now()
            if time_left_s < MIN_TIME_LEFT_S:
                self._reason = f"{time_left_s:.4f} s left; {self._reason}"
                return await self._refuse(self._get_timeout_code())
            started_s = forwarder.timers.now()
            outcome = await self._run_attempt(choice, started_s)
            decision = decide_retry(outcome, self._get_state())
            if outcome is AttemptOutcome.DELIVERED:
                return await self._deliver()
            if not decision.retry:
                return await self._finish_unsuccessful(decision.code)
            refusal = None if self._may_have_run else forwarder.find_refusal(self._keys)
            if refusal is not None:
                return await self._refuse_with(refusal)
            if self._may_have_run and not forwarder.guard.may_retry(self._keys):
                self._reason = f"servers crashed on the request; {self._reason}"
                return await self._finish_unsuccessful(decision.code)
            if decision.uses_budget and not forwarder.budget.try_acquire(self._service):
                self._reason = f"retry budget is used up; {self._reason}"
                return await self._finish_unsuccessful(decision.code)
            self._splitter.drop_remainder()
        code = Code.ANSWER_LOST if self._may_have_run else Code.NO_BACKEND_SERVER
        return await self._finish_unsuccessful(code)

    async def _choose_server(self) -> Choice | None:
        """Return the best server whose limit has room, None if there is none.

        A server without room is left out of the next choice.
        """
        for _ in range(MAX_LIMITED_CHOICES):
            choice = self._forwarder.chooser.choose(
                self._query, self._tried, self._refused_by
            )
            if choice is None or await self._forwarder.may_send(choice.server):
                return choice
        return None

    def _explain_no_server(self) -> None:
        """Set the reason and the time to come back if no server can be chosen."""
        wait_s = self._forwarder.chooser.get_shortest_wait_s(self._service)
        if wait_s:
            self._retry_after_s = spread_return_s(
                max(RETRY_AFTER_S, wait_s), self._forwarder.rng
            )
            self._reason = f"no server wants it for {wait_s:.3f} s; {self._reason}"
        else:
            self._reason = f"no server of {self._service} has room; {self._reason}"

    async def _run_attempt(self, choice: Choice, started_s: float) -> AttemptOutcome:
        """Send the request to a server once, and update its health."""
        forwarder = self._forwarder
        identity = self._server = choice.server.identity
        self._reason = "waited for the server"
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        attempt = Attempt(
            forwarder.session,
            forwarder.dialect,
            forwarder.server_activity,
            forwarder.timers,
            self._call,
            choice.server,
            choice.copy_source,
            self._may_fail_over,
            forwarder.record_statements,
        )
        forwarder.guard.begin_attempt(self._keys)
        forwarder.chooser.begin_request(self._query, identity)
        try:
            outcome = await attempt.run(
                self._caller, self._splitter, self._caller.response_started
            )
        except BaseException:
            # The deadline has passed, or the caller has disconnected.
            self._attempts += 1
            self._log_attempt(choice, attempt, INTERRUPTED, started_s)
            raise
        finally:
            took_s = forwarder.timers.now() - started_s
            forwarder.chooser.end_request(identity, took_s)
        forwarder.on_attempt_end(outcome, attempt.framing, took_s)
        self._reason = attempt.reason
        self._log_attempt(choice, attempt, outcome.value, started_s)
        self._tried.add(identity)
        self._attempts += outcome is not AttemptOutcome.UNREACHED
        if outcome in (AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN):
            self._may_have_run = may_have_run_before
        if outcome is AttemptOutcome.NOT_RUN:
            self._refused_by.add(identity)
        _HEALTH_RECORDERS[outcome](forwarder, identity)
        if attempt.response is not None:
            self._response = attempt.response
        await forwarder.guard.record_attempt(
            self._keys, choice.server, attempt, outcome
        )
        return outcome

    def _log_attempt(
        self, choice: Choice, attempt: Attempt, outcome: str, started_s: float
    ) -> None:
        """Log an attempt, with what this host believed when it chose the server."""
        ended_s = self._forwarder.timers.now()
        first_at_s = attempt.first_event_at_s
        # Loads and statistics are as old as at the start of the attempt.
        mean_age_s = choice.load_age_s + max(0.0, started_s - choice.stats.computed_s)
        log_message(
            "forward:send",
            request=self._call.identity,
            server=choice.server.identity,
            why=choice.reason,
            service=choice.server.service,
            load=choice.load,
            own_load=choice.own_load,
            load_age_s=round(choice.load_age_s, 3),
            mean_load=round(choice.stats.mean_load, 2),
            load_limit=round(choice.stats.load_limit, 2),
            survival=round(choice.stats.survival, 3),
            mean_age_s=round(mean_age_s, 3),
            server_state=choice.server_state.value,
            server_state_age_s=round(choice.server_state_age_s, 2),
            limit_per_s=choice.limit.per_s if choice.limit else None,
            limit_age_s=round(started_s - choice.limit.heard_s, 3)
            if choice.limit
            else None,
            cache_age_s=None
            if choice.cache_age_s is None
            else round(choice.cache_age_s, 3),
            source=choice.copy_source.identity if choice.copy_source else "",
            framing=attempt.framing.value if attempt.framing else "",
            received_bytes=attempt.received_bytes,
            partial_event_bytes=len(self._splitter.remainder),
            events_for_s=None if first_at_s is None else round(ended_s - first_at_s, 4),
            prompt_parts=[]
            if outcome == AttemptOutcome.DELIVERED.value
            else [part.identity for part in self._call.prompt_parts][:MAX_LOGGED_PARTS],
            request_key=self._keys.whole if outcome in _BROKEN_ENDINGS else "",
            ending=outcome,
            reason=self._reason,
            took_s=round(ended_s - started_s, 4),
        )

    def _get_timeout_code(self) -> Code:
        """Return the result code of a request whose deadline has passed."""
        return Code.TARGET_MISSED if self._may_have_run else Code.TARGET_UNREACHABLE

    def _get_end_code(self) -> Code:
        """Return the result code of a request that this host ends as it stops."""
        return Code.ANSWER_LOST if self._may_have_run else Code.HOST_LEAVING

    def _may_fail_over(self) -> bool:
        """Return whether the request would be sent to another server now.

        If not, a silent server's response is waited for.
        """
        forwarder = self._forwarder
        return (
            self._attempts + 1 < self._call.route.max_attempts
            and forwarder.chooser.has_other(self._query, {*self._tried, self._server})
            and forwarder.budget.has_room(self._service)
        )

    def _get_state(self) -> AttemptState:
        route = self._call.route
        return AttemptState(
            route.repeatable,
            self._attempts,
            route.max_attempts,
            self._may_have_run,
            self._caller.response_started,
        )

    async def _deliver(self) -> RequestOutcome:
        """Send the last complete response, unless it was streamed already."""
        if self._caller.response_started:
            return self._make_outcome(Code.DONE, 200)
        await self._caller.deliver(*self._response)
        return self._make_outcome(Code.DONE, self._response.head.status)

    async def _finish_unsuccessful(self, code: Code) -> RequestOutcome:
        """Send a server's own failure response if there is one, else a refusal."""
        if self._response is not None and not self._caller.response_started:
            return await self._deliver()
        return await self._refuse(code)

    async def _refuse(self, code: Code) -> RequestOutcome:
        """Send a refusal; if the response has started, break the connection."""
        if self._caller.response_started:
            self._caller.abort()
            return self._make_outcome(Code.STREAM_CUT, 0)
        not_run = describe_code(code).fate is Fate.NOT_RUN
        return await self._refuse_with(
            Failure(code, self._reason, self._retry_after_s if not_run else None)
        )

    async def _refuse_with(self, failure: Failure) -> RequestOutcome:
        self._reason = failure.text
        await self._caller.refuse(failure)
        return self._make_outcome(failure.code, describe_code(failure.code).http_status)

    def _make_outcome(self, code: Code, status: int) -> RequestOutcome:
        return RequestOutcome(
            code,
            status,
            self._attempts,
            self._server,
            self._reason,
            self._caller.stream_start_s,
        )


class _TrackedCaller:
    """A caller, with a record of whether the response has started.

    Attributes:
        response_started: Whether the head of a stream was sent.
        stream_start_s: Seconds from the request until then, None before.
    """

    def __init__(self, caller: Caller, timers: Timers) -> None:
        self._caller = caller
        self._timers = timers
        self._started_s = timers.now()
        self.stream_start_s: float | None = None
        self.response_started = False
        self.write = caller.write
        self.finish_stream = caller.finish_stream
        self.abort = caller.abort
        self.refuse = caller.refuse
        self.deliver = caller.deliver

    async def begin_stream(self, head: ResponseHead) -> None:
        self.response_started = True
        self.stream_start_s = self._timers.now() - self._started_s
        await self._caller.begin_stream(head)


def _record_response(forwarder: Forwarder, identity: str) -> None:
    forwarder.record_response(identity, failed=False)


def _record_failure(forwarder: Forwarder, identity: str) -> None:
    forwarder.record_response(identity, failed=True)


def _record_broken_response(forwarder: Forwarder, identity: str) -> None:
    forwarder.health.record_broken_response(identity)


def _record_unreachable(forwarder: Forwarder, identity: str) -> None:
    forwarder.health.record_unreachable(identity)


def _record_nothing(forwarder: Forwarder, identity: str) -> None:
    """Record nothing: a server that is full or was replaced has not failed."""


_HEALTH_RECORDERS = {
    AttemptOutcome.DELIVERED: _record_response,
    AttemptOutcome.FAILED: _record_failure,
    AttemptOutcome.UNREACHED: _record_unreachable,
    AttemptOutcome.NOT_RUN: _record_nothing,
    AttemptOutcome.LOST: _record_broken_response,
    AttemptOutcome.SILENT: _record_unreachable,
    AttemptOutcome.CUT: _record_broken_response,
}
