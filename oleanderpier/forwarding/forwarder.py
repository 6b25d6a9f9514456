"""Brings a request to backend servers until one has answered, or none may."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from eliot import log_message

from oleanderpier.forwarding.attempts import Attempt, BufferedResponse, ServerActivity
from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.forwarding.records import (
    Call,
    Caller,
    Dialect,
    RequestOutcome,
    ResponseHead,
)
from oleanderpier.results import Code, Failure, Fate, describe_code
from oleanderpier.routing import (
    AttemptOutcome,
    AttemptState,
    Choice,
    Chooser,
    RetryBudget,
    ServerHealth,
    ServerQuery,
    ServiceShare,
    decide_retry,
)
from oleanderpier.utils import Timers, hash_text

__all__ = ["Forwarder", "ResponseCounts"]

# Servers tried for one request at most, unreachable ones included.
MAX_TRIES = 5
# With less time left a request is not sent, as no answer could arrive.
LEAST_LEFT_S = 0.005
# When to come back after a refusal: long enough for a resting server to be
# tried again, short against the targets.
RETRY_AFTER_S = 0.25
HASH_RANGE = 1 << 64
# How the log calls the end of a send that was given up from outside.
INTERRUPTED = "interrupted"


class ResponseCounts(NamedTuple):
    """What servers answered since the last look, by id.

    Attributes:
        answers: All answers.
        failures: How many of these were the server's own failures.
    """

    answers: dict[str, int]
    failures: dict[str, int]


class Forwarder:
    """What all requests of a host share on their way.

    Args:
        session: The HTTP client.
        dialect: The wire format of the servers.
        chooser: Picks servers.
        health: Which servers fail.
        budget: The retry budget.
        last_heard: When servers were last heard.
        timers: The timer service.
        notify: Told of each send, with its ending and its length in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        chooser: Chooser,
        health: ServerHealth,
        budget: RetryBudget,
        last_heard: ServerActivity,
        timers: Timers,
        notify: Callable[[AttemptOutcome, float], None] = lambda ending, took_s: None,
    ) -> None:
        self.notify = notify
        self.session = session
        self.dialect = dialect
        self.chooser = chooser
        self.health = health
        self.budget = budget
        self.last_heard = last_heard
        self.timers = timers
        self.response_counts = ResponseCounts({}, {})

    async def forward(self, call: Call, caller: Caller) -> RequestOutcome:
        """Bring a request to its end.

        Args:
            call: The request.
            caller: Gets the answer, or the refusal.

        Returns:
            What became of it.
        """
        return await _Forwarding(self, call, caller).run()

    def record_response(self, identity: str, failed: bool) -> None:
        """Take an answer of a server, which other hosts are told of as well."""
        self.health.record_response(identity, failed)
        answers, failures = self.response_counts
        answers[identity] = answers.get(identity, 0) + 1
        failures[identity] = failures.get(identity, 0) + failed

    def pop_response_counts(self) -> ResponseCounts:
        """Return what servers answered since the last call."""
        outcomes, self.response_counts = self.response_counts, ResponseCounts({}, {})
        return outcomes


