"""Asks for permits for one request, for services under permits.

The module answers this load pattern: a small service, or the engines in a burst, have
less capacity than callers ask for. A request that finds its server full tries others,
then waits at the owner of the one with the shortest wait, and is refused as soon as it
is known that there will be no room in time.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.forwarding.attempts import Attempt
from oleanderpier.forwarding.decisions import record_cold
from oleanderpier.forwarding.permits import PermitAnswer, PermitQuery, SentQuery
from oleanderpier.forwarding.records import Call
from oleanderpier.forwarding.resources import ForwardingResources
from oleanderpier.routing import Choice, PermitOutcome, ServerQuery

__all__ = [
    "AdmissionRefusal",
    "RequestAdmission",
    "compute_return_s",
    "costs_more_than_wait",
]

# Further servers that are asked after one that has no room.
MAX_FURTHER_CHOICES = 3
# The longest wait for a permit, as a part of the time that is left. The rest is for the
# work and for the way back; a late answer is better for the caller than a refusal.
WAIT_RATIO = 0.5
# The same of a repeat, as a part of that of a first attempt.
REPEAT_WAIT_RATIO = 0.5
MAX_URGENCY = 9
MILLISECONDS_PER_S = 1000.0
# Bounds of the delay that a refusal asks the caller to wait.
MIN_RETURN_S = 0.25
RETURN_SPREAD_RATIO = 0.25
# A permit whose release is lost expires this long after the deadline of its request.
EXPIRY_MARGIN_S = 0.5
# A granted request that waited for less was not held back, except by a round trip.
MIN_HELD_BACK_S = 0.02


class AdmissionRefusal(NamedTuple):
    """Why no server of a service may be sent a request in time.

    Attributes:
        server: The id of the server with the shortest wait.
        answer: The answer of its owner.
        retry_after_s: Seconds after which the caller should return.
    """

    server: str
    answer: PermitAnswer
    retry_after_s: float

    def describe(self) -> str:
        """Return the refusal as text for the log and the caller."""
        wait_s, outcome = self.answer.wait_s, self.answer.outcome
        return f"{self.server} has no room for {wait_s:.3f} s ({outcome.name})"


class RequestAdmission:
    """The permits of one request.

    Args:
        resources: What all requests of this host share.
        call: The request.
        query: What it requires of a server.

    Attributes:
        refusal: Why the last choice found no server, None if it found one, or if there
            was none to ask for.
    """

    def __init__(
        self, resources: ForwardingResources, call: Call, query: ServerQuery
    ) -> None:
        self.refusal: AdmissionRefusal | None = None
        self._resources = resources
        self._call = call
        self._query = query
        # The query that waits for an answer, or the permit that no attempt uses yet.
        self._current: SentQuery | None = None
        self._held: dict[Attempt, SentQuery] = {}
        # The attempts whose first event has not arrived.
        self._prefilling: set[Attempt] = set()

    @property
    def is_needed(self) -> bool:
        """Whether the request needs a permit."""
        return self._resources.permits.covers(self._query.service)

    async def choose(
        self,
        choose: Callable[[set[str]], Choice | None],
        excluded: set[str],
        is_repeat: bool,
        may_wait: bool = True,
    ) -> Choice | None:
        """Return the best server that the request may be sent to, with its permit.

        Args:
            choose: Returns the best server that is not excluded.
            excluded: Ids of the servers that are never chosen.
            is_repeat: Whether the request was sent before.
            may_wait: Whether it may wait for a permit.
        """
        self.drop()
        self.refusal = None
        excluded = set(excluded)
        answers: list[tuple[Choice, PermitAnswer]] = []
        for _ in range(1 + MAX_FURTHER_CHOICES):
            choice = choose(excluded)
            if choice is None or (may_wait and costs_more_than_wait(choice, answers)):
                break
            answer = await self._ask(choice, is_repeat, 0.0)
            excluded.add(choice.server.identity)
            if not answer.may_send:
                answers.append((choice, answer))
            elif self.is_still_eligible(choice):
                return choice
        if not answers or not may_wait:
            return None
        choice = self._pick_to_wait(choose, excluded, answers)
        if choice is not None:
            max_wait_s = self._compute_max_wait_s(is_repeat)
            answer = await self._ask(choice, is_repeat, max_wait_s)
            if answer.may_send:
                if self.is_still_eligible(choice):
                    return choice
                return await self.choose(choose, excluded, is_repeat, may_wait)
            answers = [(choice, answer)]
        self._refuse(*min(answers, key=lambda asked: asked[1].wait_s))
        return None

    async def acquire_rate(self, choice: Choice) -> bool:
        """Return whether a cold server may get a request by the rate that it takes.

        For services that are not under permits: how many requests the server holds does
        not count, so that the permit is returned at once.
        """
        self.drop()
        answer = await self._ask(choice, False, 0.0)
        self.drop()
        return answer.may_send and self.is_still_eligible(choice)

    def begin(self, attempt: Attempt) -> None:
        """Let an attempt hold the permit of the last choice."""
        if self._current is not None:
            self._held[attempt] = self._current
            self._prefilling.add(attempt)
            self._current = None

    def end_prefill(self, attempt: Attempt) -> None:
        """Record that the first event of an attempt's response has arrived."""
        if attempt in self._prefilling:
            self._prefilling.discard(attempt)
            self._held[attempt].end_prefill()

    def end(self, attempt: Attempt) -> None:
        """Return the permit of an attempt that has ended."""
        self._prefilling.discard(attempt)
        sent = self._held.pop(attempt, None)
        if sent is not None:
            sent.release()

    def drop(self) -> None:
        """Withdraw the query, or return the permit, that no attempt uses."""
        if self._current is not None:
            self._current.release()
            self._current = None

    def is_still_eligible(self, choice: Choice) -> bool:
        """Return whether a server may get requests after the wait for its permit.

        It may have said that it leaves, or its failure domain may be evacuated.
        """
        if not self._resources.chooser.has_left(choice.server):
            return True
        self.drop()
        return False

    def _pick_to_wait(
        self,
        choose: Callable[[set[str]], Choice | None],
        excluded: set[str],
        answers: list[tuple[Choice, PermitAnswer]],
    ) -> Choice | None:
        """Return the server to wait at, None if all have used up a rate limit.

        Several cold servers without load may be chosen first although others have room.
        These are therefore left out if all servers that were asked are cold.
        """
        full = [
            (choice, answer)
            for choice, answer in answers
            if answer.outcome is not PermitOutcome.USED_UP
        ]
        if full:
            return min(full, key=lambda asked: asked[1].wait_s)[0]
        excluded = set(excluded)
        while (choice := choose(excluded)) is not None:
            if choice.limit is None and not self._resources.permits.has_rate(
                choice.server
            ):
                return choice
            excluded.add(choice.server.identity)
        return None

    async def _ask(
        self, choice: Choice, is_repeat: bool, max_wait_s: float
    ) -> PermitAnswer:
        """Ask the owner of a server, and for the limit that the server names."""
        resources, call = self._resources, self._call
        time_left_s = call.deadline_s - resources.timers.now()
        query = PermitQuery(
            choice.server,
            _get_urgency(call),
            call.workspace.name if call.workspace else "",
            is_repeat,
            choice.uncached_tokens,
            max_wait_s,
            max(0.0, time_left_s) + EXPIRY_MARGIN_S,
        )
        decision = asyncio.get_running_loop().create_future()

        def notify(answer: PermitAnswer) -> None:
            if not decision.done():
                decision.set_result(answer)

        self._current = resources.permits.request(query, notify)
        answer = await decision
        if answer.may_send and not await resources.may_send(choice.server):
            answer = answer._replace(outcome=PermitOutcome.USED_UP)
        if not answer.may_send:
            self.drop()
        if answer.outcome is PermitOutcome.USED_UP:
            record_cold(resources, call.identity, choice)
        if not answer.may_send or (max_wait_s and answer.age_s > MIN_HELD_BACK_S):
            self._log("permits:decision", choice.server.identity, answer)
        return answer

    def _compute_max_wait_s(self, is_repeat: bool) -> float:
        """Return the longest wait that the request allows, in seconds."""
        time_left_s = self._call.deadline_s - self._resources.timers.now()
        ratio = WAIT_RATIO * (REPEAT_WAIT_RATIO if is_repeat else 1.0)
        return max(0.0, ratio * time_left_s)

    def _refuse(self, choice: Choice, answer: PermitAnswer) -> None:
        server = choice.server.identity
        if answer.outcome is PermitOutcome.USED_UP:
            # The wait that is known for a limit that the server names.
            wait_s = self._resources.chooser.get_shortest_wait_s(self._query) or 0.0
            answer = answer._replace(wait_s=max(wait_s, answer.wait_s))
        retry_after_s = compute_return_s(
            answer.wait_s, _get_urgency(self._call), self._resources.rng.random()
        )
        self.refusal = AdmissionRefusal(server, answer, retry_after_s)
        self._log(
            "permits:refused", server, answer, retry_after_s=round(retry_after_s, 3)
        )

    def _log(self, kind: str, server: str, answer: PermitAnswer, **fields) -> None:
        log_message(
            kind,
            request=self._call.identity,
            server=server,
            decision=answer.outcome.name,
            wait_s=round(answer.wait_s, 3),
            in_flight=answer.in_flight,
            age_s=round(answer.age_s, 4),
            urgency=_get_urgency(self._call),
            **fields,
        )


