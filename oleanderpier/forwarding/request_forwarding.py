"""Forwards one request to backend servers, with retries and hedges."""

from eliot import log_message

from oleanderpier.forwarding.attempts import Attempt, BufferedResponse
from oleanderpier.forwarding.callers import TrackedCaller
from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.forwarding.hedging import Loss, RunningAttempts
from oleanderpier.forwarding.records import Call, Caller, RequestOutcome
from oleanderpier.forwarding.request_keys import RequestKeys
from oleanderpier.forwarding.resources import ForwardingResources
from oleanderpier.forwarding.selection import RETRY_AFTER_S, ServerSelection
from oleanderpier.results import Code, Failure, Fate, describe_code
from oleanderpier.routing import (
    MIN_TIME_LEFT_S,
    NOT_EXECUTED,
    NOT_REACHED,
    AttemptOutcome,
    AttemptState,
    Choice,
    decide_retry,
    may_hedge,
)

__all__ = ["RequestForwarding"]

# Servers tried for one request, including unreachable ones.
MAX_SERVERS_TRIED = 5
# Interval at which a request checks whether its servers have become silent.
SILENCE_CHECK_INTERVAL_S = 0.2
# Upper bound of the parts of a prompt in a line of the log.
MAX_LOGGED_PARTS = 16
# Outcome in the log of an attempt that was cancelled with its request.
INTERRUPTED = "interrupted"
# Outcomes after which the request never goes to the same server again.
_REFUSED = frozenset({AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED})
# Outcomes after which the log has the key of the request as a whole.
_BROKEN_ENDINGS = frozenset(
    {AttemptOutcome.LOST.value, AttemptOutcome.CUT.value, INTERRUPTED}
)