class _Forwarding:
    """The steps of one request."""

    def __init__(self, shared: Forwarder, call: Call, caller: Caller) -> None:
        self._shared = shared
        self._call = call
        self._caller = _TrackedCaller(caller, shared.timers)
        self._splitter = EventSplitter()
        parts = call.shared_prefixes
        self._service = _pick_service(call, parts[-1].key if parts else call.identity)
        self._query = ServerQuery(self._service, parts)
        self._tried: set[str] = set()
        self._sends = 0
        self._may_have_run = False
        self._answer: BufferedResponse | None = None
        self._server = ""
        self._reason = ""

    async def run(self) -> RequestOutcome:
        """Try servers until the request has ended or its time is over."""
        shared = self._shared
        shared.budget.record_request(self._service)
        left_s = self._call.deadline_s - shared.timers.now()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._try_servers()
        except TimeoutError:
            if self._server:
                shared.health.record_broken_response(self._server)
            self._reason = f"out of time; {self._reason}"
            return await self._refuse(self._pick_late_code())

    async def _try_servers(self) -> RequestOutcome:
        shared, call = self._shared, self._call
        for _ in range(MAX_TRIES):
            choice = shared.chooser.choose(self._query, self._tried)
            if choice is None:
                self._reason = f"no server of {self._service}; {self._reason}"
                break
            left_s = call.deadline_s - shared.timers.now()
            if left_s < LEAST_LEFT_S:
                self._reason = f"{left_s:.4f} s left; {self._reason}"
                return await self._refuse(self._pick_late_code())
            ending = await self._send(choice)
            self._log_send(choice, ending.value)
            verdict = decide_retry(ending, self._make_state())
            if ending is AttemptOutcome.DELIVERED:
                return await self._deliver()
            if not verdict.retry:
                return await self._end(verdict.code)
            if verdict.uses_budget and not shared.budget.try_acquire(self._service):
                self._reason = f"retry budget is used up; {self._reason}"
                return await self._end(verdict.code)
            self._splitter.restart()
        code = Code.ANSWER_LOST if self._may_have_run else Code.NO_BACKEND_SERVER
        return await self._end(code)

    async def _send(self, choice: Choice) -> AttemptOutcome:
        """Send the request to a server once."""
        shared = self._shared
        identity = self._server = choice.server.identity
        self._reason = "waited for the server"
        before = self._may_have_run
        self._may_have_run = True
        exchange = Attempt(
            shared.session,
            shared.dialect,
            shared.last_heard,
            shared.timers,
            self._call,
            choice.server,
            choice.copy_source,
            self._may_give_up,
        )
        shared.chooser.begin_request(self._query, identity)
        began_s = shared.timers.now()
        try:
            ending = await exchange.run(
                self._caller, self._splitter, self._caller.response_started
            )
        except BaseException:
            # The time is over, or the caller has left.
            self._sends += 1
            self._log_send(choice, INTERRUPTED)
            raise
        finally:
            shared.chooser.end_request(identity)
        shared.notify(ending, shared.timers.now() - began_s)
        self._reason = exchange.reason
        self._tried.add(identity)
        self._sends += ending is not AttemptOutcome.UNREACHED
        if ending in (AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN):
            self._may_have_run = before
        _NOTES[ending](shared, identity)
        if exchange.answer is not None:
            self._answer = exchange.answer
        return ending

    def _log_send(self, choice: Choice, ending: str) -> None:
        log_message(
            "forward:send",
            request=self._call.identity,
            server=choice.server.identity,
            why=choice.reason,
            load=choice.load,
            load_age_s=round(choice.load_age_s, 3),
            cache_age_s=None
            if choice.cache_age_s is None
            else round(choice.cache_age_s, 3),
            source=choice.copy_source.identity if choice.copy_source else "",
            ending=ending,
            reason=self._reason,
        )

    def _pick_late_code(self) -> Code:
        """Return how a request ends whose time is over."""
        return Code.TARGET_MISSED if self._may_have_run else Code.TARGET_UNREACHABLE

    def _may_give_up(self) -> bool:
        """Return whether another server may still get the request."""
        return self._sends + 1 < self._call.route.max_attempts

    def _make_state(self) -> AttemptState:
        route = self._call.route
        return AttemptState(
            route.repeatable,
            self._sends,
            route.max_attempts,
            self._may_have_run,
            self._caller.response_started,
        )

    async def _deliver(self) -> RequestOutcome:
        """Send the last whole answer, unless it was streamed already."""
        if self._caller.response_started:
            return self._make_end(Code.DONE, 200)
        await self._caller.deliver(*self._answer)
        return self._make_end(Code.DONE, self._answer.head.status)

    async def _end(self, code: Code) -> RequestOutcome:
        """End without a success: with the server's own failure if there is one."""
        if self._answer is not None and not self._caller.response_started:
            return await self._deliver()
        return await self._refuse(code)

    async def _refuse(self, code: Code) -> RequestOutcome:
        if self._caller.response_started:
            self._caller.abort()
            return self._make_end(Code.STREAM_CUT, 0)
        not_run = describe_code(code).fate is Fate.NOT_RUN
        await self._caller.refuse(
            Failure(code, self._reason, RETRY_AFTER_S if not_run else None)
        )
        return self._make_end(code, describe_code(code).http_status)

    def _make_end(self, code: Code, status: int) -> RequestOutcome:
        return RequestOutcome(
            code,
            status,
            self._sends,
            self._server,
            self._reason,
            self._caller.first_s,
        )


class _TrackedCaller:
    """A caller, with whether the answer has begun.

    Attributes:
        begun: Whether the head of an answer was sent.
        first_s: Seconds until then, None before.
    """

    def __init__(self, caller: Caller, timers: Timers) -> None:
        self._caller = caller
        self._timers = timers
        self._since_s = timers.now()
        self.first_s: float | None = None
        self.response_started = False
        self.write = caller.write
        self.finish_stream = caller.finish_stream
        self.abort = caller.abort
        self.refuse = caller.refuse
        self.deliver = caller.deliver

    async def begin_stream(self, head: ResponseHead) -> None:
        self.response_started = True
        self.first_s = self._timers.now() - self._since_s
        await self._caller.begin_stream(head)


def _note_answer(shared: Forwarder, identity: str) -> None:
    shared.record_response(identity, failed=False)


def _note_failure(shared: Forwarder, identity: str) -> None:
    shared.record_response(identity, failed=True)


def _note_fault(shared: Forwarder, identity: str) -> None:
    shared.health.record_broken_response(identity)


def _note_unreachable(shared: Forwarder, identity: str) -> None:
    shared.health.record_unreachable(identity)


def _note_nothing(shared: Forwarder, identity: str) -> None:
    """A server that is full, or is another one by now, has not failed."""


_NOTES = {
    AttemptOutcome.DELIVERED: _note_answer,
    AttemptOutcome.FAILED: _note_failure,
    AttemptOutcome.UNREACHED: _note_unreachable,
    AttemptOutcome.NOT_RUN: _note_nothing,
    AttemptOutcome.LOST: _note_fault,
    AttemptOutcome.SILENT: _note_unreachable,
    AttemptOutcome.CUT: _note_fault,
}


def _pick_service(call: Call, key: str) -> str:
    """Return a service of the route, by weight and alike for equal keys."""
    shares = [share for share in call.route.shares if share.weight > 0]
    if not shares:
        return call.route.shares[0].service
    point = hash_text(key) / HASH_RANGE
    return _find_share(shares, point * sum(share.weight for share in shares))


def _find_share(shares: list[ServiceShare], point: float) -> str:
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