def costs_more_than_wait(
    choice: Choice, answers: list[tuple[Choice, PermitAnswer]]
) -> bool:
    """Return whether a wait at a server that has no room is faster than a choice.

    A server that has to read a long prompt again is slower than the short wait until
    the one that has it cached has room, and delays the requests beside it.

    Args:
        choice: A server that has not been asked.
        answers: The servers that have no room, with what their owners answered.
    """
    if choice.cost is None:
        return False
    cost_ms = choice.cost.total_ms
    return any(
        asked.cost.work_ms + asked.cost.missing_ms + MILLISECONDS_PER_S * answer.wait_s
        < cost_ms
        for asked, answer in answers
        if asked.cost is not None and answer.outcome is not PermitOutcome.USED_UP
    )


def compute_return_s(wait_s: float, urgency: int, random_part: float) -> float:
    """Return after how long the caller of a refused request should return.

    Up to a quarter of the wait is added, so that callers don't return together; the
    more urgent a request is, the less.

    Args:
        wait_s: The expected seconds until there is room.
        urgency: 0 to 9; 0 is the most urgent.
        random_part: A random number from 0 to 1.

    Examples:
        >>> compute_return_s(0.0, 9, 0.0)
        0.25
        >>> compute_return_s(2.0, 9, 1.0)
        2.5
        >>> compute_return_s(2.0, 0, 1.0)
        2.05
    """
    urgency_part = (urgency + 1) / (MAX_URGENCY + 1)
    spread = RETURN_SPREAD_RATIO * random_part * urgency_part
    return max(MIN_RETURN_S, wait_s) * (1 + spread)


def _get_urgency(call: Call) -> int:
    """Return the workspace's priority if it has one, else the route's."""
    workspace = call.workspace
    has_own = workspace is not None and workspace.priority is not None
    priority = workspace.priority if has_own else call.route.priority
    return min(MAX_URGENCY, max(0, priority))