class RequestForwarding:
    """Forwards one request.

    Args:
        forwarder: What all requests of this host share.
        call: The request.
        caller: Receives the response, or the refusal.
    """

    def __init__(
        self, forwarder: ForwardingResources, call: Call, caller: Caller
    ) -> None:
        self._forwarder = forwarder
        self._call = call
        self._keys = RequestKeys(call)
        self._caller = TrackedCaller(caller, forwarder.timers)
        self._splitter = EventSplitter()
        self._selection = ServerSelection(forwarder, call)
        self._retry_after_s = RETRY_AFTER_S
        self._running = RunningAttempts()
        self._servers_tried = 0
        self._attempts = 0
        # Whether a server may have run the request in an attempt that has ended.
        self._was_sent = False
        # When the attempts began that count as requests in flight.
        self._in_flight: dict[Attempt, float] = {}
        self._response: BufferedResponse | None = None
        # Whether a whole response waits to be sent to the caller.
        self._is_delivering = False
        # The attempts whose buffers hold a response.
        self._responding: list[Attempt] = []
        self._server = ""
        self._reason = ""

    async def run(self) -> RequestOutcome:
        """Try servers until the request has an outcome or its deadline passes."""
        forwarder = self._forwarder
        forwarder.budget.record_request(self._selection.service)
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
                return await self._finish_unsuccessful(self._get_end_code())
            # A caller's slow connection says nothing about the server.
            if self._server and not self._is_delivering:
                forwarder.health.record_broken_response(self._server)
            self._reason = f"out of time; {self._reason}"
            return await self._finish_unsuccessful(self._get_timeout_code())

    @property
    def _may_have_run(self) -> bool:
        """Whether a server may have begun to work on the request."""
        return self._was_sent or len(self._running) > 0

    async def _try_servers(self) -> RequestOutcome:
        """Try servers until the request has an outcome."""
        try:
            return await self._try_in_turn()
        finally:
            self._selection.admission.drop()
            await self._running.cancel()
            # A task that was cancelled before its first step has not run at all.
            for attempt in list(self._in_flight):
                self._end_in_flight(attempt)
            for attempt in self._responding:
                attempt.release()
            self._responding.clear()

    async def _try_in_turn(self) -> RequestOutcome:
        """Make an attempt after each one that has failed, and hedges meanwhile."""
        forwarder, call = self._forwarder, self._call
        uses_budget = False
        while self._servers_tried < MAX_SERVERS_TRIED:
            choice = await self._selection.choose(self._selection.refused_by)
            if choice is None:
                return await self._finish_without_server(uses_budget)
            time_left_s = call.deadline_s - forwarder.timers.now()
            if time_left_s < MIN_TIME_LEFT_S:
                self._reason = f"{time_left_s:.4f} s left; {self._reason}"
                return await self._finish_unsuccessful(self._get_timeout_code())
            self._start_attempt(choice)
            outcome = await self._wait_for_outcome()
            if outcome is AttemptOutcome.DELIVERED:
                return await self._deliver()
            decision = decide_retry(outcome, self._get_state())
            if not decision.retry:
                return await self._finish_unsuccessful(decision.code)
            refusal = None if self._may_have_run else forwarder.find_refusal(self._keys)
            if refusal is not None:
                return await self._refuse_with(refusal)
            if self._may_have_run and not forwarder.guard.may_retry(self._keys):
                self._reason = f"servers crashed on the request; {self._reason}"
                return await self._finish_unsuccessful(decision.code)
            uses_budget = decision.uses_budget
            if uses_budget and not forwarder.budget.try_acquire(
                self._selection.service
            ):
                self._reason = f"retry budget is used up; {self._reason}"
                return await self._finish_unsuccessful(decision.code)
        code = Code.ANSWER_LOST if self._may_have_run else Code.NO_BACKEND_SERVER
        return await self._finish_unsuccessful(code)

    async def _wait_for_outcome(self) -> AttemptOutcome:
        """Return the outcome of the attempt that succeeds, or of the last to end.

        While the server of each attempt is silent, others are tried.
        """
        route = self._call.route
        has_hedges = route.repeatable and route.max_attempts > 1
        interval_s = SILENCE_CHECK_INTERVAL_S if has_hedges else None
        while True:
            outcomes = await self._running.wait(interval_s)
            if AttemptOutcome.DELIVERED in outcomes:
                return AttemptOutcome.DELIVERED
            if not self._running:
                return outcomes[-1]
            if self._running.are_delayed() and self._may_hedge():
                await self._start_hedge()

    def _may_hedge(self) -> bool:
        """Return whether the request may be sent to another server meanwhile."""
        forwarder = self._forwarder
        time_left_s = self._call.deadline_s - forwarder.timers.now()
        return (
            self._servers_tried < MAX_SERVERS_TRIED
            and may_hedge(self._get_state(), len(self._running), time_left_s)
            and self._selection.has_other()
            and forwarder.budget.has_room(self._selection.service)
            and forwarder.guard.may_retry(self._keys)
        )

    async def _start_hedge(self) -> None:
        """Start an attempt at a server that was not tried; the others go on."""
        forwarder = self._forwarder
        selection = self._selection
        choice = await selection.choose(selection.tried, may_wait=False)
        if choice is None or not self._running.are_delayed():
            self._selection.admission.drop()
            return
        if not forwarder.budget.try_acquire(self._selection.service):
            self._selection.admission.drop()
            return
        delayed = self._running.list_running()
        for attempt in delayed:
            record = _record_unreachable if attempt.is_silent() else _record_broken
            record(forwarder, attempt.server.identity)
        log_message(
            "forward:hedge",
            request=self._call.identity,
            server=choice.server.identity,
            delayed=[attempt.server.identity for attempt in delayed],
            after=self._splitter.last_event_id,
        )
        self._start_attempt(choice)

    async def _finish_without_server(self, uses_budget: bool) -> RequestOutcome:
        """End a request for which there is no server, or none has room in time.

        Args:
            uses_budget: Whether a retry was counted that was not sent.
        """
        no_server = self._selection.explain()
        self._retry_after_s = no_server.retry_after_s
        self._reason = f"{no_server.reason}; {self._reason}"
        if uses_budget and no_server.code is Code.SERVERS_FULL:
            self._forwarder.budget.refund(self._selection.service)
        code = Code.ANSWER_LOST if self._may_have_run else no_server.code
        return await self._finish_unsuccessful(code)

    def _start_attempt(self, choice: Choice) -> None:
        """Start to send the request to a server once."""
        forwarder = self._forwarder
        splitter = EventSplitter(self._splitter.last_event_id)
        attempt = Attempt(
            forwarder.session,
            forwarder.dialect,
            forwarder.server_activity,
            forwarder.buffers,
            forwarder.timers,
            self._call,
            choice.server,
            choice.copy_source,
            splitter,
            forwarder.record_statements,
            self._claim,
        )
        if not self._running:
            self._splitter = splitter
        self._server = choice.server.identity
        self._reason = "waited for the server"
        self._servers_tried += 1
        self._selection.tried.add(self._server)
        forwarder.guard.begin_attempt(self._keys)
        forwarder.on_send(choice)
        forwarder.chooser.begin_request(self._selection.query, self._server)
        self._in_flight[attempt] = forwarder.timers.now()
        self._selection.admission.begin(attempt)
        self._running.start(attempt, self._run_attempt(choice, attempt))

    def _end_in_flight(self, attempt: Attempt) -> float:
        """Count an attempt as in flight no more, and return how long it was."""
        self._selection.admission.end(attempt)
        took_s = self._forwarder.timers.now() - self._in_flight.pop(attempt)
        self._forwarder.chooser.end_request(attempt.server.identity, took_s)
        return took_s

    def _claim(self, attempt: Attempt, is_progress: bool) -> bool:
        """Return whether an attempt may pass on what it has received."""
        if not self._running.claim(attempt, is_progress):
            return False
        if is_progress:
            self._selection.admission.end_prefill(attempt)
        self._splitter = attempt.splitter
        self._server = attempt.server.identity
        return True

    async def _run_attempt(self, choice: Choice, attempt: Attempt) -> AttemptOutcome:
        """Run an attempt, and record what it tells of the server."""
        forwarder = self._forwarder
        identity = choice.server.identity
        try:
            outcome = await attempt.run(self._caller)
        except BaseException:
            # The deadline has passed, the caller has disconnected, or another attempt
            # has made progress.
            self._record_cancellation(choice, attempt, self._end_in_flight(attempt))
            raise
        took_s = self._end_in_flight(attempt)
        forwarder.on_attempt_end(outcome, attempt.framing, took_s)
        forwarder.record_first_event(choice, attempt.first_event_at_s, took_s)
        self._reason = attempt.reason
        self._log_attempt(choice, attempt, outcome.value, took_s)
        self._attempts += outcome not in NOT_REACHED
        self._was_sent = self._was_sent or outcome not in NOT_EXECUTED
        if outcome in _REFUSED:
            self._selection.refused_by.add(identity)
        _HEALTH_RECORDERS[outcome](forwarder, identity)
        if attempt.response is not None:
            self._response = attempt.response
            self._responding.append(attempt)
        else:
            attempt.release()
        await forwarder.guard.record_attempt(
            self._keys, choice.server, attempt, outcome
        )
        return outcome

    def _record_cancellation(
        self, choice: Choice, attempt: Attempt, took_s: float
    ) -> None:
        """Record an attempt that was cancelled, in favour of another one or not."""
        self._attempts += 1
        self._was_sent = True
        loss = self._running.get_loss(attempt)
        if loss is Loss.SILENT:
            self._forwarder.on_attempt_end(
                AttemptOutcome.SILENT, attempt.framing, took_s
            )
        attempt.reason = f"cancelled after event {attempt.splitter.last_event_id}"
        self._log_attempt(choice, attempt, loss.value if loss else INTERRUPTED, took_s)
        attempt.release()

    def _log_attempt(
        self, choice: Choice, attempt: Attempt, outcome: str, took_s: float
    ) -> None:
        """Log an attempt, with what this host believed when it chose the server."""
        ended_s = self._forwarder.timers.now()
        started_s = ended_s - took_s
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
            uncached_tokens=choice.uncached_tokens,
            source=choice.copy_source.identity if choice.copy_source else "",
            framing=attempt.framing.value if attempt.framing else "",
            received_bytes=attempt.received_bytes,
            partial_event_bytes=len(attempt.splitter.remainder),
            events_for_s=None if first_at_s is None else round(ended_s - first_at_s, 4),
            prompt_parts=[]
            if outcome == AttemptOutcome.DELIVERED.value
            else [part.identity for part in self._call.prompt_parts][:MAX_LOGGED_PARTS],
            request_key=self._keys.whole if outcome in _BROKEN_ENDINGS else "",
            ending=outcome,
            reason=attempt.reason,
            took_s=round(took_s, 4),
        )

    def _get_timeout_code(self) -> Code:
        """Return the result code of a request whose deadline has passed."""
        return Code.TARGET_MISSED if self._may_have_run else Code.TARGET_UNREACHABLE

    def _get_end_code(self) -> Code:
        """Return the result code of a request that this host ends as it stops."""
        return Code.ANSWER_LOST if self._may_have_run else Code.HOST_LEAVING

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
        self._is_delivering = True
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


def _record_response(forwarder: ForwardingResources, identity: str) -> None:
    forwarder.record_response(identity, failed=False)


def _record_failure(forwarder: ForwardingResources, identity: str) -> None:
    forwarder.record_response(identity, failed=True)


def _record_broken(forwarder: ForwardingResources, identity: str) -> None:
    forwarder.health.record_broken_response(identity)


def _record_unreachable(forwarder: ForwardingResources, identity: str) -> None:
    forwarder.health.record_unreachable(identity)


def _record_nothing(forwarder: ForwardingResources, identity: str) -> None:
    """Record nothing: a server that is full or was replaced has not failed."""


_HEALTH_RECORDERS = {
    AttemptOutcome.DELIVERED: _record_response,
    AttemptOutcome.FAILED: _record_failure,
    AttemptOutcome.UNREACHED: _record_unreachable,
    AttemptOutcome.NOT_RUN: _record_nothing,
    AttemptOutcome.MISDIRECTED: _record_nothing,
    AttemptOutcome.LOST: _record_broken,
    AttemptOutcome.CUT: _record_broken,
}
